/*
 * Admits the requests of one team. A reservation takes tokens from the seats held here and asks the holders of other
 * seats for the rest, fullest seat first, in a few rounds. A grant counts for a reservation only within its validity,
 * which runs from the moment at which it was asked for, on this process's clock. A reservation that cannot be filled
 * returns everything and is refused.
 */
package io.daisybend.rates

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId

internal class TeamRates(
    private val teamId: TeamId,
    private val self: HolderId,
    private val settings: RateSettings,
    private var limits: TeamLimits,
) {
    private class Part(
        val seatIndex: Int,
        val holder: HolderId,
        val number: Long,
        val microTokens: Long,
        val askedMs: Long,
    )

    private class Ask(val seatIndex: Int, val holder: HolderId, val wantedMicroTokens: Long, val askedMs: Long)

    private class Pending(val requestId: RequestId, val tokens: Long, val neededMicroTokens: Long) {
        var parts: List<Part> = emptyList()
        val openAsks = LinkedHashMap<Long, Ask>()
        val exhaustedSeats = HashSet<Int>()
        var rounds = 0
        val missingMicroTokens: Long get() = neededMicroTokens - parts.sumOf { it.microTokens }
        val askedMicroTokens: Long get() = openAsks.values.sumOf { it.wantedMicroTokens }
    }

    private class Admitted(val tokens: Long, val parts: List<Part>)

    private var share = limits.seatShare(settings.seatsPerTeam)
    private val heldSeats = HeldSeats(share)
    private var holders: List<HolderId?> = emptyList()
    private val seatReports = SeatReports()
    private val pending = LinkedHashMap<RequestId, Pending>()
    private val pendingByAsk = HashMap<Long, Pending>()
    private val admitted = HashMap<RequestId, Admitted>()
    private val settlements = SettlementQueue(teamId, self, settings)
    private var nextNumber = 0L

    var counters: RateCounters = RateCounters()
        private set

    /** The number of reservations and grants that take memory. */
    val entryCount: Int get() = pending.size + admitted.size + heldSeats.grantCount

    fun changeLimits(newLimits: TeamLimits, nowMs: Long) {
        if (newLimits == limits) return
        limits = newLimits
        share = newLimits.seatShare(settings.seatsPerTeam)
        heldSeats.changeShare(share, nowMs)
        seatReports.clear()
    }

    fun changeHolders(newHolders: List<HolderId?>) {
        newHolders.forEachIndexed { index, holder -> if (holders.getOrNull(index) != holder) seatReports.forget(index) }
        holders = newHolders
    }

    fun openSeat(action: SeatAction.Open) {
        heldSeats.open(action.seatId.index, action.balanceMicroTokens, action.refillFromMs, action.termEndMs)
    }

    fun extendSeat(seatIndex: Int, termEndMs: Long): Unit = heldSeats.extend(seatIndex, termEndMs)

    fun closeSeat(seatIndex: Int, nowMs: Long): Long = heldSeats.close(seatIndex, nowMs)

    fun reserve(requestId: RequestId, tokens: Long, nowMs: Long): List<RateAction> {
        if (requestId in pending || requestId in admitted) return emptyList()
        val largestTokens = share.capacityMicroTokens * settings.seatsPerTeam / MICRO_TOKENS_PER_TOKEN
        if (tokens > largestTokens) {
            return refuse(requestId, RateRefusal.ExceedsBurst(tokens, largestTokens), retryAfterMs = null)
        }
        val reservation = Pending(requestId, tokens, tokens.coerceAtLeast(0) * MICRO_TOKENS_PER_TOKEN)
        pending[requestId] = reservation
        return startRound(reservation, nowMs)
    }

    fun settle(requestId: RequestId, usedTokens: Long, nowMs: Long) {
        val waiting = pending.remove(requestId)
        if (waiting != null) return abandon(waiting, nowMs)
        val request = admitted.remove(requestId) ?: return
        var unusedMicroTokens = (request.tokens - usedTokens.coerceIn(0, request.tokens)) * MICRO_TOKENS_PER_TOKEN
        request.parts.forEach { part ->
            val returned = minOf(unusedMicroTokens, part.microTokens)
            unusedMicroTokens -= returned
            settlePart(part, returned, nowMs)
        }
    }

    fun receive(message: RateMessage.OfTeam, nowMs: Long): List<RateAction> = when (message) {
        is RateMessage.Ask -> answer(message, nowMs)
        is RateMessage.Grant -> takeGrant(message, nowMs)
        is RateMessage.Settlements -> {
            if (message.holder == self) message.grants.forEach { heldSeats.apply(it, message.asker, nowMs) }
            emptyList()
        }
    }

    fun tick(nowMs: Long): List<RateAction> {
        val timedOut = pending.values.filter { closeOldAsks(it, nowMs) }
        return timedOut.flatMap { finishRound(it, nowMs) } + settlements.takeDue(nowMs)
    }

    private fun startRound(reservation: Pending, nowMs: Long): List<RateAction> {
        val sources = sources(reservation, nowMs)
        if (sources.sumOf { it.availableMicroTokens } < reservation.missingMicroTokens) {
            return refuseShort(reservation, nowMs)
        }
        reservation.rounds++
        val asks = sources.mapNotNull { take(reservation, it, nowMs) }
        return if (reservation.openAsks.isEmpty()) finishRound(reservation, nowMs) else asks
    }

    /** The seats to draw from, best first; seats that seem equally full come in an order of the request's own. */
    private fun sources(reservation: Pending, nowMs: Long): List<TokenSource> {
        val own = heldSeats.runningSeats(nowMs).map {
            seatReports.ownSource(it, self, heldSeats.balanceMicroTokens(it, nowMs), share)
        }
        val remote = holders.mapIndexedNotNull { index, holder ->
            if (holder == null ||
                holder.vmId == self.vmId
            ) {
                null
            } else {
                seatReports.remoteSource(index, holder, share, nowMs)
            }
        }
        val firstIndex = Math.floorMod(reservation.requestId.hashCode(), settings.seatsPerTeam)
        return (own + remote)
            .filter { it.availableMicroTokens > 0 && it.seatIndex !in reservation.exhaustedSeats }
            .sortedWith(
                compareByDescending<TokenSource> { it.preferenceMicroTokens }
                    .thenBy { Math.floorMod(it.seatIndex - firstIndex, settings.seatsPerTeam) },
            )
    }

    /** Takes from a seat held here at once; returns an ask for one held elsewhere. */
    private fun take(reservation: Pending, source: TokenSource, nowMs: Long): RateAction? {
        val wanted = minOf(source.availableMicroTokens, reservation.missingMicroTokens - reservation.askedMicroTokens)
        if (wanted <= 0) return null
        val number = nextNumber++
        return if (source.holder == self) {
            takeHere(reservation, source.seatIndex, number, wanted, nowMs)
            null
        } else {
            ask(reservation, source, number, wanted, nowMs)
        }
    }

    private fun takeHere(reservation: Pending, seatIndex: Int, number: Long, wanted: Long, nowMs: Long) {
        val expiresAtMs = nowMs + settings.grantExpiryMs
        val granted = heldSeats.grant(seatIndex, GrantId(self, number), wanted, expiresAtMs, nowMs)
        if (granted > 0) reservation.parts += Part(seatIndex, self, number, granted, nowMs)
    }

    private fun ask(reservation: Pending, source: TokenSource, number: Long, wanted: Long, nowMs: Long): RateAction {
        reservation.openAsks[number] = Ask(source.seatIndex, source.holder, wanted, nowMs)
        pendingByAsk[number] = reservation
        counters = counters.copy(asksSent = counters.asksSent + 1)
        val message = RateMessage.Ask(teamId, self, number, source.holder, source.seatIndex, wanted)
        return RateAction.Send(source.holder.vmId, message)
    }

    private fun answer(ask: RateMessage.Ask, nowMs: Long): List<RateAction> {
        val grantId = GrantId(ask.asker, ask.askNumber)
        val expiresAtMs = nowMs + settings.grantExpiryMs
        val granted = when (ask.holder) {
            self -> heldSeats.grant(ask.seatIndex, grantId, ask.wantedMicroTokens, expiresAtMs, nowMs)
            else -> 0
        }
        if (granted > 0) counters = counters.copy(grantsGiven = counters.grantsGiven + 1)
        val balance = heldSeats.balanceMicroTokens(ask.seatIndex, nowMs)
        val grant = RateMessage.Grant(teamId, ask.asker, ask.askNumber, ask.seatIndex, granted, balance)
        return listOf(RateAction.Send(ask.asker.vmId, grant))
    }

    private fun takeGrant(grant: RateMessage.Grant, nowMs: Long): List<RateAction> {
        if (grant.asker != self) return emptyList()
        val reservation = pendingByAsk.remove(grant.askNumber) ?: return emptyList()
        val ask = reservation.openAsks.remove(grant.askNumber) ?: return emptyList()
        seatReports.note(ask.seatIndex, grant.balanceMicroTokens, nowMs)
        val granted = grant.grantedMicroTokens.coerceIn(0, ask.wantedMicroTokens)
        if (granted > 0) reservation.parts += Part(ask.seatIndex, ask.holder, grant.askNumber, granted, ask.askedMs)
        return if (reservation.openAsks.isEmpty()) finishRound(reservation, nowMs) else emptyList()
    }

    /** Gives up asks that were not answered in time; returns whether the round is over. */
    private fun closeOldAsks(reservation: Pending, nowMs: Long): Boolean {
        val old = reservation.openAsks.filterValues { nowMs - it.askedMs >= settings.askTimeoutMs }
        old.forEach { (number, ask) ->
            reservation.openAsks.remove(number)
            pendingByAsk.remove(number)
            reservation.exhaustedSeats += ask.seatIndex
            settlements.add(ask.holder, SettledGrant(number, ask.seatIndex, ask.wantedMicroTokens), nowMs)
        }
        counters = counters.copy(asksTimedOut = counters.asksTimedOut + old.size)
        return old.isNotEmpty() && reservation.openAsks.isEmpty()
    }

    private fun finishRound(reservation: Pending, nowMs: Long): List<RateAction> {
        dropExpiredParts(reservation, nowMs)
        return when {
            reservation.missingMicroTokens <= 0 -> admit(reservation, nowMs)
            reservation.rounds < settings.maxAskRounds -> startRound(reservation, nowMs)
            else -> refuseShort(reservation, nowMs)
        }
    }

    private fun dropExpiredParts(reservation: Pending, nowMs: Long) {
        val (valid, expired) = reservation.parts.partition { nowMs - it.askedMs <= settings.grantValidityMs }
        reservation.parts = valid
        expired.forEach { settlePart(it, it.microTokens, nowMs) }
    }

    private fun admit(reservation: Pending, nowMs: Long): List<RateAction> {
        pending.remove(reservation.requestId)
        admitted[reservation.requestId] = Admitted(reservation.tokens, reservation.parts)
        reservation.parts.forEach { part ->
            when (part.holder) {
                self -> heldSeats.confirm(part.seatIndex, GrantId(self, part.number), nowMs)
                else -> settlements.add(part.holder, SettledGrant(part.number, part.seatIndex), nowMs)
            }
        }
        val isLocal = reservation.parts.all { it.holder == self }
        counters = counters.copy(
            admitted = counters.admitted + 1,
            admittedWithoutMessages = counters.admittedWithoutMessages + if (isLocal) 1 else 0,
        )
        val oldestAskMs = reservation.parts.minOfOrNull { it.askedMs } ?: nowMs
        return listOf(RateAction.Admitted(reservation.requestId, oldestAskMs + settings.grantValidityMs))
    }

    private fun refuseShort(reservation: Pending, nowMs: Long): List<RateAction> {
        pending.remove(reservation.requestId)
        val missingMicroTokens = reservation.missingMicroTokens
        val availableTokens = sources(reservation, nowMs).sumOf { it.availableMicroTokens } / MICRO_TOKENS_PER_TOKEN
        abandon(reservation, nowMs)
        val refillPerMs = share.refillMicroTokensPerMs * settings.seatsPerTeam
        val retryAfterMs = if (refillPerMs == 0L) null else missingMicroTokens / refillPerMs + 1
        return refuse(
            reservation.requestId,
            RateRefusal.RateExceeded(reservation.tokens, availableTokens),
            retryAfterMs,
        )
    }

    private fun refuse(requestId: RequestId, refusal: RateRefusal, retryAfterMs: Long?): List<RateAction> {
        counters = counters.copy(refused = counters.refused + 1)
        return listOf(RateAction.Refused(requestId, refusal, retryAfterMs))
    }

    /** Returns everything that a reservation has or may still get. */
    private fun abandon(reservation: Pending, nowMs: Long) {
        reservation.parts.forEach { settlePart(it, it.microTokens, nowMs) }
        reservation.openAsks.forEach { (number, ask) ->
            pendingByAsk.remove(number)
            settlements.add(ask.holder, SettledGrant(number, ask.seatIndex, ask.wantedMicroTokens), nowMs)
        }
    }

    private fun settlePart(part: Part, returnedMicroTokens: Long, nowMs: Long) = when (part.holder) {
        self -> heldSeats.settle(part.seatIndex, GrantId(self, part.number), returnedMicroTokens, nowMs)
        else -> settlements.add(part.holder, SettledGrant(part.number, part.seatIndex, returnedMicroTokens), nowMs)
    }
}
