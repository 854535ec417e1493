/*
 * Defines the state of endpoints and replicas that the replica policy reads. The placement ledger owns this state.
 * [EndpointView.usedBytes] includes all reservations, even for orders whose effect has not been observed yet.
 */
package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.WeightSource

/** The lifecycle state of a replica. */
public enum class ReplicaState {
    LOADING,
    READY,
    DRAINING,
}

/** A model that is loaded or loading on an endpoint; [idleSinceMs] is the time at which its last use ended. */
public data class ReplicaView(
    val modelId: ModelId,
    val version: String,
    val weightsBytes: Long,
    val state: ReplicaState = ReplicaState.READY,
    val requestsInFlight: Int = 0,
    val idleSinceMs: Long = 0,
)

/**
 * An engine with its memory, its replicas and the weights that it can load without the weight store. While
 * [acceptsOrders] is false, as in an outage of the log, the policy neither places a replica on the engine nor unloads
 * its idle replicas, because they could not be reloaded. [expectedWaitMs] is the time that a new request would wait
 * for a slot.
 */
public data class EndpointView(
    val endpointId: EndpointId,
    val memoryBytes: Long,
    val usedBytes: Long,
    val replicas: List<ReplicaView> = emptyList(),
    val cachedWeights: Map<ModelId, WeightSource> = emptyMap(),
    val expectedWaitMs: Long = 0,
    val acceptsWork: Boolean = true,
    val acceptsOrders: Boolean = true,
) {
    internal val freeBytes: Long get() = memoryBytes - usedBytes

    internal fun sourceOf(modelId: ModelId): WeightSource = cachedWeights[modelId] ?: WeightSource.REMOTE
}

/** The weights of one model version. */
public data class ModelWeights(
    val modelId: ModelId,
    val version: String,
    val weightsBytes: Long,
)
