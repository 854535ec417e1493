/*
 * What the VMs know about replicas. Where they share the replicas' state, they see each load as soon as it is decided;
 * otherwise each VM knows its own loads and learns of ready replicas with a lag.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.ModelSpec
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.LoadKey
import io.daisybend.scheduling.replicas.ReplicaState

internal class ReplicaKnowledge(private val context: RunContext) {
    private val sharesState = context.decisions.sharesReplicaState
    private val readyAsSeen = HashMap<ModelId, List<EndpointId>>()
    private val ownLoads = List(context.site.vmCount) { HashMap<ModelId, LoadKey>() }

    /** Returns the endpoints that the request's VM believes to hold a ready replica. */
    fun readyFor(request: ActiveRequest): List<EndpointId> =
        if (sharesState) readyInTruth(request.arrival.model) else readyAsSeenBy(request)

    fun readyInTruth(model: ModelSpec): List<EndpointId> =
        context.engines.values
            .filter { it.stateOf(model.modelId) == ReplicaState.READY }
            .map { it.spec.endpointId }

    fun loadInProgress(request: ActiveRequest): LoadKey? {
        val modelId = request.arrival.model.modelId
        if (!sharesState) return ownLoads[request.vmIndex][modelId]?.takeIf { isLoading(it) }
        val engine = context.engines.values.firstOrNull { it.stateOf(modelId) == ReplicaState.LOADING } ?: return null
        return LoadKey(engine.spec.endpointId, modelId)
    }

    fun isLoadingAnywhere(modelId: ModelId): Boolean =
        context.engines.values.any { it.stateOf(modelId) == ReplicaState.LOADING }

    fun stateAt(endpointId: EndpointId, modelId: ModelId): ReplicaState? = context.engine(endpointId).stateOf(modelId)

    fun remember(vmIndex: Int, key: LoadKey) {
        ownLoads[vmIndex][key.modelId] = key
    }

    fun forget(endpointId: EndpointId, modelId: ModelId) {
        readyAsSeen.computeIfPresent(modelId) { _, seen -> seen - endpointId }
    }

    /** Publishes ready replicas to the VMs that do not share the replicas' state. */
    fun publish() {
        context.site.models.forEach { readyAsSeen[it.modelId] = readyInTruth(it) }
        ownLoads.forEach { loads -> loads.values.removeIf { !isLoading(it) } }
    }

    private fun isLoading(key: LoadKey): Boolean = stateAt(key.endpointId, key.modelId) == ReplicaState.LOADING

    private fun readyAsSeenBy(request: ActiveRequest): List<EndpointId> {
        val modelId = request.arrival.model.modelId
        val own = ownLoads[request.vmIndex][modelId]
            ?.endpointId
            ?.takeIf { stateAt(it, modelId) == ReplicaState.READY }
        return (readyAsSeen[modelId].orEmpty() + listOfNotNull(own)).distinct()
    }
}
