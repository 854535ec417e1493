/*
 * Decides which endpoint loads a model without a replica, when an additional replica is worth its load time, which
 * replicas are evicted to free memory, and when idle replicas are unloaded. Decisions depend only on the state of the
 * endpoints and the observed model uses. Ties are broken by rendezvous hashing, so that VMs with the same view propose
 * the same endpoint.
 */
package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.scheduling.loads.WeightSource

/** Assumed load speeds, costs and limits of a [ReplicaPolicy]. */
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

/** Proposes loads and unloads of replicas; not thread-safe. */
public class ReplicaPolicy(private val settings: ReplicaPolicySettings = ReplicaPolicySettings()) {
    private val usageByModel = HashMap<ModelId, ModelUse>()

    /** Applies [event] at [nowMs] and returns the proposed actions in execution order. */
    public fun handle(event: ReplicaEvent, nowMs: Long): List<ReplicaAction> =
        when (event) {
            is ReplicaEvent.ModelUsed -> onUsed(event.modelId, nowMs)
            is ReplicaEvent.ReplicaMissing -> proposePlacement(event.model, event.endpoints, nowMs)
            is ReplicaEvent.WaitObserved -> onWaitObserved(event, nowMs)
            is ReplicaEvent.ReviewDue -> unloadIdle(event.endpoints, nowMs)
            is ReplicaEvent.VersionChanged -> replaceVersion(event, nowMs)
        }

    /** Returns the load time of [weightsBytes] from [source] at full speed. */
    public fun expectedLoadMs(weightsBytes: Long, source: WeightSource): Long =
        weightsBytes * MILLIS_PER_SECOND / bytesPerSecond(source)

    /** Drops the usage of all models except [modelIds], the models in the manifest. */
    public fun retainModels(modelIds: Set<ModelId>) {
        usageByModel.keys.retainAll(modelIds)
    }

    private fun onUsed(modelId: ModelId, nowMs: Long): List<ReplicaAction> {
        usageByModel.getOrPut(modelId, ::ModelUse).recordUse(nowMs)
        return emptyList()
    }

    private fun proposePlacement(model: ModelWeights, endpoints: List<EndpointView>, nowMs: Long): List<ReplicaAction> {
        val candidates = endpoints.filter { it.acceptsWork && it.acceptsOrders && it.memoryBytes >= model.weightsBytes }
        val best = candidates
            .mapNotNull { placementOptionFor(it, model, nowMs) }
            .minWithOrNull(placementOptionOrder(model.modelId, candidates))
            ?: return listOf(ReplicaAction.NoCapacity(model.modelId, settings.retryAfterMs))
        return best.evictions.map { ReplicaAction.Unload(best.endpoint.endpointId, it.modelId, it.version) } +
            loadAction(best.endpoint, model)
    }

    private fun loadAction(endpoint: EndpointView, model: ModelWeights): ReplicaAction.Load {
        val source = endpoint.sourceOf(model.modelId)
        return ReplicaAction.Load(endpoint.endpointId, model, source, expectedLoadMs(model.weightsBytes, source))
    }

    /**
     * Orders options by cost and then by rendezvous hash. The extra cost of an empty endpoint keeps unused accelerators
     * free of replicas.
     */
    private fun placementOptionOrder(modelId: ModelId, candidates: List<EndpointView>): Comparator<PlacementOption> {
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

    private fun placementOptionFor(endpoint: EndpointView, model: ModelWeights, nowMs: Long): PlacementOption? {
        val evictions = evictionsFor(endpoint, model.weightsBytes - endpoint.freeBytes, nowMs) ?: return null
        val loadMs = expectedLoadMs(model.weightsBytes, endpoint.sourceOf(model.modelId))
        val pendingLoadMs = endpoint.replicas
            .filter { it.state == ReplicaState.LOADING }
            .sumOf { expectedLoadMs(it.weightsBytes, endpoint.sourceOf(it.modelId)) }
        val evictionMs = evictions.sumOf { evictionCostMs(endpoint, it, nowMs) }
        val emptyEndpointMs = if (endpoint.replicas.isEmpty()) settings.emptyEndpointCostMs else 0L
        val costMs = loadMs + pendingLoadMs + evictionMs + emptyEndpointMs + endpoint.expectedWaitMs
        return PlacementOption(endpoint, evictions, costMs)
    }

    /** Returns the cheapest idle replicas that free [missingBytes], or null if all idle replicas free less. */
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
        val usage = usageByModel[replica.modelId] ?: return reloadMs * UNKNOWN_USE_PROBABILITY
        return reloadMs * usage.useProbability(settings.evictionHorizonMs, nowMs)
    }

    private fun onWaitObserved(event: ReplicaEvent.WaitObserved, nowMs: Long): List<ReplicaAction> {
        val candidates = event.endpoints.filter { view -> view.replicas.none { it.modelId == event.model.modelId } }
        val isLoading = event.endpoints.any { view -> view.isLoading(event.model.modelId) }
        if (isLoading || candidates.isEmpty()) return emptyList()
        val actions = proposePlacement(event.model, candidates, nowMs)
        val load = actions.filterIsInstance<ReplicaAction.Load>().firstOrNull() ?: return emptyList()
        val isJustified = event.expectedWaitMs > load.expectedLoadMs * settings.scaleOutWaitFactor
        return if (isJustified) actions else emptyList()
    }

    private fun unloadIdle(endpoints: List<EndpointView>, nowMs: Long): List<ReplicaAction> =
        endpoints.filter { it.acceptsOrders }.flatMap { endpoint ->
            replicasToUnload(endpoint, nowMs).map { ReplicaAction.Unload(endpoint.endpointId, it.modelId, it.version) }
        }

    /** Returns the replicas of [endpoint] that the idle rule unloads. */
    private fun replicasToUnload(endpoint: EndpointView, nowMs: Long): List<ReplicaView> {
        val idle = endpoint.replicas.filter { it.state == ReplicaState.READY && it.requestsInFlight == 0 }
        return when (val rule = settings.idleRule) {
            is IdleRule.Never -> emptyList()
            is IdleRule.FixedTimeout -> idle.filter { nowMs - it.idleSinceMs >= rule.keepAliveMs }
            is IdleRule.Adaptive -> {
                val isInUse = idle.size < endpoint.replicas.size
                if (isInUse || isWorthKeeping(rule, endpoint, idle, nowMs)) emptyList() else idle
            }
        }
    }

    private fun isWorthKeeping(
        rule: IdleRule.Adaptive,
        endpoint: EndpointView,
        idle: List<ReplicaView>,
        nowMs: Long,
    ): Boolean {
        val replicas = idle.map { replica ->
            IdleReplica(
                idleMs = nowMs - replica.idleSinceMs,
                reloadMs = expectedLoadMs(replica.weightsBytes, endpoint.sourceOf(replica.modelId)),
                interArrivals = usageByModel[replica.modelId]?.interArrivals,
            )
        }
        return replicas.isEmpty() || rule.isWorthKeeping(replicas, replicas.minOf { it.idleMs })
    }

    private fun replaceVersion(event: ReplicaEvent.VersionChanged, nowMs: Long): List<ReplicaAction> {
        val current = event.endpoints.firstOrNull { it.endpointId == event.endpointId }
        val oldReplica = current?.replicas?.firstOrNull { it.isOldVersionOf(event.model) } ?: return emptyList()
        return replaceReplica(current, oldReplica, event, nowMs)
    }

    /**
     * Loads the new version next to the old one if memory allows, otherwise on another endpoint, otherwise in place of
     * the old one. In the last case requests wait for the drain and the load instead of being refused.
     */
    private fun replaceReplica(
        current: EndpointView,
        oldReplica: ReplicaView,
        event: ReplicaEvent.VersionChanged,
        nowMs: Long,
    ): List<ReplicaAction> {
        val drain = ReplicaAction.DrainAndUnload(current.endpointId, oldReplica.modelId, oldReplica.version)
        if (current.freeBytes >= event.model.weightsBytes) return listOf(loadAction(current, event.model), drain)
        val otherPlacement = proposePlacement(event.model, event.endpoints - current, nowMs)
        if (otherPlacement.none { it is ReplicaAction.NoCapacity }) return otherPlacement + drain
        val hold = ReplicaAction.HoldRequests(current.endpointId, oldReplica.modelId)
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

/** Drops the replicas whose eviction is not needed to free [missingBytes], the most expensive ones first. */
private fun List<ReplicaView>.withoutRedundant(missingBytes: Long): List<ReplicaView> {
    var freedBytes = sumOf { it.weightsBytes }
    return asReversed().filterNot { replica ->
        val isRedundant = freedBytes - replica.weightsBytes >= missingBytes
        if (isRedundant) freedBytes -= replica.weightsBytes
        isRedundant
    }
}
