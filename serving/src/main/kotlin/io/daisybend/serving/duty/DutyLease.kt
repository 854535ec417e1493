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
)

/** A record of the lease at [offset] of the log; [epoch] increases with each change of the holder. */
public data class DutyRecord(val holder: DutyHolder, val epoch: Long, val offset: Long)

/** The action that the lease requests. */
public sealed interface DutyStep {
    /** Do nothing now. */
    public data object Wait : DutyStep

    /** Append a record of this VM at exactly [atOffset]. */
    public data class Append(val atOffset: Long) : DutyStep
}

/** The state of the lease on one VM; not thread-safe. */
public class DutyLease(private val own: DutyHolder, private val settings: DutySettings, startedAt: ClockReading) {
    private var newest: DutyRecord? = null
    private var nextOffset = 0L
    private var learnedAt = startedAt
    private var isLogKnown = false
    private var validFrom: ClockReading? = null
    private var lastAppendAt: ClockReading? = null
    private var isAppendInFlight = false
    private var isStoreFailing = false
    private var attemptedOffset = -1L
    private var firstAttemptAt = startedAt

    /** The newest record that this VM knows. */
    public val newestRecord: DutyRecord? get() = newest

    /** The epoch of this process when it wrote the newest record, or null. */
    public val ownEpoch: Long? get() = newest?.takeIf { it.holder == own }?.epoch

    private val wasHeldByPreviousProcess: Boolean
        get() = newest?.let { it.holder != own && it.holder.isOnSameVm(own) } ?: false

    /** Returns whether this VM may send an order at [now]. */
    public fun mayOrder(now: ClockReading): Boolean {
        val from = validFrom ?: return false
        return newest?.holder == own && now.ageOf(from) < settings.validityMs - settings.clockMarginMs
    }

    /** Applies a record that a peer reported at [now], unless this VM knows it or a newer one. */
    public fun onPeerRecord(record: DutyRecord, now: ClockReading) {
        if (record.offset < nextOffset) return
        val isOwnRenewal = record.holder == own && record.epoch == ownEpoch && record.offset == attemptedOffset
        if (!isOwnRenewal) {
            validFrom = null
        } else if (validFrom != null) {
            validFrom = firstAttemptAt
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
        val held = newest?.takeIf { it.holder == own && isStoreFailing } ?: return null
        val renewedAt = validFrom ?: return null
        if (now.ageOf(renewedAt) < settings.renewalIntervalMs) return null
        recordAttempt(now)
        return DutyRecord(own, held.epoch, nextOffset)
    }

    /** Returns whether this VM may append [renewal] for its holder: it must be the next record of the newest epoch. */
    public fun mayAppendFor(renewal: DutyRecord): Boolean =
        renewal.offset == nextOffset && newest?.holder == renewal.holder && newest?.epoch == renewal.epoch

    private fun recordAttempt(now: ClockReading) {
        if (attemptedOffset == nextOffset) return
        attemptedOffset = nextOffset
        firstAttemptAt = now
    }

    /** Returns the action to take at [now]; [rank] is the position of this VM among the candidates, 0 first. */
    public fun nextStep(now: ClockReading, rank: Int): DutyStep {
        if (isAppendInFlight) return DutyStep.Wait
        val sinceAppendMs = lastAppendAt?.let { now.ageOf(it) } ?: Long.MAX_VALUE
        if (newest?.holder == own && validFrom != null) {
            return if (sinceAppendMs >= settings.renewalIntervalMs) DutyStep.Append(nextOffset) else DutyStep.Wait
        }
        if (sinceAppendMs < settings.renewalIntervalMs) return DutyStep.Wait
        val sinceLearnedMs = now.steadyMs - learnedAt.steadyMs
        return if (sinceLearnedMs >= requiredQuietMs(rank)) DutyStep.Append(nextOffset) else DutyStep.Wait
    }

    /** Returns the time after [now] at which [nextStep] may request an append, in milliseconds, if nothing changes. */
    public fun nextStepInMs(now: ClockReading, rank: Int): Long {
        val sinceAppendMs = lastAppendAt?.let { now.ageOf(it) } ?: Long.MAX_VALUE
        val renewalInMs = settings.renewalIntervalMs - sinceAppendMs.coerceAtMost(settings.renewalIntervalMs)
        if (newest?.holder == own && validFrom != null) return renewalInMs
        return maxOf(renewalInMs, requiredQuietMs(rank) - (now.steadyMs - learnedAt.steadyMs))
    }

    /** Returns how long no new record must be seen before the candidate with [rank] may append, in milliseconds. */
    private fun requiredQuietMs(rank: Int): Long {
        val waitMs =
            if (isLogKnown) settings.validityMs + settings.handoverGapMs + settings.clockMarginMs else INITIAL_WAIT_MS
        return if (wasHeldByPreviousProcess) 0 else waitMs + rank * settings.candidateStaggerMs
    }

    /** Records that an append was sent at [now]. */
    public fun onAppendSent(now: ClockReading) {
        isAppendInFlight = true
        lastAppendAt = now
        recordAttempt(now)
    }

    /**
     * Records that the append for [epoch] sent at [sentAt] succeeded at [offset]. Returns whether this VM starts or
     * resumes sending orders.
     */
    public fun onAppended(sentAt: ClockReading, offset: Long, epoch: Long): Boolean {
        isAppendInFlight = false
        val hasStarted = ownEpoch != epoch || validFrom == null
        newest = DutyRecord(own, epoch, offset)
        nextOffset = offset + 1
        isLogKnown = true
        learnedAt = sentAt
        validFrom = sentAt
        isStoreFailing = false
        return hasStarted
    }

    /**
     * Records that an append failed at [now] because the log ends at [end]; [missed] are the records from the offset of
     * that append. When all of them belong to the current epoch of this VM, they are its own appends whose responses
     * were lost, and the lease stays valid.
     */
    public fun onAppendConflict(missed: List<DutyRecord>, end: Long, now: ClockReading) {
        isAppendInFlight = false
        isStoreFailing = false
        val areAllOwn = missed.isNotEmpty() && missed.all { it.holder == own && it.epoch == ownEpoch }
        if (!areAllOwn) {
            validFrom = null
            learnedAt = now
        }
        newest = missed.lastOrNull()
        nextOffset = end
        isLogKnown = true
    }

    /** Records that an append got no response or was refused. */
    public fun onAppendFailed() {
        isAppendInFlight = false
        isStoreFailing = true
    }

    /** Stops sending orders until the next successful append. */
    public fun release() {
        validFrom = null
    }

    private companion object {
        /** Time to wait for a report of a holder before the first append, in milliseconds: two report intervals. */
        const val INITIAL_WAIT_MS = 600L
    }
}
