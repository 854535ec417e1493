/*
 * Defines the events and actions of the replica policy. Actions are proposals: placement turns each of them into a
 * decision that is logged, fenced and checked against the available memory.
 */
package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.WeightSource

/** An input of a [ReplicaPolicy]. */
public sealed interface ReplicaEvent {
    /** A request for the model arrived, whether or not a replica exists. */
    public data class ModelUsed(val modelId: ModelId) : ReplicaEvent

    /** A request found no loading or ready replica of the model on [endpoints]. */
    public data class ReplicaMissing(val model: ModelWeights, val endpoints: List<EndpointView>) : ReplicaEvent

    /** Requests for the model are expected to wait [expectedWaitMs] at its least loaded replica. */
    public data class WaitObserved(
        val model: ModelWeights,
        val expectedWaitMs: Long,
        val endpoints: List<EndpointView>,
    ) : ReplicaEvent

    /** The periodic review of idle replicas is due. */
    public data class ReviewDue(val endpoints: List<EndpointView>) : ReplicaEvent

    /** [model] has to replace the version of the model that [endpointId] has loaded. */
    public data class VersionChanged(
        val endpointId: EndpointId,
        val model: ModelWeights,
        val endpoints: List<EndpointView>,
    ) : ReplicaEvent
}

/** An action that a [ReplicaPolicy] proposes. */
public sealed interface ReplicaAction {
    /** Load the model; the choice is based on [source] and [expectedLoadMs]. */
    public data class Load(
        val endpointId: EndpointId,
        val model: ModelWeights,
        val source: WeightSource,
        val expectedLoadMs: Long,
    ) : ReplicaAction

    /** Unload an idle replica; if a load on the same endpoint follows, unload before it. */
    public data class Unload(val endpointId: EndpointId, val modelId: ModelId, val version: String) : ReplicaAction

    /** Send no new requests to the replica and unload it when its last request has ended. */
    public data class DrainAndUnload(val endpointId: EndpointId, val modelId: ModelId, val version: String) :
        ReplicaAction

    /** Hold new requests for the model until the load that follows has ended. */
    public data class HoldRequests(val endpointId: EndpointId, val modelId: ModelId) : ReplicaAction

    /** No endpoint can free enough memory by unloading idle replicas. */
    public data class NoCapacity(val modelId: ModelId, val retryAfterMs: Long) : ReplicaAction
}
