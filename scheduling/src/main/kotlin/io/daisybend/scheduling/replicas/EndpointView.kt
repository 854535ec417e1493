/*
 * What the replica policy is told about the endpoints. The ledger of placement owns these facts; the policy only reads
 * them. [EndpointView.usedBytes] includes all that is reserved, also for orders whose effect has not been seen.
 */
package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.WeightSource

/** How far a replica is in its life. */
public enum class ReplicaState {
    LOADING,
    READY,
    DRAINING,
}

/** A model loaded, or being loaded, on an endpoint; [idleSinceMs] is the end of its last use. */
public data class ReplicaView(
    val modelId: ModelId,
    val version: String,
    val weightsBytes: Long,
    val state: ReplicaState = ReplicaState.READY,
    val requestsInFlight: Int = 0,
    val idleSinceMs: Long = 0,
)

/**
 * An engine with its memory, its replicas and the weights that it could load without the store. While an engine does
 * not accept orders, as in an outage of the log, nothing is loaded there and nothing that could not be reloaded is
 * unloaded. [EndpointView.expectedWaitMs] is what a new request would wait for a slot.
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

/** The weights that a load needs. */
public data class ModelWeights(
    val modelId: ModelId,
    val version: String,
    val weightsBytes: Long,
)
