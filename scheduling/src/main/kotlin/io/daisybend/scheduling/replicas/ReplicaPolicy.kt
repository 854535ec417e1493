/*
 * Which endpoint gets a cold model, when a second replica is worth its load, which replica makes room, and when an
 * unused one is unloaded. Every choice is a function of the endpoints' state and of the uses seen so far; ties are
 * broken by rendezvous hashing, so that two VMs with the same view propose the same endpoint.
 */
package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.scheduling.loads.WeightSource

/** Load speeds and rules of a [ReplicaPolicy]. */
public data class ReplicaPolicySettings(
    val memoryBytesPerSecond: Long = 10_000_000_000,
    val diskBytesPerSecond: Long = 3_000_000_000,
    val remoteBytesPerSecond: Long = 2_000_000_000,
    val idleRule: IdleRule = IdleRule.Adaptive(),
    val evictionHorizonMs: Long = 600_000,
    val scaleOutWaitFactor: Double = 0.25,
    val emptyEndpointCostMs: Long = 3_000,
    val retryAfterMs: Long = 5_000,
)

/** Proposes loads and unloads; not safe for use by several threads. */
public class ReplicaPolicy(private val settings: ReplicaPolicySettings = ReplicaPolicySettings()) {
    private val uses = HashMap<ModelId, ModelUse>()

    /** Applies [event] at [nowMs] and returns proposals in the order in which they have to be carried out. */
    public fun handle(event: ReplicaEvent, nowMs: Long): List<ReplicaAction> =
        when (event) {
            is ReplicaEvent.ModelUsed -> onUsed(event.modelId, nowMs)
            is ReplicaEvent.ReplicaMissing -> place(event.model, event.endpoints, nowMs)
            is ReplicaEvent.WaitObserved -> onWaitObserved(event, nowMs)
            is ReplicaEvent.ReviewDue -> unloadIdle(event.endpoints, nowMs)
            is ReplicaEvent.VersionChanged -> replaceVersion(event, nowMs)
        }

    /** Returns the time that a load of [weightsBytes] from [source] takes at full speed. */
    public fun expectedLoadMs(weightsBytes: Long, source: WeightSource): Long =
        weightsBytes * MILLIS_PER_SECOND / bytesPerSecond(source)

    /** Forgets models that are no longer in the manifest. */
    public fun retainModels(modelIds: Set<ModelId>) {
        uses.keys.retainAll(modelIds)
    }

    private fun onUsed(modelId: ModelId, nowMs: Long): List<ReplicaAction> {
        uses.getOrPut(modelId, ::ModelUse).observe(nowMs)
        return emptyList()
    }

    private fun place(model: ModelWeights, endpoints: List<EndpointView>, nowMs: Long): List<ReplicaAction> {
        val candidates = endpoints.filter { it.acceptsWork && it.acceptsOrders && it.memoryBytes >= model.weightsBytes }
        val best = candidates
            .mapNotNull { optionFor(it, model, nowMs) }
            .minWithOrNull(optionOrder(model.modelId, candidates))
            ?: return listOf(ReplicaAction.NoCapacity(model.modelId, settings.retryAfterMs))
        return best.evictions.map { ReplicaAction.Unload(best.endpoint.endpointId, it.modelId, it.version) } +
            loadAction(best.endpoint, model)
    }

    private fun loadAction(endpoint: EndpointView, model: ModelWeights): ReplicaAction.Load {
        val source = endpoint.sourceOf(model.modelId)
        return ReplicaAction.Load(endpoint.endpointId, model, source, expectedLoadMs(model.weightsBytes, source))
    }

    /** Cheapest first, ties by the hash. The cost of an empty endpoint keeps accelerators free of replicas. */
    private fun optionOrder(modelId: ModelId, candidates: List<EndpointView>): Comparator<PlacementOption> {
        val rank = HashMap<EndpointId, Int>()
        rankByRendezvous(
            modelId.value,
            candidates.map {
                it.endpointId
            },
        ).forEachIndexed { index, id -> rank[id] = index }
        return compareBy<PlacementOption> { it.costMs }
            .thenBy { rank.getValue(it.endpoint.endpointId) }
    }

    private fun optionFor(endpoint: EndpointView, model: ModelWeights, nowMs: Long): PlacementOption? {
        val evictions = evictionsFor(endpoint, model.weightsBytes - endpoint.freeBytes, nowMs) ?: return null
        val loadMs = expectedLoadMs(model.weightsBytes, endpoint.sourceOf(model.modelId))
        val loadingMs = endpoint.replicas
            .filter { it.state == ReplicaState.LOADING }
            .sumOf { expectedLoadMs(it.weightsBytes, endpoint.sourceOf(it.modelId)) }
        val evictionMs = evictions.sumOf { evictionCostMs(endpoint, it, nowMs) }
        val openingMs = if (endpoint.replicas.isEmpty()) settings.emptyEndpointCostMs else 0L
        val costMs = loadMs + loadingMs + evictionMs + openingMs + endpoint.expectedWaitMs
        return PlacementOption(endpoint, evictions, costMs)
    }

    /** Returns the cheapest idle replicas that free [missingBytes], or null when idle ones do not suffice. */
    private fun evictionsFor(endpoint: EndpointView, missingBytes: Long, nowMs: Long): List<ReplicaView>? {
        if (missingBytes <= 0) return emptyList()
        val byCostPerByte = endpoint.replicas
            .filter { it.state == ReplicaState.READY && it.requestsInFlight == 0 }
            .sortedWith(compareBy({ evictionCostMs(endpoint, it, nowMs) / it.weightsBytes }, { it.modelId.value }))
        val chosen = byCostPerByte.takeUntilFreed(missingBytes)
        return chosen?.withoutRedundant(missingBytes)
    }

    private fun evictionCostMs(endpoint: EndpointView, replica: ReplicaView, nowMs: Long): Double {
        val reloadMs = expectedLoadMs(replica.weightsBytes, endpoint.sourceOf(replica.modelId))
        val use = uses[replica.modelId] ?: return reloadMs * UNKNOWN_USE_PROBABILITY
        return reloadMs * use.probabilityWithin(settings.evictionHorizonMs, nowMs)
    }

    private fun onWaitObserved(event: ReplicaEvent.WaitObserved, nowMs: Long): List<ReplicaAction> {
        val withoutReplica = event.endpoints.filter { view -> view.replicas.none { it.modelId == event.model.modelId } }
        val isLoading = event.endpoints.any { view -> view.isLoading(event.model.modelId) }
        if (isLoading || withoutReplica.isEmpty()) return emptyList()
        val actions = place(event.model, withoutReplica, nowMs)
        val load = actions.filterIsInstance<ReplicaAction.Load>().firstOrNull() ?: return emptyList()
        val isWorthIt = event.expectedWaitMs > load.expectedLoadMs * settings.scaleOutWaitFactor
        return if (isWorthIt) actions else emptyList()
    }

    private fun unloadIdle(endpoints: List<EndpointView>, nowMs: Long): List<ReplicaAction> =
        endpoints.filter { it.acceptsOrders }.flatMap { endpoint ->
            idleReplicas(endpoint, nowMs).map { ReplicaAction.Unload(endpoint.endpointId, it.modelId, it.version) }
        }

    /** Returns the replicas of [endpoint] that the idle rule gives up. */
    private fun idleReplicas(endpoint: EndpointView, nowMs: Long): List<ReplicaView> {
        val unused = endpoint.replicas.filter { it.state == ReplicaState.READY && it.requestsInFlight == 0 }
        return when (val rule = settings.idleRule) {
            is IdleRule.Never -> emptyList()
            is IdleRule.FixedTimeout -> unused.filter { nowMs - it.idleSinceMs >= rule.keepAliveMs }
            is IdleRule.Adaptive -> {
                val isInUse = unused.size < endpoint.replicas.size
                if (isInUse || isWorthKeeping(rule, endpoint, unused, nowMs)) emptyList() else unused
            }
        }
    }

    private fun isWorthKeeping(
        rule: IdleRule.Adaptive,
        endpoint: EndpointView,
        unused: List<ReplicaView>,
        nowMs: Long,
    ): Boolean {
        val replicas = unused.map { replica ->
            IdleReplica(
                idleMs = nowMs - replica.idleSinceMs,
                reloadMs = expectedLoadMs(replica.weightsBytes, endpoint.sourceOf(replica.modelId)),
                gaps = uses[replica.modelId]?.gaps,
            )
        }
        return replicas.isEmpty() || rule.isWorthKeeping(replicas, replicas.minOf { it.idleMs })
    }

    private fun replaceVersion(event: ReplicaEvent.VersionChanged, nowMs: Long): List<ReplicaAction> {
        val current = event.endpoints.firstOrNull { it.endpointId == event.endpointId }
        val old = current?.replicas?.firstOrNull { it.isOldVersionOf(event.model) } ?: return emptyList()
        return replaceReplica(current, old, event, nowMs)
    }

    /**
     * Beside the old version when memory allows, else on another endpoint, else in its place: requests then wait for
     * the drain and the load instead of being refused.
     */
    private fun replaceReplica(
        current: EndpointView,
        old: ReplicaView,
        event: ReplicaEvent.VersionChanged,
        nowMs: Long,
    ): List<ReplicaAction> {
        val drain = ReplicaAction.DrainAndUnload(current.endpointId, old.modelId, old.version)
        if (current.freeBytes >= event.model.weightsBytes) return listOf(loadAction(current, event.model), drain)
        val elsewhere = place(event.model, event.endpoints - current, nowMs)
        if (elsewhere.none { it is ReplicaAction.NoCapacity }) return elsewhere + drain
        val hold = ReplicaAction.HoldRequests(current.endpointId, old.modelId)
        return listOf(hold, drain, loadAction(current, event.model))
    }

    private fun bytesPerSecond(source: WeightSource): Long =
        when (source) {
            WeightSource.MEMORY -> settings.memoryBytesPerSecond
            WeightSource.DISK -> settings.diskBytesPerSecond
            WeightSource.REMOTE -> settings.remoteBytesPerSecond
        }

    private class PlacementOption(
        val endpoint: EndpointView,
        val evictions: List<ReplicaView>,
        val costMs: Double,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val UNKNOWN_USE_PROBABILITY = 0.5
    }
}

private fun EndpointView.isLoading(modelId: ModelId): Boolean =
    replicas.any { it.modelId == modelId && it.state == ReplicaState.LOADING }

private fun ReplicaView.isOldVersionOf(model: ModelWeights): Boolean =
    modelId == model.modelId && version != model.version && state == ReplicaState.READY

private fun List<ReplicaView>.takeUntilFreed(missingBytes: Long): List<ReplicaView>? {
    var freedBytes = 0L
    forEachIndexed { index, replica ->
        freedBytes += replica.weightsBytes
        if (freedBytes >= missingBytes) return subList(0, index + 1)
    }
    return null
}

/** Keeps the most valuable replicas, at the end of the list, when the others free enough. */
private fun List<ReplicaView>.withoutRedundant(missingBytes: Long): List<ReplicaView> {
    var freedBytes = sumOf { it.weightsBytes }
    return asReversed().filterNot { replica ->
        val isRedundant = freedBytes - replica.weightsBytes >= missingBytes
        if (isRedundant) freedBytes -= replica.weightsBytes
        isRedundant
    }
}
