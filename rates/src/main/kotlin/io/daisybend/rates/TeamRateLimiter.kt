/*
 * Admits the requests of one team. A reservation takes tokens from local shards and, in a few rounds, requests grants
 * from the holders of remote shards, fullest shard first; if it cannot be filled, it returns all tokens and is refused.
 * A grant is valid for a limited time from the moment it was requested, measured by the clock of the requester.
 */
package io.daisybend.rates

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId

internal class TeamRateLimiter(
    private val teamId: TeamId,
    private val self: HolderId,
    private val settings: RateSettings,
    private var limits: TeamLimits,
) {
    private class Grant(
        val shardIndex: Int,
        val holder: HolderId,
        val grantNumber: Long,
        val microTokens: Long,
        val requestedAtMs: Long,
    )

    private class OpenGrantRequest(
        val shardIndex: Int,
        val holder: HolderId,
        val wantedMicroTokens: Long,
        val sentMs: Long,
    )

    private class PendingReservation(val requestId: RequestId, val tokens: Long, val neededMicroTokens: Long) {
        var grants: List<Grant> = emptyList()
        val openRequests = LinkedHashMap<Long, OpenGrantRequest>()
        val timedOutShards = HashSet<Int>()
        var rounds = 0
        val missingMicroTokens: Long get() = neededMicroTokens - grants.sumOf { it.microTokens }
        val requestedMicroTokens: Long get() = openRequests.values.sumOf { it.wantedMicroTokens }
    }

    private class AdmittedRequest(val tokens: Long, val grants: List<Grant>)

    private var shardLimits = limits.shardLimits(settings.shardsPerTeam)
    private val heldShards = HeldShards(shardLimits)
    private var holders: List<HolderId?> = emptyList()
    private val balanceReports = BalanceReports()
    private val pending = LinkedHashMap<RequestId, PendingReservation>()
    private val pendingByGrantNumber = HashMap<Long, PendingReservation>()
    private val admitted = HashMap<RequestId, AdmittedRequest>()
    private val settlements = SettlementQueue(teamId, self, settings)
    private var nextGrantNumber = 0L

    var counters: RateCounters = RateCounters()
        private set

    /** The number of reservations and grants held in memory. */
    val entryCount: Int get() = pending.size + admitted.size + heldShards.grantCount

    fun changeLimits(newLimits: TeamLimits, nowMs: Long) {
        if (newLimits == limits) return
        limits = newLimits
        shardLimits = newLimits.shardLimits(settings.shardsPerTeam)
        heldShards.changeLimits(shardLimits, nowMs)
        balanceReports.clear()
    }

    fun changeHolders(newHolders: List<HolderId?>) {
        newHolders.forEachIndexed { index, holder ->
            if (holders.getOrNull(index) != holder) balanceReports.remove(index)
        }
        holders = newHolders
    }

    fun openShard(action: ShardAction.Open) {
        heldShards.open(action.shardId.index, action.balanceMicroTokens, action.refillFromMs, action.leaseEndMs)
    }

    fun extendShard(shardIndex: Int, leaseEndMs: Long): Unit = heldShards.extend(shardIndex, leaseEndMs)

    fun closeShard(shardIndex: Int, nowMs: Long): Long = heldShards.close(shardIndex, nowMs)

    fun reserve(requestId: RequestId, tokens: Long, nowMs: Long): List<RateAction> {
        if (requestId in pending || requestId in admitted) return emptyList()
        val maxTokens = shardLimits.capacityMicroTokens * settings.shardsPerTeam / MICRO_TOKENS_PER_TOKEN
        if (tokens > maxTokens) {
            return refuse(requestId, RateRefusal.ExceedsBurst(tokens, maxTokens), retryAfterMs = null)
        }
        val reservation = PendingReservation(requestId, tokens, tokens.coerceAtLeast(0) * MICRO_TOKENS_PER_TOKEN)
        pending[requestId] = reservation
        return startRound(reservation, nowMs)
    }

    fun settle(requestId: RequestId, usedTokens: Long, nowMs: Long) {
        val pendingReservation = pending.remove(requestId)
        if (pendingReservation != null) return cancel(pendingReservation, nowMs)
        val request = admitted.remove(requestId) ?: return
        var unusedMicroTokens = (request.tokens - usedTokens.coerceIn(0, request.tokens)) * MICRO_TOKENS_PER_TOKEN
        request.grants.forEach { grant ->
            val returned = minOf(unusedMicroTokens, grant.microTokens)
            unusedMicroTokens -= returned
            settleGrant(grant, returned, nowMs)
        }
    }

    fun receive(message: RateMessage.OfTeam, nowMs: Long): List<RateAction> = when (message) {
        is RateMessage.GrantRequest -> handleGrantRequest(message, nowMs)
        is RateMessage.Grant -> handleGrant(message, nowMs)
        is RateMessage.Settlements -> {
            if (message.holder == self) message.grants.forEach { heldShards.apply(it, message.requester, nowMs) }
            emptyList()
        }
    }

    fun tick(nowMs: Long): List<RateAction> {
        val timedOut = pending.values.filter { closeTimedOutRequests(it, nowMs) }
        return timedOut.flatMap { finishRound(it, nowMs) } + settlements.takeDue(nowMs)
    }

    private fun startRound(reservation: PendingReservation, nowMs: Long): List<RateAction> {
        val sources = sources(reservation, nowMs)
        if (sources.sumOf { it.availableMicroTokens } < reservation.missingMicroTokens) {
            return refuseRateExceeded(reservation, nowMs)
        }
        reservation.rounds++
        val grantRequests = sources.mapNotNull { drawFrom(reservation, it, nowMs) }
        return if (reservation.openRequests.isEmpty()) finishRound(reservation, nowMs) else grantRequests
    }

    /** Returns the shards to take tokens from, best first; the request id decides the order among equal ones. */
    private fun sources(reservation: PendingReservation, nowMs: Long): List<TokenSource> {
        val local = heldShards.runningShards(nowMs).map {
            balanceReports.localSource(it, self, heldShards.balanceMicroTokens(it, nowMs), shardLimits)
        }
        val remote = holders.mapIndexedNotNull { index, holder ->
            if (holder == null ||
                holder.vmId == self.vmId
            ) {
                null
            } else {
                balanceReports.remoteSource(index, holder, shardLimits, nowMs)
            }
        }
        val firstIndex = Math.floorMod(reservation.requestId.hashCode(), settings.shardsPerTeam)
        return (local + remote)
            .filter { it.availableMicroTokens > 0 && it.shardIndex !in reservation.timedOutShards }
            .sortedWith(
                compareByDescending<TokenSource> { it.rankingMicroTokens }
                    .thenBy { Math.floorMod(it.shardIndex - firstIndex, settings.shardsPerTeam) },
            )
    }

    /** Takes tokens from a local shard at once; returns a grant request to send if the shard is remote. */
    private fun drawFrom(reservation: PendingReservation, source: TokenSource, nowMs: Long): RateAction? {
        val wanted =
            minOf(source.availableMicroTokens, reservation.missingMicroTokens - reservation.requestedMicroTokens)
        if (wanted <= 0) return null
        val grantNumber = nextGrantNumber++
        return if (source.holder == self) {
            takeLocally(reservation, source.shardIndex, grantNumber, wanted, nowMs)
            null
        } else {
            requestGrant(reservation, source, grantNumber, wanted, nowMs)
        }
    }

    private fun takeLocally(
        reservation: PendingReservation,
        shardIndex: Int,
        grantNumber: Long,
        wanted: Long,
        nowMs: Long,
    ) {
        val expiresAtMs = nowMs + settings.grantExpiryMs
        val granted = heldShards.grant(shardIndex, GrantId(self, grantNumber), wanted, expiresAtMs, nowMs)
        if (granted > 0) reservation.grants += Grant(shardIndex, self, grantNumber, granted, nowMs)
    }

    private fun requestGrant(
        reservation: PendingReservation,
        source: TokenSource,
        grantNumber: Long,
        wanted: Long,
        nowMs: Long,
    ): RateAction {
        reservation.openRequests[grantNumber] = OpenGrantRequest(source.shardIndex, source.holder, wanted, nowMs)
        pendingByGrantNumber[grantNumber] = reservation
        counters = counters.copy(grantRequestsSent = counters.grantRequestsSent + 1)
        val message = RateMessage.GrantRequest(teamId, self, grantNumber, source.holder, source.shardIndex, wanted)
        return RateAction.Send(source.holder.vmId, message)
    }

    private fun handleGrantRequest(request: RateMessage.GrantRequest, nowMs: Long): List<RateAction> {
        val grantId = GrantId(request.requester, request.grantNumber)
        val expiresAtMs = nowMs + settings.grantExpiryMs
        val granted = when (request.holder) {
            self -> heldShards.grant(request.shardIndex, grantId, request.wantedMicroTokens, expiresAtMs, nowMs)
            else -> 0
        }
        if (granted > 0) counters = counters.copy(grantsIssued = counters.grantsIssued + 1)
        val balance = heldShards.balanceMicroTokens(request.shardIndex, nowMs)
        val grant =
            RateMessage.Grant(teamId, request.requester, request.grantNumber, request.shardIndex, granted, balance)
        return listOf(RateAction.Send(request.requester.vmId, grant))
    }

    private fun handleGrant(grant: RateMessage.Grant, nowMs: Long): List<RateAction> {
        if (grant.requester != self) return emptyList()
        val reservation = pendingByGrantNumber.remove(grant.grantNumber) ?: return emptyList()
        val open = reservation.openRequests.remove(grant.grantNumber) ?: return emptyList()
        balanceReports.update(open.shardIndex, grant.balanceMicroTokens, nowMs)
        val taken = grant.grantedMicroTokens.coerceIn(0, open.wantedMicroTokens)
        if (taken > 0) reservation.grants += Grant(open.shardIndex, open.holder, grant.grantNumber, taken, open.sentMs)
        return if (reservation.openRequests.isEmpty()) finishRound(reservation, nowMs) else emptyList()
    }

    /** Closes grant requests that were not answered in time; returns whether this ends the round. */
    private fun closeTimedOutRequests(reservation: PendingReservation, nowMs: Long): Boolean {
        val timedOut = reservation.openRequests.filterValues { nowMs - it.sentMs >= settings.grantRequestTimeoutMs }
        timedOut.forEach { (grantNumber, request) ->
            reservation.openRequests.remove(grantNumber)
            pendingByGrantNumber.remove(grantNumber)
            reservation.timedOutShards += request.shardIndex
            settlements.add(
                request.holder,
                SettledGrant(grantNumber, request.shardIndex, request.wantedMicroTokens),
                nowMs,
            )
        }
        counters = counters.copy(grantRequestsTimedOut = counters.grantRequestsTimedOut + timedOut.size)
        return timedOut.isNotEmpty() && reservation.openRequests.isEmpty()
    }

    private fun finishRound(reservation: PendingReservation, nowMs: Long): List<RateAction> {
        dropExpiredGrants(reservation, nowMs)
        return when {
            reservation.missingMicroTokens <= 0 -> admit(reservation, nowMs)
            reservation.rounds < settings.maxGrantRounds -> startRound(reservation, nowMs)
            else -> refuseRateExceeded(reservation, nowMs)
        }
    }

    private fun dropExpiredGrants(reservation: PendingReservation, nowMs: Long) {
        val (valid, expired) = reservation.grants.partition { nowMs - it.requestedAtMs <= settings.grantValidityMs }
        reservation.grants = valid
        expired.forEach { settleGrant(it, it.microTokens, nowMs) }
    }

    private fun admit(reservation: PendingReservation, nowMs: Long): List<RateAction> {
        pending.remove(reservation.requestId)
        admitted[reservation.requestId] = AdmittedRequest(reservation.tokens, reservation.grants)
        reservation.grants.forEach { grant ->
            when (grant.holder) {
                self -> heldShards.confirm(grant.shardIndex, GrantId(self, grant.grantNumber), nowMs)
                else -> settlements.add(grant.holder, SettledGrant(grant.grantNumber, grant.shardIndex), nowMs)
            }
        }
        val isLocal = reservation.grants.all { it.holder == self }
        counters = counters.copy(
            admitted = counters.admitted + 1,
            admittedLocally = counters.admittedLocally + if (isLocal) 1 else 0,
        )
        val oldestRequestMs = reservation.grants.minOfOrNull { it.requestedAtMs } ?: nowMs
        return listOf(RateAction.Admitted(reservation.requestId, oldestRequestMs + settings.grantValidityMs))
    }

    private fun refuseRateExceeded(reservation: PendingReservation, nowMs: Long): List<RateAction> {
        pending.remove(reservation.requestId)
        val missingMicroTokens = reservation.missingMicroTokens
        val availableTokens = sources(reservation, nowMs).sumOf { it.availableMicroTokens } / MICRO_TOKENS_PER_TOKEN
        cancel(reservation, nowMs)
        val refillPerMs = shardLimits.refillMicroTokensPerMs * settings.shardsPerTeam
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

    /** Returns all tokens that a reservation has received or may still receive. */
    private fun cancel(reservation: PendingReservation, nowMs: Long) {
        reservation.grants.forEach { settleGrant(it, it.microTokens, nowMs) }
        reservation.openRequests.forEach { (grantNumber, request) ->
            pendingByGrantNumber.remove(grantNumber)
            settlements.add(
                request.holder,
                SettledGrant(grantNumber, request.shardIndex, request.wantedMicroTokens),
                nowMs,
            )
        }
    }

    private fun settleGrant(grant: Grant, returnedMicroTokens: Long, nowMs: Long) = when (grant.holder) {
        self -> heldShards.settle(grant.shardIndex, GrantId(self, grant.grantNumber), returnedMicroTokens, nowMs)
        else ->
            settlements.add(grant.holder, SettledGrant(grant.grantNumber, grant.shardIndex, returnedMicroTokens), nowMs)
    }
}
