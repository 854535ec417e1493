/*
 * Events and actions of the replica policy. Actions are proposals: the ledger of placement turns each into a decision
 * that is logged, fenced and checked against memory.
 */
package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.WeightSource

/** What may happen to models and replicas. */
public sealed interface ReplicaEvent {
    /** A request for the model has arrived, whether a replica exists or not. */
    public data class ModelUsed(val modelId: ModelId) : ReplicaEvent

    /** A request finds no replica of the model, loading or ready, among [endpoints]. */
    public data class ReplicaMissing(val model: ModelWeights, val endpoints: List<EndpointView>) : ReplicaEvent

    /** Requests of the model are expected to wait [expectedWaitMs] at its least loaded replica. */
    public data class WaitObserved(
        val model: ModelWeights,
        val expectedWaitMs: Long,
        val endpoints: List<EndpointView>,
    ) : ReplicaEvent

    /** The periodic review of all replicas. */
    public data class ReviewDue(val endpoints: List<EndpointView>) : ReplicaEvent

    /** The model has to run as [model] instead of the version that [endpointId] holds. */
    public data class VersionChanged(
        val endpointId: EndpointId,
        val model: ModelWeights,
        val endpoints: List<EndpointView>,
    ) : ReplicaEvent
}

/** What the policy proposes. */
public sealed interface ReplicaAction {
    /** Load the model; [source] and [expectedLoadMs] are what the choice was based on. */
    public data class Load(
        val endpointId: EndpointId,
        val model: ModelWeights,
        val source: WeightSource,
        val expectedLoadMs: Long,
    ) : ReplicaAction

    /** Unload an idle replica, before the next load on the same endpoint when one follows. */
    public data class Unload(val endpointId: EndpointId, val modelId: ModelId, val version: String) : ReplicaAction

    /** Send no new work to the replica and unload it when its last request has ended. */
    public data class DrainAndUnload(val endpointId: EndpointId, val modelId: ModelId, val version: String) :
        ReplicaAction

    /** Keep new requests of the model waiting until the load that follows has ended. */
    public data class HoldRequests(val endpointId: EndpointId, val modelId: ModelId) : ReplicaAction

    /** No endpoint has room: every replica that could make room is in use. */
    public data class NoCapacity(val modelId: ModelId, val retryAfterMs: Long) : ReplicaAction
}
