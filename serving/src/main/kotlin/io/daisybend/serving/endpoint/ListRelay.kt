/*
 * How the VMs of one failure domain share reads of the platform's list of endpoints, since the platform prices each
 * call. Two readers read the list and pass new records on. The other VMs apply them, and read the list themselves when
 * they have not heard of a recent and complete read. Offsets show missing records.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.site.ClockReading

/** A place in the log of the list: all records before [nextOffset] in [era] of the store are applied. */
public data class ListPosition(val era: Long, val nextOffset: Long)

/** A record as it is passed on; [isUnchanged] means that it says the same of [key] as the record before it. */
public data class RelayedRecord(val key: String, val value: String?, val isUnchanged: Boolean = false)

/** A part of the log that a reader passes on. */
public data class ListExcerpt(
    val era: Long,
    /** The offset of the first record. */
    val from: Long,
    /** All records from [from] on, up to some offset. */
    val records: List<RelayedRecord>,
    /** The end of the log at the read. */
    val end: Long,
    /** Time from the call of the read until the excerpt was sent, on the reader's clock, in milliseconds. */
    val readAgoMs: Long,
)

/** What a received excerpt is good for. */
public sealed interface ExcerptUse {
    /** [records] are new and are to be applied; [isConfirmed] tells whether the list is complete and recent then. */
    public data class Apply(val records: List<RelayedRecord>, val isConfirmed: Boolean) : ExcerptUse

    /** Records before the excerpt are missing. */
    public data object Gap : ExcerptUse

    /** The excerpt says nothing new. */
    public data object Outdated : ExcerptUse

    /** The store came back from an older copy, or the list was never read: this VM reads the list itself. */
    public data object Unplaced : ExcerptUse
}

/** Times of reads, in milliseconds. */
public data class ListRelaySettings(
    /** Interval between the reads of a reader: less than half of the bound for removing endpoints that leave. */
    val readIntervalMs: Long = 850,
    /** Age of the list above which a VM reads it itself; a read that is not answered must end within the bound. */
    val ownReadAfterMs: Long = 1_100,
    /** Delay of a loop above which this VM stood still and input may have waited for it meanwhile. */
    val standstillMs: Long = 600,
    /** Time after a standstill in which only own reads are trusted; then a VM without the store hears others again. */
    val distrustMs: Long = 2_000,
) {
    public companion object {
        /**
         * Returns the settings for endpoints that get no requests [drainMs] after they leave: after the age for an own
         * read, one response timeout and one read with a usual response fit. Streams need a list of at most 2,000 ms.
         */
        public fun forDrain(drainMs: Long): ListRelaySettings =
            ListRelaySettings(ownReadAfterMs = (drainMs - 900).coerceIn(1_100, 1_500))
    }
}

/** Decides when this VM reads the list and what received excerpts are good for; not thread-safe. */
public class ListRelay(private val settings: ListRelaySettings = ListRelaySettings()) {
    /** What is applied, or null if the list has to be read anew. */
    public var position: ListPosition? = null
        private set

    /** When the newest read was sent that is applied completely, by this VM or by a reader, or null. */
    public var confirmedAt: ClockReading? = null
        private set

    private var lastLoopAt: ClockReading? = null
    private var lastReadAt: ClockReading? = null
    private var excerptAt: ClockReading? = null

    private class EarlyExcerpt(val excerpt: ListExcerpt, val readAt: ClockReading?)

    /** Excerpts that came before the one with the records before them: datagrams overtake each other. */
    private val early = ArrayDeque<EarlyExcerpt>()

    /** Until when excerpts may be read that waited in a buffer during a standstill, in monotonic milliseconds. */
    private var readRequiredUntilMs = Long.MIN_VALUE

    /** Notes that a loop of this VM, which is due every 100 ms, runs at [now]. */
    public fun onLoop(now: ClockReading) {
        val lateMs = lastLoopAt?.let { now.ageOf(it) } ?: 0
        if (lateMs > settings.standstillMs) readRequiredUntilMs = now.steadyMs + settings.distrustMs
        lastLoopAt = now
    }

    private fun isReadRequired(now: ClockReading) = now.steadyMs < readRequiredUntilMs

    /** Forgets what is applied, so that excerpts are not used until the list has been read anew. */
    public fun reset() {
        position = null
        early.clear()
    }

    /** Applies a read of this VM itself that was sent at [sentAt], answered at [now], and led to [newPosition]. */
    public fun onOwnRead(newPosition: ListPosition, sentAt: ClockReading, now: ClockReading) {
        position = newPosition
        confirm(sentAt, now)
        lastReadAt = now
        // A read that was sent before a standstill shows its age; excerpts that waited meanwhile may still be unread.
        if (now.ageOf(sentAt) <= settings.standstillMs) readRequiredUntilMs = Long.MIN_VALUE
    }

    /**
     * Returns what [excerpt] is good for that was read from the socket at [now]. [delayMs] is the time since it was
     * sent, or null if that is not known; its records are used then, but confirm nothing.
     */
    public fun onExcerpt(excerpt: ListExcerpt, delayMs: Long?, now: ClockReading): ExcerptUse {
        onLoop(now)
        val applied = position
        val readAt = delayMs?.let { now.plus(-(excerpt.readAgoMs + it)) }
        return when {
            applied == null -> ExcerptUse.Unplaced
            excerpt.era > applied.era -> {
                reset()
                ExcerptUse.Unplaced
            }
            excerpt.era < applied.era || excerpt.end < applied.nextOffset -> ExcerptUse.Outdated
            excerpt.from > applied.nextOffset -> {
                if (early.size == MAX_EARLY) early.removeFirst()
                early.addLast(EarlyExcerpt(excerpt, readAt))
                ExcerptUse.Gap
            }
            else -> appendAll(excerpt, readAt, now)
        }
    }

    /** Applies [excerpt] and those that came before it and go on from there. */
    private fun appendAll(excerpt: ListExcerpt, readAt: ClockReading?, now: ClockReading): ExcerptUse.Apply {
        var use = append(excerpt, readAt, now)
        var following = takeEarly(excerpt.era)
        while (following != null) {
            val further = append(following.excerpt, following.readAt, now)
            use = ExcerptUse.Apply(use.records + further.records, use.isConfirmed || further.isConfirmed)
            following = takeEarly(excerpt.era)
        }
        return use
    }

    private fun takeEarly(era: Long): EarlyExcerpt? {
        val next = position?.nextOffset ?: return null
        early.removeIf { it.excerpt.era != era || it.excerpt.end < next }
        return early.firstOrNull { it.excerpt.from <= next }?.also(early::remove)
    }

    private fun append(excerpt: ListExcerpt, readAt: ClockReading?, now: ClockReading): ExcerptUse.Apply {
        val applied = checkNotNull(position) { "expected a position before an excerpt is applied" }
        val known = minOf(applied.nextOffset - excerpt.from, excerpt.records.size.toLong()).toInt()
        val newRecords = excerpt.records.drop(known)
        val nextOffset = applied.nextOffset + newRecords.size
        position = applied.copy(nextOffset = nextOffset)
        val isConfirmed = nextOffset >= excerpt.end && !isReadRequired(now) && readAt != null
        if (isConfirmed) {
            confirm(readAt, now)
            excerptAt = now
        }
        return ExcerptUse.Apply(newRecords, isConfirmed)
    }

    private fun confirm(sentAt: ClockReading, now: ClockReading) {
        val known = confirmedAt
        if (known == null || now.ageOf(sentAt) < now.ageOf(known)) confirmedAt = sentAt
    }

    /**
     * Returns the time until this VM has to read the list, in milliseconds. [readerRank] is its place among the readers
     * of its failure domain, or null if it is none. The second reader reads halfway between the reads of the first.
     */
    public fun readDueInMs(readerRank: Int?, now: ClockReading): Long {
        val known = confirmedAt
        val lastRead = lastReadAt
        val isRequired = position == null || isReadRequired(now)
        if (isRequired || known == null || lastRead == null) return 0
        val followerDueMs = settings.ownReadAfterMs - now.ageOf(known)
        if (readerRank == null) return followerDueMs
        val sinceReadMs = now.steadyMs - lastRead.steadyMs
        val otherMs = excerptAt?.let { it.steadyMs - lastRead.steadyMs }?.takeIf { it >= 0 }
        if (readerRank == 0 || otherMs == null) return settings.readIntervalMs - sinceReadMs
        val halfMs = settings.readIntervalMs / 2
        val targetMs = (otherMs + halfMs).coerceIn(halfMs, settings.readIntervalMs + halfMs / 2)
        return minOf(targetMs - sinceReadMs, followerDueMs.coerceAtLeast(0))
    }

    public companion object {
        /** Excerpts kept: more than those of one read of two readers. */
        private const val MAX_EARLY = 16

        /** Readers in each failure domain: one may be killed, frozen or cut off from the store. */
        public const val READERS: Int = 2

        /**
         * Returns the place of [ownVm] among the readers of [failureDomain], or null if it is none. [others] are the
         * VMs of the domain that are alive and had contact to the store lately.
         */
        public fun readerRank(failureDomain: String, ownVm: String, others: Collection<String>): Int? =
            rankByRendezvous("endpoint-list/$failureDomain", others + ownVm).indexOf(ownVm).takeIf { it < READERS }
    }
}
