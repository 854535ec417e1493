/*
 * Extends the term of a holder by the support of its witnesses while the log does not answer, and decides as a witness
 * whom to support. A witness either supports a holder for a term or suspects it in the log, never both at once; a
 * process that forgets what it promised is a new process and no witness of old terms. Support counts from the moment
 * of asking, on the holder's clock, and from the receipt of the ask, with the drift margin, on the witness's clock.
 */
package io.daisybend.rates

internal class TermExtension(private val self: HolderId, private val settings: RateSettings) {
    private class Round(val number: Long, val askedMs: Long) {
        val supporters = HashSet<HolderId>()
    }

    /** When the last own record that has been read back was sent. */
    var confirmedAskMs = Long.MIN_VALUE / 2
        private set

    private var confirmedOffset = -1L
    private var confirmedSequence = -1L
    private var confirmedWitnesses: List<HolderId> = emptyList()
    private val sentWitnesses = LinkedHashMap<Long, List<HolderId>>()
    private var round = Round(number = 0, askedMs = Long.MIN_VALUE / 2)
    private val supportedUntilMs = HashMap<HolderId, Long>()
    private val suspectedOffsets = HashMap<HolderId, Long>()

    val hasUnconfirmedWitnesses: Boolean get() = sentWitnesses.isNotEmpty()

    /** Notes the witnesses in a record that may or may not reach the log. */
    fun noteSentWitnesses(sequence: Long, witnesses: List<HolderId>) {
        sentWitnesses[sequence] = witnesses
    }

    fun noteOwnRecord(sequence: Long, offset: Long, askedMs: Long) {
        confirmedAskMs = maxOf(confirmedAskMs, askedMs)
        confirmedOffset = offset
        sentWitnesses[sequence]?.takeIf { sequence > confirmedSequence }?.let { confirmWitnesses(sequence, it) }
    }

    private fun confirmWitnesses(sequence: Long, witnesses: List<HolderId>) {
        confirmedSequence = sequence
        confirmedWitnesses = witnesses
        sentWitnesses.keys.removeIf { it <= sequence }
    }

    /** Starts a new round when the log has been silent for half a term and the last round is old enough. */
    fun askWitnesses(holdsSeats: Boolean, nowMs: Long): List<SeatAction> {
        val isLogSilent = nowMs - confirmedAskMs >= settings.termMs / 2
        val isDue = holdsSeats && isLogSilent && nowMs - round.askedMs >= settings.termMs / ROUNDS_PER_TERM
        val isAllowed = nowMs + settings.termMs <= confirmedAskMs + settings.longestExtensionMs
        if (!isDue || !isAllowed) return emptyList()
        round = Round(round.number + 1, nowMs)
        val message = RateMessage.SupportAsk(self, confirmedOffset, round.number)
        return allWitnessSets().flatten().distinct().map { SeatAction.Send(it.vmId, message) }
    }

    /** Counts a witness's support; returns the new end of the term once it suffices. */
    fun take(support: RateMessage.Support): Long? {
        if (support.holder != self || support.round != round.number) return null
        round.supporters += support.witness
        val isEnough = allWitnessSets().all { witnesses ->
            witnesses.count { it in round.supporters } >= supportNeeded(witnesses.size)
        }
        return if (isEnough) round.askedMs + settings.termMs else null
    }

    /** Supports the asking holder unless this process has suspected it since its latest record. */
    fun answer(ask: RateMessage.SupportAsk, nowMs: Long): SeatAction? {
        if ((suspectedOffsets[ask.holder] ?: -1) >= ask.leaseOffset) return null
        supportedUntilMs.merge(ask.holder, nowMs + settings.termExpiryMs, ::maxOf)
        return SeatAction.Send(ask.holder.vmId, RateMessage.Support(self, ask.holder, ask.round))
    }

    fun isSupported(holder: HolderId, nowMs: Long): Boolean {
        val untilMs = supportedUntilMs[holder] ?: return false
        if (untilMs <= nowMs) supportedUntilMs.remove(holder)
        return untilMs > nowMs
    }

    fun noteSuspicion(suspicion: Suspicion) {
        suspectedOffsets.merge(suspicion.holder, suspicion.leaseOffset, ::maxOf)
    }

    /** The confirmed witnesses and those of every later record that may stand in the log. */
    private fun allWitnessSets(): List<List<HolderId>> = listOf(confirmedWitnesses) + sentWitnesses.values

    private companion object {
        const val ROUNDS_PER_TERM = 4
    }
}
