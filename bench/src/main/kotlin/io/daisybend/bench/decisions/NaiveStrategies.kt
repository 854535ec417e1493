/*
 * The naive variant, which the system is compared with: FIFO queues, routing to the endpoint with the lowest reported
 * load, rates split evenly over the VMs, a load whenever a VM has no replica, and unloading only to free memory.
 */
package io.daisybend.bench.decisions

import io.daisybend.bench.run.EventLoop
import io.daisybend.bench.site.SitePreset
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.loads.LoadAction
import io.daisybend.scheduling.loads.LoadEvent
import io.daisybend.scheduling.loads.LoadKey
import io.daisybend.scheduling.loads.LoadWaiter
import io.daisybend.scheduling.loads.WeightSource
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.queue.QueueRefusal
import io.daisybend.scheduling.queue.QueuedRequest
import io.daisybend.scheduling.replicas.EndpointView
import io.daisybend.scheduling.replicas.ReplicaAction
import io.daisybend.scheduling.replicas.ReplicaEvent
import io.daisybend.scheduling.replicas.ReplicaState
import io.daisybend.scheduling.replicas.ReplicaView
import io.daisybend.scheduling.routing.ReplicaCandidate
import io.daisybend.scheduling.routing.RouterEvent
import io.daisybend.scheduling.routing.RoutingRequest
import kotlin.random.Random

internal fun naiveStrategies(site: SitePreset, loop: EventLoop, seed: Long): StrategySet =
    StrategySet(
        name = "naive",
        sharesReplicaState = false,
        needsLogForLoads = false,
        rates = EvenSplitRateStrategy(site, loop),
        loads = OnDemandLoadStrategy(),
        replicas = LeastLoadedReplicaStrategy(Random(seed)),
        newQueue = { FifoQueueStrategy(it) },
        newRouter = { LeastLoadedRoutingStrategy(Random(seed + it)) },
    )

private class EvenSplitRateStrategy(private val site: SitePreset, private val loop: EventLoop) : RateStrategy {
    private class Bucket(var tokens: Double, var refilledAtMs: Long)

    private val teams = site.teams.associateBy { it.teamId }
    private val buckets = List(site.vmCount) { HashMap<TeamId, Bucket>() }
    private val reservedTokens = HashMap<RequestId, Long>()

    override fun chooseEntryVm(teamId: TeamId, requestId: RequestId, vmIndex: Int): Int = vmIndex

    override fun reserve(
        vmIndex: Int,
        requestId: RequestId,
        teamId: TeamId,
        tokens: Long,
        onDecision: (Boolean) -> Unit,
    ) {
        val bucket = refilledBucket(vmIndex, teamId)
        val isAdmitted = bucket.tokens >= tokens
        if (isAdmitted) {
            bucket.tokens -= tokens
            reservedTokens[requestId] = tokens
        }
        onDecision(isAdmitted)
    }

    override fun settle(vmIndex: Int, requestId: RequestId, teamId: TeamId, usedTokens: Long) {
        val reservedForRequest = reservedTokens.remove(requestId) ?: return
        val bucket = refilledBucket(vmIndex, teamId)
        bucket.tokens = minOf(bucketCapacity(teamId), bucket.tokens + reservedForRequest - usedTokens)
    }

    override fun restartVm(vmIndex: Int) {
        teams.keys.forEach { buckets[vmIndex][it] = Bucket(0.0, loop.nowMs) }
    }

    override fun onLogOutage(untilMs: Long) = Unit

    private fun bucketCapacity(teamId: TeamId): Double = teams.getValue(teamId).burstTokens.toDouble() / site.vmCount

    private fun refilledBucket(vmIndex: Int, teamId: TeamId): Bucket {
        val bucket = buckets[vmIndex].getOrPut(teamId) { Bucket(bucketCapacity(teamId), 0) }
        val tokensPerMs = teams.getValue(teamId).rateTokensPerSecond / 1_000.0 / site.vmCount
        bucket.tokens = minOf(bucketCapacity(teamId), bucket.tokens + (loop.nowMs - bucket.refilledAtMs) * tokensPerMs)
        bucket.refilledAtMs = loop.nowMs
        return bucket
    }
}

private class FifoQueueStrategy(private var maxConcurrentRequests: Int) : QueueStrategy {
    private val waiting = LinkedHashMap<RequestId, QueuedRequest>()
    private val running = HashMap<RequestId, QueuedRequest>()

    override val pendingTokens: Long get() = (waiting.values + running.values).sumOf { it.costTokens }
    override val expectedWaitMs: Long get() = pendingTokens * 1_000 / NOMINAL_TOKENS_PER_SECOND

    override fun handle(event: QueueEvent, nowMs: Long): List<QueueAction> {
        val actions = ArrayList<QueueAction>()
        when (event) {
            is QueueEvent.Arrived -> waiting[event.request.requestId] = event.request
            is QueueEvent.RunningRequestFound -> running[event.request.requestId] = event.request
            is QueueEvent.Finished -> running -= event.requestId
            is QueueEvent.Cancelled -> waiting.remove(event.requestId) ?: running.remove(event.requestId)
            is QueueEvent.CapacityChanged -> maxConcurrentRequests = event.maxConcurrentRequests
            QueueEvent.Tick -> refuseExpired(nowMs, actions)
            QueueEvent.EndpointLeft -> waiting.values.mapTo(actions, QueueAction::Reroute).also { waiting.clear() }
        }
        while (running.size < maxConcurrentRequests && waiting.isNotEmpty()) {
            val next = waiting.values.first()
            waiting -= next.requestId
            running[next.requestId] = next
            actions += QueueAction.Dispatch(next)
        }
        return actions
    }

    private fun refuseExpired(nowMs: Long, actions: MutableList<QueueAction>) {
        waiting.values.filter { it.deadlineMs < nowMs }.forEach {
            waiting -= it.requestId
            actions += QueueAction.Refuse(it, QueueRefusal.DeadlineUnreachable(0, it.deadlineMs - nowMs, 1_000))
        }
    }
}

private const val NOMINAL_TOKENS_PER_SECOND = 4_800

private class OnDemandLoadStrategy : LoadStrategy {
    private val waiters = HashMap<LoadKey, ArrayList<LoadWaiter>>()

    override fun handle(event: LoadEvent, nowMs: Long): List<LoadAction> =
        when (event) {
            is LoadEvent.Requested -> requestLoad(event)
            is LoadEvent.Finished -> listOf(LoadAction.Ready(event.key, waiters.remove(event.key).orEmpty()))
            is LoadEvent.Failed -> listOf(LoadAction.Reroute(event.key, waiters.remove(event.key).orEmpty()))
            is LoadEvent.WaiterCancelled, LoadEvent.Tick -> emptyList()
        }

    private fun requestLoad(event: LoadEvent.Requested): List<LoadAction> {
        val isNew = event.key !in waiters
        val keyWaiters = waiters.getOrPut(event.key) { ArrayList() }
        event.waiter?.let { keyWaiters += it }
        return if (isNew) listOf(LoadAction.Start(event.key, event.source)) else emptyList()
    }
}

private class LeastLoadedReplicaStrategy(private val random: Random) : ReplicaStrategy {
    override fun handle(event: ReplicaEvent, nowMs: Long): List<ReplicaAction> {
        if (event !is ReplicaEvent.ReplicaMissing) return emptyList()
        val fittingEndpoints = event.endpoints.shuffled(random)
            .filter { evictionsFor(it, event.model.weightsBytes) != null }
        val target = fittingEndpoints.minWithOrNull(compareBy({ it.expectedWaitMs }, { loadingBytes(it) }))
            ?: return listOf(ReplicaAction.NoCapacity(event.model.modelId, retryAfterMs = 1_000))
        val evictions = evictionsFor(target, event.model.weightsBytes).orEmpty()
        val source = target.cachedWeights[event.model.modelId] ?: WeightSource.REMOTE
        return evictions.map { ReplicaAction.Unload(target.endpointId, it.modelId, it.version) } +
            ReplicaAction.Load(target.endpointId, event.model, source, expectedLoadMs = 0)
    }

    private fun loadingBytes(view: EndpointView): Long =
        view.replicas.filter { it.state == ReplicaState.LOADING }.sumOf { it.weightsBytes }

    /** Returns the least recently used idle replicas to evict, or null if evicting all of them frees too little. */
    private fun evictionsFor(view: EndpointView, weightsBytes: Long): List<ReplicaView>? {
        var freeBytes = view.memoryBytes - view.usedBytes
        val evictions = ArrayList<ReplicaView>()
        val idleReplicas = view.replicas
            .filter { it.state == ReplicaState.READY && it.requestsInFlight == 0 }
            .sortedBy { it.idleSinceMs }
        for (replica in idleReplicas) {
            if (freeBytes >= weightsBytes) break
            evictions += replica
            freeBytes += replica.weightsBytes
        }
        return evictions.takeIf { freeBytes >= weightsBytes }
    }
}

private class LeastLoadedRoutingStrategy(private val random: Random) : RoutingStrategy {
    private val reportedTokens = HashMap<EndpointId, Long>()

    override fun route(request: RoutingRequest, candidates: List<ReplicaCandidate>, nowMs: Long): EndpointId? =
        candidates.shuffled(random).minByOrNull { reportedTokens[it.endpointId] ?: 0L }?.endpointId

    override fun handle(event: RouterEvent, nowMs: Long) {
        if (event is RouterEvent.LoadReported) reportedTokens[event.endpointId] = event.pendingTokens
    }
}
