/*
 * Extends the lease of a holder with the support of its witnesses while the log is unavailable, and decides as a
 * witness which holders to support. A witness either supports a holder for one lease duration or records a suspicion
 * against it, never both at once; a restarted process gets a new identity and is not a witness of earlier leases. The
 * holder counts the extension from sending its request; the witness counts it from receiving the request and adds the
 * drift margin.
 */
package io.daisybend.rates

internal class LeaseExtension(private val self: HolderId, private val settings: RateSettings) {
    private class Round(val number: Long, val sentAtMs: Long) {
        val supporters = HashSet<HolderId>()
    }

    /** The latest send time among the records of this process that have been read back from the log. */
    var confirmedSentAtMs = Long.MIN_VALUE / 2
        private set

    private var confirmedOffset = -1L
    private var confirmedSequence = -1L
    private var confirmedWitnesses: List<HolderId> = emptyList()
    private val sentWitnesses = LinkedHashMap<Long, List<HolderId>>()
    private var round = Round(number = 0, sentAtMs = Long.MIN_VALUE / 2)
    private val supportedUntilMs = HashMap<HolderId, Long>()
    private val suspectedOffsets = HashMap<HolderId, Long>()

    val hasUnconfirmedWitnesses: Boolean get() = sentWitnesses.isNotEmpty()

    /** Remembers the witnesses of a sent record until the log confirms it or a later one with witnesses. */
    fun addSentWitnesses(sequence: Long, witnesses: List<HolderId>) {
        sentWitnesses[sequence] = witnesses
    }

    fun confirmOwnRecord(sequence: Long, offset: Long, sentAtMs: Long) {
        confirmedSentAtMs = maxOf(confirmedSentAtMs, sentAtMs)
        confirmedOffset = offset
        sentWitnesses[sequence]?.takeIf { sequence > confirmedSequence }?.let { confirmWitnesses(sequence, it) }
    }

    private fun confirmWitnesses(sequence: Long, witnesses: List<HolderId>) {
        confirmedSequence = sequence
        confirmedWitnesses = witnesses
        sentWitnesses.keys.removeIf { it <= sequence }
    }

    /**
     * Starts a new round of support requests if no record of this process sent within half a lease duration has been
     * confirmed, and the last round is old enough. The extension never ends later than [RateSettings.maxExtensionMs]
     * after the last confirmed record was sent.
     */
    fun requestSupport(holdsShards: Boolean, nowMs: Long): List<ShardAction> {
        val isLogUnresponsive = nowMs - confirmedSentAtMs >= settings.leaseDurationMs / 2
        val isDue =
            holdsShards && isLogUnresponsive && nowMs - round.sentAtMs >= settings.leaseDurationMs / ROUNDS_PER_LEASE
        val isAllowed = nowMs + settings.leaseDurationMs <= confirmedSentAtMs + settings.maxExtensionMs
        if (!isDue || !isAllowed) return emptyList()
        round = Round(round.number + 1, nowMs)
        val message = RateMessage.SupportRequest(self, confirmedOffset, round.number)
        return allWitnessSets().flatten().distinct().map { ShardAction.Send(it.vmId, message) }
    }

    /** Counts the support of one witness; returns the new lease end if a quorum of every witness set supports it. */
    fun countSupport(support: RateMessage.Support): Long? {
        if (support.holder != self || support.round != round.number) return null
        round.supporters += support.witness
        val isEnough = allWitnessSets().all { witnesses ->
            witnesses.count { it in round.supporters } >= supportQuorum(witnesses.size)
        }
        return if (isEnough) round.sentAtMs + settings.leaseDurationMs else null
    }

    /** Supports the requesting holder unless this process has suspected it at the requested offset or later. */
    fun respond(request: RateMessage.SupportRequest, nowMs: Long): ShardAction? {
        if ((suspectedOffsets[request.holder] ?: -1) >= request.leaseOffset) return null
        supportedUntilMs.merge(request.holder, nowMs + settings.leaseExpiryMs, ::maxOf)
        return ShardAction.Send(request.holder.vmId, RateMessage.Support(self, request.holder, request.round))
    }

    fun isSupported(holder: HolderId, nowMs: Long): Boolean {
        val untilMs = supportedUntilMs[holder] ?: return false
        if (untilMs <= nowMs) supportedUntilMs.remove(holder)
        return untilMs > nowMs
    }

    fun addSuspicion(suspicion: Suspicion) {
        suspectedOffsets.merge(suspicion.holder, suspicion.leaseOffset, ::maxOf)
    }

    /** Returns the confirmed witnesses and those of every later record that may have reached the log. */
    private fun allWitnessSets(): List<List<HolderId>> = listOf(confirmedWitnesses) + sentWitnesses.values

    private companion object {
        const val ROUNDS_PER_LEASE = 4
    }
}
