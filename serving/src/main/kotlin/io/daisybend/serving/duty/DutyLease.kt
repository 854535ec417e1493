/*
 * Who gives orders to engines. One VM at a time holds the duty, by records appended to a log at a known offset: an
 * append succeeds only if nothing else was appended since. The holder stops ordering before its newest record can be
 * older than the validity on either of its clocks. A successor counts from the moment it learned of the newest record,
 * which is never before that record was written, waits for the validity and for the time that two holders must lie
 * apart, and then appends at the offset it knows; if the holder renewed meanwhile, that append fails.
 *
 * A process takes over at once where the former process of its machine wrote the newest record: to engines it is the
 * same holder, and its append succeeds only if no other VM has appended since.
 *
 * A holder whose renewals failed goes on at once when it appends again, since success means that nobody else did.
 * While the store turns it away, it asks its peers to append its record for it; validity then counts from the first
 * try or ask for that offset, whoever's append lands.
 */
package io.daisybend.serving.duty

import io.daisybend.serving.site.ClockReading

/** Times of the duty's lease. */
public data class DutySettings(
    /** How long a record lets its holder order, in milliseconds: three renewals and a slow answer. */
    val validityMs: Long = 1_700,
    /** Time between renewals, in milliseconds. */
    val renewalIntervalMs: Long = 500,
    /** How long the orders of two holders must lie apart, in milliseconds; set by the platform. */
    val handoverGapMs: Long = 3_000,
    /** What clocks of two VMs may differ by over one wait, and an order's way, in milliseconds. */
    val clockMarginMs: Long = 300,
    /** Time between the attempts of successive candidates, in milliseconds: more than an append takes. */
    val candidateStaggerMs: Long = 120,
)

/** The newest record known: [offset] is its place in the log; [epoch] numbers the turns of all holders upwards. */
public data class DutyRecord(val holder: DutyHolder, val epoch: Long, val offset: Long)

/** What the lease asks its runtime to do. */
public sealed interface DutyStep {
    /** Nothing to do now. */
    public data object Wait : DutyStep

    /** Append a record of this VM; it must land at [atOffset]. */
    public data class Append(val atOffset: Long) : DutyStep
}

/** One VM's part in the lease; not safe for use by several threads. */
public class DutyLease(private val own: DutyHolder, private val settings: DutySettings, startedAt: ClockReading) {
    private var newest: DutyRecord? = null
    private var nextOffset = 0L
    private var learnedAt = startedAt
    private var logIsKnown = false
    private var validFrom: ClockReading? = null
    private var lastAppendAt: ClockReading? = null
    private var appending = false
    private var isTurnedAway = false
    private var triedOffset = -1L
    private var firstTriedAt = startedAt

    /** The newest record that this VM knows. */
    public val newestRecord: DutyRecord? get() = newest

    /** The turn in which this VM orders. */
    public val ownEpoch: Long? get() = newest?.takeIf { it.holder == own }?.epoch

    private val wasHeldByFormerProcess: Boolean
        get() = newest?.let { it.holder != own && it.holder.isOnSameVm(own) } ?: false

    /** Whether this VM may send an order at [now]. */
    public fun mayOrder(now: ClockReading): Boolean {
        val from = validFrom ?: return false
        return newest?.holder == own && now.ageOf(from) < settings.validityMs - settings.clockMarginMs
    }

    /** Takes in a record that a peer told of at [now]. */
    public fun onPeerRecord(record: DutyRecord, now: ClockReading) {
        if (record.offset < nextOffset) return
        val isOwnRenewal = record.holder == own && record.epoch == ownEpoch && record.offset == triedOffset
        if (!isOwnRenewal) {
            validFrom = null
        } else if (validFrom != null) {
            validFrom = firstTriedAt
        }
        newest = record
        nextOffset = record.offset + 1
        learnedAt = now
        logIsKnown = true
    }

    /** Returns the record that peers should append for this VM, a holder that the store turns away; else null. */
    public fun renewalToDelegate(now: ClockReading): DutyRecord? {
        val held = newest?.takeIf { it.holder == own && isTurnedAway } ?: return null
        val renewedAt = validFrom ?: return null
        if (now.ageOf(renewedAt) < settings.renewalIntervalMs) return null
        noteTry(now)
        return DutyRecord(own, held.epoch, nextOffset)
    }

    /** Returns whether this VM should append [asked] for its holder: it must be the next record of the newest turn. */
    public fun mayAppendFor(asked: DutyRecord): Boolean =
        asked.offset == nextOffset && newest?.holder == asked.holder && newest?.epoch == asked.epoch

    private fun noteTry(now: ClockReading) {
        if (triedOffset == nextOffset) return
        triedOffset = nextOffset
        firstTriedAt = now
    }

    /** Returns what to do at [now]; [rank] is this VM's place among the candidates, 0 first. */
    public fun nextStep(now: ClockReading, rank: Int): DutyStep {
        if (appending) return DutyStep.Wait
        val sinceAppendMs = lastAppendAt?.let { now.ageOf(it) } ?: Long.MAX_VALUE
        if (newest?.holder == own && validFrom != null) {
            return if (sinceAppendMs >= settings.renewalIntervalMs) DutyStep.Append(nextOffset) else DutyStep.Wait
        }
        if (sinceAppendMs < settings.renewalIntervalMs) return DutyStep.Wait
        val quietMs = now.steadyMs - learnedAt.steadyMs
        return if (quietMs >= quietNeededMs(rank)) DutyStep.Append(nextOffset) else DutyStep.Wait
    }

    /** How long the log must have been quiet before this VM, the candidate [rank], may append, in milliseconds. */
    private fun quietNeededMs(rank: Int): Long {
        val waitMs =
            if (logIsKnown) settings.validityMs + settings.handoverGapMs + settings.clockMarginMs else FIRST_LOOK_MS
        return if (wasHeldByFormerProcess) 0 else waitMs + rank * settings.candidateStaggerMs
    }

    /** Notes that an append was sent at [now]. */
    public fun onAppendSent(now: ClockReading) {
        appending = true
        lastAppendAt = now
        noteTry(now)
    }

    /** Notes that the append of [epoch] sent at [sentAt] landed at [offset]; returns whether a new turn began. */
    public fun onAppended(sentAt: ClockReading, offset: Long, epoch: Long): Boolean {
        appending = false
        val isNewTurn = ownEpoch != epoch || validFrom == null
        newest = DutyRecord(own, epoch, offset)
        nextOffset = offset + 1
        logIsKnown = true
        learnedAt = sentAt
        validFrom = sentAt
        isTurnedAway = false
        return isNewTurn
    }

    /**
     * Notes that an append failed at [now] because the log ends at [end], and that it holds [missed] from the offset
     * that this VM knew. Records of this VM alone are appends of its own whose answers were lost: its turn goes on.
     */
    public fun onAppendConflict(missed: List<DutyRecord>, end: Long, now: ClockReading) {
        appending = false
        isTurnedAway = false
        val onlyOwn = missed.isNotEmpty() && missed.all { it.holder == own && it.epoch == ownEpoch }
        if (!onlyOwn) {
            validFrom = null
            learnedAt = now
        }
        newest = missed.lastOrNull()
        nextOffset = end
        logIsKnown = true
    }

    /** Notes that an append got no answer or was refused. */
    public fun onAppendFailed() {
        appending = false
        isTurnedAway = true
    }

    /** Gives the duty up: this VM orders no more in this turn. */
    public fun release() {
        validFrom = null
    }

    private companion object {
        /** Time that a VM listens for a holder before its first append, in milliseconds: two rounds of reports. */
        const val FIRST_LOOK_MS = 600L
    }
}
