/*
 * The actions that an endpoint's owner asks its runtime to perform.
 */
package io.daisybend.placement

/** Why a request to load or unload led to no decision. */
public sealed interface RequestRefusal {
    /** This VM does not own the endpoint or is handing it over. */
    public data object NotOwner : RequestRefusal

    /** The log did not append the decision, or the decision was abandoned after an unknown outcome. */
    public data object LogUnavailable : RequestRefusal

    /** The ledger refused the decision. */
    public data class Refused(val refusal: RecordRefusal) : RequestRefusal
}

/** An output of [EndpointOwner]. */
public sealed interface OwnerAction {
    /** Append [record] to the placement stream and report the answer. */
    public data class Append(val record: PlacementRecord) : OwnerAction

    /** Read the engine's state, after raising its fencing number to [raiseFence] if set, and report the answer. */
    public data class ReadState(val callNumber: Long, val raiseFence: Long?) : OwnerAction

    /** Send [order] to the engine exactly once, without retries, and report the answer. */
    public data class SendOrder(val order: EngineOrder) : OwnerAction

    /** Report to the planner that its request for [artifact] led to no decision. */
    public data class RefuseRequest(val artifact: Artifact, val refusal: RequestRefusal) : OwnerAction
}
