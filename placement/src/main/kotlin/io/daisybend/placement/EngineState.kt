/*
 * The messages between an endpoint's owner and its engine: orders, and the state that the engine reports on request. An
 * engine that checks fencing numbers refuses an order whose number is below the highest number it has seen. It keeps
 * that number across restarts, and the owner can raise it without an order. An engine that ignores fencing numbers
 * obeys every order.
 */
package io.daisybend.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operation that an order requests. */
@Serializable
public enum class OrderKind {
    @SerialName("load")
    LOAD,

    @SerialName("unload")
    UNLOAD,
}

/** An order to an engine; [fencingNumber] is the offset of the decision behind it. */
@Serializable
public data class EngineOrder(
    val orderId: RecordId,
    val kind: OrderKind,
    val artifact: Artifact,
    val weightsBytes: Long,
    val fencingNumber: Long,
)

/** An artifact in an engine's memory; [orderId] is the order that loaded it, if the engine reports it. */
@Serializable
public data class EngineArtifact(
    val artifact: Artifact,
    val weightsBytes: Long,
    val loading: Boolean = false,
    val orderId: RecordId? = null,
)

internal fun PlacementRecord.DecideLoad.toOrder(offset: Long) =
    EngineOrder(recordId, OrderKind.LOAD, artifact, weightsBytes, fencingNumber = offset)

internal fun PlacementRecord.DecideUnload.toOrder(offset: Long) =
    EngineOrder(recordId, OrderKind.UNLOAD, artifact, weightsBytes = 0, fencingNumber = offset)

/**
 * The state of an engine when it answered; [bootId] changes with every restart, and [receivedOrderIds] are the latest
 * orders that it received, if it reports them.
 */
@Serializable
public data class EngineState(
    val bootId: String,
    val highestFence: Long = NO_FENCE,
    val artifacts: List<EngineArtifact> = emptyList(),
    val receivedOrderIds: List<RecordId> = emptyList(),
)

/** The result of reading an engine's state, with or without raising its fencing number. */
public sealed interface StateAnswer {
    /** The engine reported its [state], after raising its fencing number if requested. */
    public data class Reported(val state: EngineState) : StateAnswer

    /** The engine refused the request because it has seen a higher fencing number. */
    public data class FenceRefused(val highestFence: Long) : StateAnswer

    /** The engine did not answer in time. */
    public data object NoAnswer : StateAnswer
}

/** The result of sending an order to an engine. */
public sealed interface OrderAnswer {
    /** The engine accepted the order; the states that it reports from now on show the effect. */
    public data object Accepted : OrderAnswer

    /** The engine refused the order and never executes it. */
    public data class Refused(val reason: String) : OrderAnswer

    /** No byte of the order reached the engine. */
    public data object NotSent : OrderAnswer

    /** The engine did not answer; it may have executed the order or may execute it later. */
    public data object NoAnswer : OrderAnswer
}
