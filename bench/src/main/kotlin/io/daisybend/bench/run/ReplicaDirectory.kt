/*
 * Replica state as each VM sees it. If the VMs share replica state, they see each load as soon as it is decided;
 * otherwise a VM sees only its own loads, and ready replicas when they are next published.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.ModelSpec
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.LoadKey
import io.daisybend.scheduling.replicas.ReplicaState

internal class ReplicaDirectory(private val context: RunContext) {
    private val sharesState = context.strategies.sharesReplicaState
    private val publishedReady = HashMap<ModelId, List<EndpointId>>()
    private val ownLoads = List(context.site.vmCount) { HashMap<ModelId, LoadKey>() }

    /** Returns the endpoints that hold a ready replica according to the request's VM; these may be out of date. */
    fun knownReadyEndpoints(request: ActiveRequest): List<EndpointId> =
        if (sharesState) readyEndpoints(request.arrival.model) else publishedAndOwnReady(request)

    fun readyEndpoints(model: ModelSpec): List<EndpointId> =
        context.engines.values
            .filter { it.stateOf(model.modelId) == ReplicaState.READY }
            .map { it.spec.endpointId }

    fun knownLoadInProgress(request: ActiveRequest): LoadKey? {
        val modelId = request.arrival.model.modelId
        if (!sharesState) return ownLoads[request.vmIndex][modelId]?.takeIf { isLoading(it) }
        val engine = context.engines.values.firstOrNull { it.stateOf(modelId) == ReplicaState.LOADING } ?: return null
        return LoadKey(engine.spec.endpointId, modelId)
    }

    fun isLoadingAnywhere(modelId: ModelId): Boolean =
        context.engines.values.any { it.stateOf(modelId) == ReplicaState.LOADING }

    fun stateAt(endpointId: EndpointId, modelId: ModelId): ReplicaState? = context.engine(endpointId).stateOf(modelId)

    fun recordOwnLoad(vmIndex: Int, key: LoadKey) {
        ownLoads[vmIndex][key.modelId] = key
    }

    fun removePublished(endpointId: EndpointId, modelId: ModelId) {
        publishedReady.computeIfPresent(modelId) { _, endpointIds -> endpointIds - endpointId }
    }

    /** Publishes ready replicas to VMs that do not share replica state, and drops their completed loads. */
    fun publish() {
        context.site.models.forEach { publishedReady[it.modelId] = readyEndpoints(it) }
        ownLoads.forEach { loads -> loads.values.removeIf { !isLoading(it) } }
    }

    private fun isLoading(key: LoadKey): Boolean = stateAt(key.endpointId, key.modelId) == ReplicaState.LOADING

    private fun publishedAndOwnReady(request: ActiveRequest): List<EndpointId> {
        val modelId = request.arrival.model.modelId
        val ownEndpointId = ownLoads[request.vmIndex][modelId]
            ?.endpointId
            ?.takeIf { stateAt(it, modelId) == ReplicaState.READY }
        return (publishedReady[modelId].orEmpty() + listOfNotNull(ownEndpointId)).distinct()
    }
}
