/*
 * The events that an endpoint's owner handles.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId

/** The result of an append. */
public enum class AppendAnswer {
    /** The record is in the log. */
    APPENDED,

    /** The log did not append the record and never will. */
    NOT_APPENDED,

    /** The record may be in the log. */
    UNKNOWN,
}

/** An input of [EndpointOwner]. */
public sealed interface OwnerEvent {
    /** This VM should claim the endpoint if its fence is still [expectedFence]. */
    public data class TakeOver(val expectedFence: Long) : OwnerEvent

    /** This VM should give up the endpoint once no order is in flight. */
    public data object HandOver : OwnerEvent

    /** A replica of [artifact] is wanted here; [expectedRevision] is the revision that the planner read. */
    public data class LoadRequested(
        val artifact: Artifact,
        val weightsBytes: Long,
        val expectedRevision: Long,
    ) : OwnerEvent

    /** The replica of [artifact] should be unloaded; [expectedRevision] is the revision that the planner read. */
    public data class UnloadRequested(val artifact: Artifact, val expectedRevision: Long) : OwnerEvent

    /** The append of the record [recordId] ended with [answer]. */
    public data class AppendAnswered(val recordId: RecordId, val answer: AppendAnswer) : OwnerEvent

    /**
     * The ledger advanced; [applied] are the records of this endpoint among those just read. The read that began at
     * [tailReadAtMs] reached the end of the stream; null if there is more to read.
     */
    public data class LedgerAdvanced(val applied: List<AppliedRecord>, val tailReadAtMs: Long?) : OwnerEvent

    /** The state read [callNumber] ended with [answer]. */
    public data class StateAnswered(val callNumber: Long, val answer: StateAnswer) : OwnerEvent

    /** The order [orderId] ended with [answer]; the event may be late or duplicate. */
    public data class OrderAnswered(val orderId: RecordId, val answer: OrderAnswer) : OwnerEvent

    /** Time has passed. */
    public data object Tick : OwnerEvent
}

internal fun OwnerEvent.LoadRequested.toDecision(recordId: RecordId, endpointId: EndpointId, fence: Long) =
    PlacementRecord.DecideLoad(recordId, endpointId, fence, artifact, weightsBytes, expectedRevision)

internal fun OwnerEvent.UnloadRequested.toDecision(recordId: RecordId, endpointId: EndpointId, fence: Long) =
    PlacementRecord.DecideUnload(recordId, endpointId, fence, artifact, expectedRevision)
