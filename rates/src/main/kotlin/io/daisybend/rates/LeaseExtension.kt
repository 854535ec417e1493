/*
 * Extends the term of a holder by the support of its witnesses while the log does not answer, and decides as a witness
 * whom to support. A witness either supports a holder for a term or suspects it in the log, never both at once; a
 * process that forgets what it promised is a new process and no witness of old terms. Support counts from the moment of
 * asking, on the holder's clock, and from the receipt of the ask, with the drift margin, on the witness's clock.
 */
package io.daisybend.rates

internal class LeaseExtension(private val self: HolderId, private val settings: RateSettings) {
    private class Round(val number: Long, val sentAtMs: Long) {
        val supporters = HashSet<HolderId>()
    }

    /** When the last own record that has been read back was sent. */
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

    /** Notes the witnesses in a record that may or may not reach the log. */
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

    /** Starts a new round when the log has been silent for half a term and the last round is old enough. */
    fun requestSupport(holdsShards: Boolean, nowMs: Long): List<ShardAction> {
        val isLogUnresponsive = nowMs - confirmedSentAtMs >= settings.leaseDurationMs / 2
        val isDue = holdsShards && isLogUnresponsive && nowMs - round.sentAtMs >= settings.leaseDurationMs / ROUNDS_PER_LEASE
        val isAllowed = nowMs + settings.leaseDurationMs <= confirmedSentAtMs + settings.maxExtensionMs
        if (!isDue || !isAllowed) return emptyList()
        round = Round(round.number + 1, nowMs)
        val message = RateMessage.SupportRequest(self, confirmedOffset, round.number)
        return allWitnessSets().flatten().distinct().map { ShardAction.Send(it.vmId, message) }
    }

    /** Counts a witness's support; returns the new end of the term once it suffices. */
    fun countSupport(support: RateMessage.Support): Long? {
        if (support.holder != self || support.round != round.number) return null
        round.supporters += support.witness
        val isEnough = allWitnessSets().all { witnesses ->
            witnesses.count { it in round.supporters } >= supportQuorum(witnesses.size)
        }
        return if (isEnough) round.sentAtMs + settings.leaseDurationMs else null
    }

    /** Supports the asking holder unless this process has suspected it since its latest record. */
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

    /** The confirmed witnesses and those of every later record that may stand in the log. */
    private fun allWitnessSets(): List<List<HolderId>> = listOf(confirmedWitnesses) + sentWitnesses.values

    private companion object {
        const val ROUNDS_PER_LEASE = 4
    }
}
