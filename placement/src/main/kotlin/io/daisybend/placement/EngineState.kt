/*
 * What an owner exchanges with a model engine: orders, and the state that the engine reports when asked. An engine
 * that checks fencing numbers refuses an order whose number is below the highest it has seen, keeps that number over
 * restarts, and can be told a number without an order. An engine that ignores them obeys whoever asks.
 */
package io.daisybend.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an order asks of an engine. */
@Serializable
public enum class OrderKind {
    @SerialName("load")
    LOAD,

    @SerialName("unload")
    UNLOAD,
}

/** An order to an engine; [fencingNumber] is the offset of the decision that permits it. */
@Serializable
public data class EngineOrder(
    val orderId: RecordId,
    val kind: OrderKind,
    val artifact: Artifact,
    val weightsBytes: Long,
    val fencingNumber: Long,
)

/** An artifact that takes memory at an engine; [orderId] is the order that loaded it, when the engine tells. */
@Serializable
public data class EngineArtifact(
    val artifact: Artifact,
    val weightsBytes: Long,
    val loading: Boolean = false,
    val orderId: RecordId? = null,
)

internal fun PlacementRecord.DecideLoad.orderAt(offset: Long) =
    EngineOrder(recordId, OrderKind.LOAD, artifact, weightsBytes, fencingNumber = offset)

internal fun PlacementRecord.DecideUnload.orderAt(offset: Long) =
    EngineOrder(recordId, OrderKind.UNLOAD, artifact, weightsBytes = 0, fencingNumber = offset)

/**
 * The true state of an engine at one moment; [bootId] changes with every restart, and [receivedOrderIds] are the
 * latest orders that it took, as far as it tells.
 */
@Serializable
public data class EngineState(
    val bootId: String,
    val highestFence: Long = NO_FENCE,
    val artifacts: List<EngineArtifact> = emptyList(),
    val receivedOrderIds: List<RecordId> = emptyList(),
)

/** The engine's answer to a question for its state, with or without a fencing number to raise. */
public sealed interface StateAnswer {
    /** The engine told its [state] after it had taken the fencing number, if there was one. */
    public data class Reported(val state: EngineState) : StateAnswer

    /** The engine has seen a higher fencing number. */
    public data class FenceRefused(val highestFence: Long) : StateAnswer

    /** No answer came in time. */
    public data object NoAnswer : StateAnswer
}

/** The engine's answer to an order. */
public sealed interface OrderAnswer {
    /** The engine has taken the order; states that it reports from now on show the effect. */
    public data object Accepted : OrderAnswer

    /** The engine will not carry out the order. */
    public data class Refused(val reason: String) : OrderAnswer

    /** No byte of the order reached the engine. */
    public data object NotSent : OrderAnswer

    /** No answer came; the order may have been taken or may be taken later. */
    public data object NoAnswer : OrderAnswer
}
