/*
 * Elects the VM that sends orders to engines: the holder of the order duty. The lease is a log in the store. A VM takes
 * or renews the lease with a record at the offset that it expects to be next; the append succeeds only if nothing else
 * was appended since. The holder stops sending orders before its newest record expires on either of its clocks. A
 * successor starts to wait when it learns of the newest record, which is never before that record was written. It waits
 * for the validity and for the required gap between the orders of two holders, and then appends at the next offset. The
 * append fails if the holder has renewed in the meantime.
 *
 * A process takes over at once when the previous process of its VM wrote the newest record: engines treat both as the
 * same holder, and the append succeeds only if no other VM has appended since.
 *
 * A holder whose renewals failed resumes as soon as an append succeeds, since success means that no other VM appended.
 * While its own appends to the store fail, it asks its peers to append the renewal. The validity of a record that a
 * peer appended counts from the first attempt of the holder for that offset.
 *
 * A holder that stops gives up the duty for good and tells its peers. They need not wait for the validity of its newest
 * record then, since the process sends no order any more, even if a renewal of it still succeeds.
 *
 * A holder that is cut off from the engines hands over in the same way, but it may take the duty again: at once while
 * no other VM has appended, and always with a new epoch, since its peers need not wait for the one that it gave up.
 *
 * When the store comes back from an older copy, its era rises: records are gone and offsets are given out again, so an
 * append at an offset of an earlier era proves nothing. Each VM then reads where the log ends. The holder may go on at
 * once, if its newest record is too young for a successor; all others wait as if they had seen a new record.
 */
package io.daisybend.serving.duty

import io.daisybend.serving.site.ClockReading

/** Times of the lease. */
public data class DutySettings(
    /** Validity of a record, in milliseconds: three renewals and a slow response. */
    val validityMs: Long = 1_700,
    /** Time between renewals, in milliseconds. */
    val renewalIntervalMs: Long = 500,
    /** Least time between the orders of two holders, in milliseconds; set by the platform. */
    val handoverGapMs: Long = 3_000,
    /** Clock drift between two VMs during one wait, plus the network delay of an order, in milliseconds. */
    val clockMarginMs: Long = 300,
    /** Delay between the attempts of successive candidates, in milliseconds: longer than an append takes. */
    val candidateStaggerMs: Long = 120,
    /** Least time for which a VM keeps the duty that it took before it hands over, in milliseconds. */
    val minHoldMs: Long = 1_000,
) {
    /**
     * Time after the news that a holder has given up the duty until a candidate may append, in milliseconds. The margin
     * counts twice, as it does around the end of a record's validity.
     */
    val releasedQuietMs: Long get() = handoverGapMs + 2 * clockMarginMs

    /** Time without a new record after which the first candidate may append, in milliseconds. */
    internal val quietMs: Long get() = validityMs + handoverGapMs + clockMarginMs
}

/**
 * The [holder] before this one, null if its record could not be read, whose orders had arrived by [rightEndedAtMs] on
 * the monotonic clock of this VM, in milliseconds.
 */
public data class DutyPredecessor(val holder: DutyHolder?, val rightEndedAtMs: Long)

/** The action that the lease requests. */
public sealed interface DutyStep {
    /** Do nothing now. */
    public data object Wait : DutyStep

    /** Append a record of this VM at exactly [atOffset]. */
    public data class Append(val atOffset: Long) : DutyStep

    /** Read the log, whose end is not known in the current era of the store. */
    public data object ReadLog : DutyStep
}

/** The state of the lease on one VM; not thread-safe. */
public class DutyLease(private val own: DutyHolder, private val settings: DutySettings, startedAt: ClockReading) {
    private var newest: DutyRecord? = null

    /** The era of the store, or null before the first contact. */
    private var era: Long? = null

    /** The end of the log, or null until it is read in the current era. */
    private var nextOffset: Long? = 0L
    private var learnedAt = startedAt
    private var isLogKnown = false
    private var validFrom: ClockReading? = null

    /** When this VM sent its newest renewal that succeeded, or null. */
    private var renewedAt: ClockReading? = null
    private var lastAppendAt: ClockReading? = null
    private var isCallInFlight = false
    private var isStoreFailing = false
    private var hasReleased = false

    private class Release(val epoch: Long, val learnedAt: ClockReading)

    /** The newest epoch whose holder has given up the duty, as far as this VM knows. */
    private var release: Release? = null

    /** Whether the holder of the newest record has given up the duty. */
    private val isNewestReleased: Boolean
        get() = newest?.let { it.epoch == release?.epoch && it.isOfCurrentEra } ?: false

    /** When this VM sent the append with which it took the duty, in milliseconds of the monotonic clock. */
    private var takenAtMs = startedAt.steadyMs

    /** The holder before this process, if it holds the lease or held it. */
    public var predecessor: DutyPredecessor? = null
        private set

    /** The epoch that this VM gave up and took back with its current one, no other VM having held the duty, or null. */
    public var takenBackEpoch: Long? = null
        private set
    private var attemptedOffset = -1L
    private var firstAttemptAt = startedAt

    /** The newest record that this VM knows. */
    public val newestRecord: DutyRecord? get() = newest

    /** The epoch of this process when it wrote the newest record, or null. */
    public val ownEpoch: Long? get() = newest?.takeIf { it.holder == own }?.epoch

    private val wasHeldByPreviousProcess: Boolean
        get() = newest?.let { it.holder != own && it.holder.isOnSameVm(own) && it.isOfCurrentEra } ?: false

    private val DutyRecord.isOfCurrentEra: Boolean get() = this@DutyLease.era.let { it == null || it == era }

    /** Returns the epoch of the record that this VM appends at [offset]. */
    public fun epochFor(offset: Long): Long =
        newest?.takeIf { it.holder == own && it.isOfCurrentEra && !isNewestReleased }?.epoch
            ?: DutyRecord.epochAt(era ?: FIRST_STORE_ERA, offset)

    /**
     * Applies the [newEra] of the store, learned at [now]; has no effect unless it is newer than the known one. Returns
     * whether the store has come back from an older copy since the last contact.
     */
    public fun onStoreEra(newEra: Long, now: ClockReading): Boolean {
        val known = era
        if (known != null && newEra <= known) return false
        era = newEra
        // In the first era the log has all records; in a later one a VM that starts does not know who may still order.
        if (known == null && newEra <= FIRST_STORE_ERA) return false
        nextOffset = null
        // Who took the duty after a release is not known when records are gone.
        release = null
        attemptedOffset = -1
        lastAppendAt = null
        isLogKnown = true
        learnedAt = now
        return known != null
    }

    /** Returns whether this VM may send an order at [now]. */
    public fun mayOrder(now: ClockReading): Boolean {
        val from = validFrom ?: return false
        return newest?.holder == own && now.ageOf(from) < settings.validityMs - settings.clockMarginMs
    }

    /** Applies a record that a peer reported at [now], unless this VM knows it or a newer one. */
    public fun onPeerRecord(record: DutyRecord, now: ClockReading) {
        val knownEra = era
        if (knownEra != null && record.era < knownEra) return
        onStoreEra(record.era, now)
        if (record.offset < (nextOffset ?: 0)) return
        val isOwnRenewal = record.holder == own && record.epoch == ownEpoch && record.offset == attemptedOffset
        if (!isOwnRenewal) {
            validFrom = null
        } else if (validFrom != null) {
            validFrom = firstAttemptAt
            renewedAt = firstAttemptAt
        }
        newest = record
        nextOffset = record.offset + 1
        learnedAt = now
        isLogKnown = true
    }

    /**
     * Returns the renewal that peers should append for this VM, or null when none is due. A renewal is due when this VM
     * holds the lease, its last append failed and the renewal interval has passed. Counts as an attempt to append.
     */
    public fun renewalToDelegate(now: ClockReading): DutyRecord? {
        val held = newest?.takeIf { it.holder == own && it.isOfCurrentEra && isStoreFailing } ?: return null
        val offset = nextOffset ?: return null
        val isDue = validFrom?.let { now.ageOf(it) >= settings.renewalIntervalMs } ?: false
        if (!isDue) return null
        recordAttempt(offset, now)
        return DutyRecord(own, held.epoch, offset)
    }

    /** Returns whether this VM may append [renewal] for its holder: it must be the next record of the newest epoch. */
    public fun mayAppendFor(renewal: DutyRecord): Boolean =
        renewal.offset == nextOffset &&
            renewal.isOfCurrentEra &&
            !isNewestReleased &&
            newest?.holder == renewal.holder &&
            newest?.epoch == renewal.epoch

    private fun recordAttempt(offset: Long, now: ClockReading) {
        if (attemptedOffset == offset) return
        attemptedOffset = offset
        firstAttemptAt = now
    }

    /** Returns the action to take at [now]; [rank] is the position of this VM among the candidates, 0 first. */
    public fun nextStep(now: ClockReading, rank: Int): DutyStep {
        if (isCallInFlight || hasReleased) return DutyStep.Wait
        val sinceAppendMs = lastAppendAt?.let { now.ageOf(it) } ?: Long.MAX_VALUE
        if (sinceAppendMs < settings.renewalIntervalMs) return DutyStep.Wait
        val offset = nextOffset ?: return DutyStep.ReadLog
        val isDue = isHolder(now) || mayTakeBack || quietLeftMs(now, rank) <= 0
        return if (isDue) DutyStep.Append(offset) else DutyStep.Wait
    }

    /** Whether this VM handed over and knows no VM that has taken the duty since; its append proves that none has. */
    private val mayTakeBack: Boolean get() = isNewestReleased && newest?.holder == own

    /**
     * Whether this VM may renew without waiting. In an earlier era of the store that holds while no successor can have
     * waited long enough: its records may be gone.
     */
    private fun isHolder(now: ClockReading): Boolean {
        val held = newest?.takeIf { it.holder == own } ?: return false
        if (held.isOfCurrentEra) return validFrom != null
        return renewedAt?.let { now.ageOf(it) < settings.validityMs + settings.handoverGapMs } ?: false
    }

    /** Returns the time after [now] at which [nextStep] may request an append, in milliseconds, if nothing changes. */
    public fun nextStepInMs(now: ClockReading, rank: Int): Long {
        val sinceAppendMs = lastAppendAt?.let { now.ageOf(it) } ?: Long.MAX_VALUE
        val renewalInMs = settings.renewalIntervalMs - sinceAppendMs.coerceAtMost(settings.renewalIntervalMs)
        if (nextOffset == null || isHolder(now) || mayTakeBack) return renewalInMs
        return maxOf(renewalInMs, quietLeftMs(now, rank))
    }

    /** Returns when the first candidate may take the duty, as seen at [now], or null if this VM knows no record. */
    public fun succession(now: ClockReading): DutySuccession? {
        if (newest == null) return null
        val recordAgeMs = now.steadyMs - learnedAt.steadyMs
        return DutySuccession(recordAgeMs, quietLeftMs(now, rank = 0))
    }

    /**
     * Returns how much longer no new record must be seen before the candidate with [rank] may append, in milliseconds.
     */
    private fun quietLeftMs(now: ClockReading, rank: Int): Long {
        val staggerMs = rank * settings.candidateStaggerMs
        val quietMs = if (isLogKnown) settings.quietMs else INITIAL_WAIT_MS
        val requiredMs = if (wasHeldByPreviousProcess) 0 else quietMs + staggerMs
        val leftMs = requiredMs - (now.steadyMs - learnedAt.steadyMs)
        val released = release?.takeIf { isNewestReleased } ?: return leftMs
        val sinceReleaseMs = now.steadyMs - released.learnedAt.steadyMs
        return minOf(leftMs, settings.releasedQuietMs + staggerMs - sinceReleaseMs)
    }

    /** Records that an append at [offset] was sent at [now]. */
    public fun onAppendSent(offset: Long, now: ClockReading) {
        isCallInFlight = true
        lastAppendAt = now
        recordAttempt(offset, now)
    }

    /** Records that a read of the log was sent at [now]. */
    public fun onReadSent(now: ClockReading) {
        isCallInFlight = true
        lastAppendAt = now
    }

    /**
     * Records that the append for [epoch] sent at [sentAt] succeeded at [offset]. Returns whether this VM starts or
     * resumes sending orders. An append of an earlier era proves nothing and has no effect.
     */
    public fun onAppended(sentAt: ClockReading, offset: Long, epoch: Long): Boolean {
        isCallInFlight = false
        isStoreFailing = false
        val record = DutyRecord(own, epoch, offset)
        if (!record.isOfCurrentEra) return false
        if (hasReleased) return false
        val hasStarted = ownEpoch != epoch || validFrom == null
        if (ownEpoch != epoch) {
            predecessor = predecessorAt(sentAt, epoch)
            takenBackEpoch = ownEpoch.takeIf { mayTakeBack }
            takenAtMs = sentAt.steadyMs
        }
        newest = record
        nextOffset = offset + 1
        isLogKnown = true
        learnedAt = sentAt
        // A renewal that was under way at the handover.
        if (isNewestReleased) return false
        validFrom = sentAt
        renewedAt = sentAt
        return hasStarted
    }

    /** Returns the holder before the record of [epoch] that this VM sent at [sentAt]; null if that is the first. */
    private fun predecessorAt(sentAt: ClockReading, epoch: Long): DutyPredecessor? {
        if (epoch == FIRST_EPOCH) return null
        // The newest record was written before this VM learned of it, and no candidate appends while it is valid.
        val rightEndedAtMs = listOfNotNull(
            learnedAt.steadyMs + settings.validityMs,
            release?.takeIf { isNewestReleased }?.let { it.learnedAt.steadyMs + settings.clockMarginMs },
            sentAt.steadyMs + settings.clockMarginMs,
        ).min()
        return DutyPredecessor(newest?.holder, rightEndedAtMs)
    }

    /** Records that the log was read at [now] in [readEra]: it holds [records] and ends at [end]. */
    public fun onLogRead(records: List<DutyRecord>, end: Long, readEra: Long, now: ClockReading) {
        isCallInFlight = false
        isStoreFailing = false
        if (readEra != era) return
        lastAppendAt = null
        nextOffset = end
        val newestOfEra = records.lastOrNull { it.isOfCurrentEra }
        if (newestOfEra != null) {
            if (newestOfEra.epoch != ownEpoch) validFrom = null
            newest = newestOfEra
            learnedAt = now
        }
        if (newest == null) newest = records.lastOrNull()
    }

    /**
     * Records that an append failed at [now] because the log ends at [end]; [missed] are the records from the offset of
     * that append. When all of them belong to the current epoch of this VM, they are its own appends whose responses
     * were lost, and the lease stays valid.
     */
    public fun onAppendConflict(missed: List<DutyRecord>, end: Long, now: ClockReading) {
        isCallInFlight = false
        isStoreFailing = false
        if (nextOffset == null) return
        val areAllOwn = missed.isNotEmpty() && missed.all { it.holder == own && it.epoch == ownEpoch }
        if (!areAllOwn) {
            validFrom = null
            learnedAt = now
        }
        newest = missed.lastOrNull()
        nextOffset = end
        isLogKnown = true
    }

    /** Records that an append or a read got no response or was refused. */
    public fun onCallFailed() {
        isCallInFlight = false
        isStoreFailing = true
    }

    /** Gives up the duty for good at [now]; returns whether this VM had the right to order. */
    public fun release(now: ClockReading): Boolean {
        val couldOrder = mayOrder(now)
        hasReleased = true
        giveUp(now, couldOrder)
        return couldOrder
    }

    /**
     * Gives up the duty at [now] until [nextStep] takes it again, unless this VM has held it for too short a time.
     * Returns whether it has given up the right to order.
     */
    public fun handOver(now: ClockReading): Boolean {
        val mayHandOver = mayOrder(now) && now.steadyMs - takenAtMs >= settings.minHoldMs
        if (mayHandOver) giveUp(now, isNews = true)
        return mayHandOver
    }

    private fun giveUp(now: ClockReading, isNews: Boolean) {
        if (isNews) ownEpoch?.let { release = Release(it, now) }
        validFrom = null
        renewedAt = null
    }

    /** Applies the news, learned at [now], that the holder of [epoch] has given up the duty. */
    public fun onReleased(epoch: Long, now: ClockReading) {
        if (epoch != ownEpoch && epoch > (release?.epoch ?: 0)) release = Release(epoch, now)
    }

    /**
     * Returns whether this VM must tell its peers at [now] that it has given up the duty: while that shortens the wait
     * of a candidate.
     */
    public fun mustReportRelease(now: ClockReading): Boolean {
        val given = release?.takeIf { mayTakeBack } ?: return false
        return now.steadyMs - given.learnedAt.steadyMs < settings.quietMs - settings.releasedQuietMs
    }

    private companion object {
        /** Time to wait for a report of a holder before the first append, in milliseconds: two report intervals. */
        const val INITIAL_WAIT_MS = 600L

        /** The first epoch; no other holder has sent orders before it. */
        const val FIRST_EPOCH = 1L
    }
}
