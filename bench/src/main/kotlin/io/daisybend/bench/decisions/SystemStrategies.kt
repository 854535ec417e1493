/*
 * The system's own strategies, built from the scheduling module.
 */
package io.daisybend.bench.decisions

import io.daisybend.bench.run.EventLoop
import io.daisybend.bench.site.SitePreset
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import io.daisybend.scheduling.loads.LoadScheduler
import io.daisybend.scheduling.loads.LoadSchedulerSettings
import io.daisybend.scheduling.queue.FairQueue
import io.daisybend.scheduling.queue.FairQueueSettings
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.queue.QueuedRequest
import io.daisybend.scheduling.replicas.IdleRule
import io.daisybend.scheduling.replicas.ReplicaPolicy
import io.daisybend.scheduling.replicas.ReplicaPolicySettings
import io.daisybend.scheduling.routing.ReplicaCandidate
import io.daisybend.scheduling.routing.ReplicaRouter
import io.daisybend.scheduling.routing.ReplicaRouterSettings
import io.daisybend.scheduling.routing.RouterEvent
import io.daisybend.scheduling.routing.RoutingRequest
import kotlin.random.Random

internal fun systemStrategies(
    site: SitePreset,
    loop: EventLoop,
    seed: Long,
    idleRule: IdleRule = IdleRule.Adaptive(),
): StrategySet {
    val scheduler = LoadScheduler(loadSchedulerSettings(site))
    val policy = ReplicaPolicy(replicaPolicySettings(site, idleRule))
    return StrategySet(
        name = "daisybend",
        sharesReplicaState = true,
        needsLogForLoads = true,
        rates = ShardedRateStrategy(site, loop),
        loads = scheduler::handle,
        replicas = policy::handle,
        newQueue = { FairQueueStrategy(site, it) },
        newRouter = { ReplicaRoutingStrategy(site, Random(seed + it)) },
    )
}

private fun loadSchedulerSettings(site: SitePreset) =
    LoadSchedulerSettings(
        loadsPerSecond = site.costs.loadsPerSecond,
        maxConcurrentLoads = site.costs.maxConcurrentLoads,
        maxConcurrentAdapters = site.costs.maxConcurrentAdapters,
    )

private fun replicaPolicySettings(site: SitePreset, idleRule: IdleRule) =
    ReplicaPolicySettings(
        memoryBytesPerSecond = site.costs.memoryBytesPerSecond,
        diskBytesPerSecond = site.costs.diskBytesPerSecond,
        remoteBytesPerSecond = site.costs.remoteBytesPerSecond,
        idleRule = idleRule,
    )

private class FairQueueStrategy(site: SitePreset, maxConcurrentRequests: Int) : QueueStrategy {
    private val queue = FairQueue(
        FairQueueSettings(maxConcurrentRequests = maxConcurrentRequests, initialTokensPerSecondPerSlot = 300),
    )
    private val waitProbe = QueuedRequest(
        requestId = RequestId("probe"),
        teamId = site.teams.first().teamId,
        priorityClass = PriorityClass.INTERACTIVE,
        costTokens = 1_000,
        deadlineMs = Long.MAX_VALUE,
    )
    private var lastEventMs = 0L

    override val pendingTokens: Long get() = queue.pendingTokens
    override val expectedWaitMs: Long get() = queue.expectedWaitMs(waitProbe, lastEventMs)

    override fun handle(event: QueueEvent, nowMs: Long): List<QueueAction> {
        lastEventMs = nowMs
        return queue.handle(event, nowMs)
    }
}

private class ReplicaRoutingStrategy(site: SitePreset, random: Random) : RoutingStrategy {
    private val router = ReplicaRouter(
        random,
        ReplicaRouterSettings(
            prefillTokensPerSecond = site.costs.prefillTokensPerSecond,
            decodeTokensPerSecond = site.engines.first().maxConcurrentRequests * TOKENS_PER_SLOT_SECOND,
        ),
    )

    override fun route(request: RoutingRequest, candidates: List<ReplicaCandidate>, nowMs: Long): EndpointId? =
        router.route(request, candidates, nowMs)

    override fun handle(event: RouterEvent, nowMs: Long) = router.handle(event, nowMs)

    private companion object {
        const val TOKENS_PER_SLOT_SECOND = 300L
    }
}
