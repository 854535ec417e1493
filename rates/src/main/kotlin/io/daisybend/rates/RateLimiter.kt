/*
 * Makes the rate decisions of one process. Teams are distributed over stripes with one lock each; another lock protects
 * the shard leases of all teams and the log replay. No lock is held while the caller performs the returned actions.
 */
package io.daisybend.rates

import io.daisybend.kernel.LogStream
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId

/** Decides which requests may run within the rate and burst of their team; thread-safe. */
public class RateLimiter(
    private val self: HolderId,
    private val stream: LogStream,
    private val settings: RateSettings = RateSettings(),
) {
    private class Stripe {
        val teams = HashMap<TeamId, TeamRateLimiter>()
    }

    private val stripes = List(STRIPE_COUNT) { Stripe() }
    private val leasesLock = Any()
    private val leases = ShardLeases(self, settings)
    private val holderVms = HashMap<TeamId, List<VmId>>()

    /** The offset of the shard stream from which the next log read has to start. */
    public val readFromOffset: Long get() = synchronized(leasesLock) { leases.readFromOffset }

    /** Whether a drain was requested, no shard is held and no release record is left to append. */
    public val isDrained: Boolean get() = synchronized(leasesLock) { leases.isDrained }

    /** Applies [event] at [nowMs] and returns the actions to perform, in order; never fails. */
    public fun handle(event: RateEvent, nowMs: Long): List<RateAction> = when (event) {
        is RateEvent.Reserve -> reserve(event, nowMs)
        is RateEvent.Settle -> {
            withTeam(event.teamId) { it.settle(event.requestId, event.usedTokens, nowMs) }
            emptyList()
        }
        is RateEvent.MessageReceived -> receive(event.message, nowMs)
        is RateEvent.LimitsChanged -> changeLimits(event.limits, nowMs)
        is RateEvent.LiveVmsChanged -> handleShardEvent(ShardEvent.LiveVmsChanged(event.vmIds), nowMs)
        is RateEvent.LogRead ->
            handleShardEvent(ShardEvent.LogRead(event.records, event.firstOffset, event.nextOffset), nowMs)
        RateEvent.Drain -> handleShardEvent(ShardEvent.Drain, nowMs)
        RateEvent.Tick -> handleShardEvent(ShardEvent.Tick, nowMs) + tickTeams(nowMs)
    }

    /** Returns the VMs that hold shards of [teamId], which serve its callers best; empty if no holder is known. */
    public fun holdersOf(teamId: TeamId): List<VmId> = synchronized(leasesLock) { holderVms[teamId].orEmpty() }

    /** Returns the sum of the counters of all teams. */
    public fun counters(): RateCounters = stripes.fold(RateCounters()) { sum, stripe ->
        synchronized(stripe) { stripe.teams.values.fold(sum) { teamSum, team -> teamSum + team.counters } }
    }

    /** Returns the number of reservations and grants held in memory. */
    public fun entryCount(): Int = stripes.sumOf { stripe ->
        synchronized(stripe) { stripe.teams.values.sumOf { it.entryCount } }
    }

    private fun receive(message: RateMessage, nowMs: Long): List<RateAction> = when (message) {
        is RateMessage.OfTeam -> withTeam(message.teamId) { it.receive(message, nowMs) }.orEmpty()
        is RateMessage.SupportRequest, is RateMessage.Support ->
            handleShardEvent(ShardEvent.MessageReceived(message), nowMs)
    }

    private fun reserve(event: RateEvent.Reserve, nowMs: Long): List<RateAction> =
        withTeam(event.teamId) { it.reserve(event.requestId, event.tokens, nowMs) }
            ?: listOf(RateAction.Refused(event.requestId, RateRefusal.UnknownTeam(event.teamId), retryAfterMs = null))

    private fun changeLimits(limits: Map<TeamId, TeamLimits>, nowMs: Long): List<RateAction> {
        forEachStripe { index, stripe ->
            limits.filterKeys { stripeIndex(it) == index }.forEach { (teamId, teamLimits) ->
                val team = stripe.teams.getOrPut(teamId) { TeamRateLimiter(teamId, self, settings, teamLimits) }
                team.changeLimits(teamLimits, nowMs)
            }
        }
        val actions = handleShardEvent(ShardEvent.TeamsChanged(limits.keys.toSet()), nowMs)
        forEachStripe { _, stripe -> stripe.teams.keys.retainAll(limits.keys) }
        return actions
    }

    private fun forEachStripe(block: (Int, Stripe) -> Unit) =
        stripes.forEachIndexed { index, stripe -> synchronized(stripe) { block(index, stripe) } }

    private fun tickTeams(nowMs: Long): List<RateAction> = stripes.flatMap { stripe ->
        synchronized(stripe) { stripe.teams.values.flatMap { it.tick(nowMs) } }
    }

    private fun handleShardEvent(event: ShardEvent, nowMs: Long): List<RateAction> = synchronized(leasesLock) {
        leases.handle(event, nowMs).mapNotNull { apply(it, nowMs) }
    }

    private fun apply(action: ShardAction, nowMs: Long): RateAction? {
        when (action) {
            is ShardAction.Append -> return RateAction.Append(stream, action.record)
            is ShardAction.Send -> return RateAction.Send(action.toVmId, action.message)
            is ShardAction.Open -> withTeam(action.shardId.teamId) { it.openShard(action) }
            is ShardAction.Extend ->
                withTeam(action.shardId.teamId) { it.extendShard(action.shardId.index, action.leaseEndMs) }
            is ShardAction.Close -> closeShard(action, nowMs)
            is ShardAction.HoldersChanged -> changeHolders(action)
        }
        return null
    }

    private fun closeShard(action: ShardAction.Close, nowMs: Long) {
        val balance = withTeam(action.shardId.teamId) { it.closeShard(action.shardId.index, nowMs) } ?: 0
        if (action.isForRelease) {
            leases.handle(ShardEvent.ShardEmptied(action.shardId, action.claimOffset, balance), nowMs)
        }
    }

    private fun changeHolders(action: ShardAction.HoldersChanged) {
        holderVms[action.teamId] = action.holders.mapNotNull { it?.vmId }.distinct()
        withTeam(action.teamId) { it.changeHolders(action.holders) }
    }

    private fun <T> withTeam(teamId: TeamId, block: (TeamRateLimiter) -> T): T? {
        val stripe = stripes[stripeIndex(teamId)]
        return synchronized(stripe) { stripe.teams[teamId]?.let(block) }
    }

    private fun stripeIndex(teamId: TeamId) = Math.floorMod(teamId.hashCode(), STRIPE_COUNT)

    private companion object {
        const val STRIPE_COUNT = 16
    }
}
