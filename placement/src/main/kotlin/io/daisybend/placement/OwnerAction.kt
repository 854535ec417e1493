/*
 * What an endpoint's owner asks its surroundings to do.
 */
package io.daisybend.placement

/** Why a request to load or unload led to no decision. */
public sealed interface RequestRefusal {
    /** This VM does not own the endpoint, or may not use its ownership yet. */
    public data object NotOwner : RequestRefusal

    /** The log did not take the decision, or did not answer. */
    public data object LogUnavailable : RequestRefusal

    /** The ledger refused the decision. */
    public data class Refused(val refusal: RecordRefusal) : RequestRefusal
}

/** An output of [EndpointOwner]. */
public sealed interface OwnerAction {
    /** Append [record] to the placement stream and report the answer. */
    public data class Append(val record: PlacementRecord) : OwnerAction

    /** Ask the engine for its state, raising [raiseFence] first when it is set, and report the answer. */
    public data class ReadState(val callNumber: Long, val raiseFence: Long?) : OwnerAction

    /** Send [order] to the engine, once, and report the answer. */
    public data class SendOrder(val order: EngineOrder) : OwnerAction

    /** Tell the planner that its request for [artifact] led to no decision. */
    public data class RefuseRequest(val artifact: Artifact, val refusal: RequestRefusal) : OwnerAction
}
