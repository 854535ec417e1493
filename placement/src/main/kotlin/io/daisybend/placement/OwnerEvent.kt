/*
 * What an endpoint's owner is told.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId

/** The answer to an append. */
public enum class AppendAnswer {
    /** The record is in the log. */
    APPENDED,

    /** The log did not take the record. */
    NOT_APPENDED,

    /** The record may be in the log. */
    UNKNOWN,
}

/** An input of [EndpointOwner]. */
public sealed interface OwnerEvent {
    /** This VM should own the endpoint if its fence is still [expectedFence]. */
    public data class TakeOver(val expectedFence: Long) : OwnerEvent

    /** This VM should stop owning the endpoint once its orders are answered. */
    public data object HandOver : OwnerEvent

    /** A replica of [artifact] is wanted here; [expectedRevision] is what the planner saw. */
    public data class LoadRequested(
        val artifact: Artifact,
        val weightsBytes: Long,
        val expectedRevision: Long,
    ) : OwnerEvent

    /** The replica of [artifact] here is not wanted any more; [expectedRevision] is what the planner saw. */
    public data class UnloadRequested(val artifact: Artifact, val expectedRevision: Long) : OwnerEvent

    /** The log answered, or failed to answer, the append of the record [recordId]. */
    public data class AppendAnswered(val recordId: RecordId, val answer: AppendAnswer) : OwnerEvent

    /**
     * The ledger has applied [applied], those of the records just read that concern the endpoint. A read that began
     * at [tailReadAtMs] reached the end of the stream; null when there is more to read.
     */
    public data class LedgerAdvanced(val applied: List<AppliedRecord>, val tailReadAtMs: Long?) : OwnerEvent

    /** The engine answered the question [callNumber] for its state. */
    public data class StateAnswered(val callNumber: Long, val answer: StateAnswer) : OwnerEvent

    /** The engine answered the order [orderId], maybe late or twice. */
    public data class OrderAnswered(val orderId: RecordId, val answer: OrderAnswer) : OwnerEvent

    /** Time has passed. */
    public data object Tick : OwnerEvent
}

internal fun OwnerEvent.LoadRequested.toDecision(recordId: RecordId, endpointId: EndpointId, fence: Long) =
    PlacementRecord.DecideLoad(recordId, endpointId, fence, artifact, weightsBytes, expectedRevision)

internal fun OwnerEvent.UnloadRequested.toDecision(recordId: RecordId, endpointId: EndpointId, fence: Long) =
    PlacementRecord.DecideUnload(recordId, endpointId, fence, artifact, expectedRevision)
