/*
 * The rate decisions of one process. The teams stand in shards, each under its own lock; the seats of all teams and the
 * log's replay stand under one more. Neither lock is held while an action is carried out.
 */
package io.daisybend.rates

import io.daisybend.kernel.LogStream
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId

/** Decides which requests may run within their team's rate and burst; safe for use by several threads. */
public class RateLimiter(
    private val self: HolderId,
    private val stream: LogStream,
    private val settings: RateSettings = RateSettings(),
) {
    private class Shard {
        val teams = HashMap<TeamId, TeamRates>()
    }

    private val shards = List(SHARD_COUNT) { Shard() }
    private val leasesLock = Any()
    private val leases = SeatLeases(self, settings)
    private val holderVms = HashMap<TeamId, List<VmId>>()

    /** The offset of the seat stream from which the next read has to start. */
    public val readFromOffset: Long get() = synchronized(leasesLock) { leases.readFromOffset }

    /** Whether a drain was asked for and no seat is held any more. */
    public val isDrained: Boolean get() = synchronized(leasesLock) { leases.isDrained }

    /** Applies [event] at [nowMs] and returns what has to be done, in order; never fails. */
    public fun handle(event: RateEvent, nowMs: Long): List<RateAction> = when (event) {
        is RateEvent.Reserve -> reserve(event, nowMs)
        is RateEvent.Settle -> {
            withTeam(event.teamId) { it.settle(event.requestId, event.usedTokens, nowMs) }
            emptyList()
        }
        is RateEvent.MessageReceived -> receive(event.message, nowMs)
        is RateEvent.LimitsChanged -> changeLimits(event.limits, nowMs)
        is RateEvent.LiveVmsChanged -> handleSeats(SeatEvent.LiveVmsChanged(event.vmIds), nowMs)
        is RateEvent.LogRead ->
            handleSeats(SeatEvent.LogRead(event.records, event.firstOffset, event.nextOffset), nowMs)
        RateEvent.Drain -> handleSeats(SeatEvent.Drain, nowMs)
        RateEvent.Tick -> handleSeats(SeatEvent.Tick, nowMs) + tickTeams(nowMs)
    }

    /** Returns the VMs that hold seats of [teamId], the best ones for its callers; empty when none is known. */
    public fun holdersOf(teamId: TeamId): List<VmId> = synchronized(leasesLock) { holderVms[teamId].orEmpty() }

    /** Returns the counters of all teams together. */
    public fun counters(): RateCounters = shards.fold(RateCounters()) { sum, shard ->
        synchronized(shard) { shard.teams.values.fold(sum) { teamSum, team -> teamSum + team.counters } }
    }

    /** Returns how many reservations and grants take memory. */
    public fun entryCount(): Int = shards.sumOf { shard ->
        synchronized(shard) { shard.teams.values.sumOf { it.entryCount } }
    }

    private fun receive(message: RateMessage, nowMs: Long): List<RateAction> = when (message) {
        is RateMessage.OfTeam -> withTeam(message.teamId) { it.receive(message, nowMs) }.orEmpty()
        is RateMessage.SupportAsk, is RateMessage.Support -> handleSeats(SeatEvent.MessageReceived(message), nowMs)
    }

    private fun reserve(event: RateEvent.Reserve, nowMs: Long): List<RateAction> =
        withTeam(event.teamId) { it.reserve(event.requestId, event.tokens, nowMs) }
            ?: listOf(RateAction.Refused(event.requestId, RateRefusal.UnknownTeam(event.teamId), retryAfterMs = null))

    private fun changeLimits(limits: Map<TeamId, TeamLimits>, nowMs: Long): List<RateAction> {
        forEachShard { index, shard ->
            limits.filterKeys { shardIndex(it) == index }.forEach { (teamId, teamLimits) ->
                val team = shard.teams.getOrPut(teamId) { TeamRates(teamId, self, settings, teamLimits) }
                team.changeLimits(teamLimits, nowMs)
            }
        }
        val actions = handleSeats(SeatEvent.TeamsChanged(limits.keys.toSet()), nowMs)
        forEachShard { _, shard -> shard.teams.keys.retainAll(limits.keys) }
        return actions
    }

    private fun forEachShard(block: (Int, Shard) -> Unit) =
        shards.forEachIndexed { index, shard -> synchronized(shard) { block(index, shard) } }

    private fun tickTeams(nowMs: Long): List<RateAction> = shards.flatMap { shard ->
        synchronized(shard) { shard.teams.values.flatMap { it.tick(nowMs) } }
    }

    private fun handleSeats(event: SeatEvent, nowMs: Long): List<RateAction> = synchronized(leasesLock) {
        leases.handle(event, nowMs).mapNotNull { apply(it, nowMs) }
    }

    private fun apply(action: SeatAction, nowMs: Long): RateAction? {
        when (action) {
            is SeatAction.Append -> return RateAction.Append(stream, action.record)
            is SeatAction.Send -> return RateAction.Send(action.toVmId, action.message)
            is SeatAction.Open -> withTeam(action.seatId.teamId) { it.openSeat(action) }
            is SeatAction.Extend ->
                withTeam(action.seatId.teamId) { it.extendSeat(action.seatId.index, action.termEndMs) }
            is SeatAction.Close -> closeSeat(action, nowMs)
            is SeatAction.HoldersChanged -> changeHolders(action)
        }
        return null
    }

    private fun closeSeat(action: SeatAction.Close, nowMs: Long) {
        val balance = withTeam(action.seatId.teamId) { it.closeSeat(action.seatId.index, nowMs) } ?: 0
        if (action.emptyForRelease) {
            leases.handle(SeatEvent.SeatEmptied(action.seatId, action.claimOffset, balance), nowMs)
        }
    }

    private fun changeHolders(action: SeatAction.HoldersChanged) {
        holderVms[action.teamId] = action.holders.mapNotNull { it?.vmId }.distinct()
        withTeam(action.teamId) { it.changeHolders(action.holders) }
    }

    private fun <T> withTeam(teamId: TeamId, block: (TeamRates) -> T): T? {
        val shard = shards[shardIndex(teamId)]
        return synchronized(shard) { shard.teams[teamId]?.let(block) }
    }

    private fun shardIndex(teamId: TeamId) = Math.floorMod(teamId.hashCode(), SHARD_COUNT)

    private companion object {
        const val SHARD_COUNT = 16
    }
}
