/*
 * The interface to model engines. Each implementation supports one engine protocol and encapsulates its wire format.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.kernel.Failure
import io.daisybend.kernel.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A completion request to an engine; [itemId] identifies a model or an adapter. A resumed completion starts at
 * [fromTokenIndex], after [generatedText].
 */
@Serializable
public data class EngineCompletion(
    val requestId: RequestId,
    val attempt: Int,
    val itemId: String,
    val prompt: String,
    val maxTokens: Int,
    val priority: Int = 0,
    val fromTokenIndex: Int = 0,
    val generatedText: String = "",
)

/** One generated token; [requestId] and [attempt] identify the completion that it belongs to. */
@Serializable
public data class EngineToken(
    val requestId: RequestId,
    val attempt: Int,
    val index: Int,
    val text: String,
    val finishReason: String? = null,
)

/** The kinds of orders to an engine. */
@Serializable
public enum class EngineOrderKind {
    @SerialName("load_model")
    LOAD_MODEL,

    @SerialName("unload_model")
    UNLOAD_MODEL,

    @SerialName("load_adapter")
    LOAD_ADAPTER,

    @SerialName("unload_adapter")
    UNLOAD_ADAPTER,
}

/** An order to load or unload an item; engines that check fencing refuse it if [fence] is below their own number. */
@Serializable
public data class EngineOrder(
    val orderId: String,
    val fence: Long,
    val kind: EngineOrderKind,
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
)

/** An engine's answer to an order or to a request to raise its fencing number, which is now [fence]. */
@Serializable
public data class EngineOrderAnswer(
    val orderId: String,
    val done: Boolean,
    val refusal: String? = null,
    val fence: Long,
)

/** A loaded model or adapter; [orderId] identifies the order that loaded it. */
@Serializable
public data class EngineItem(
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
    @SerialName("adapter") val isAdapter: Boolean,
    val orderId: String,
)

/** The state that an engine reports. */
@Serializable
public data class EngineState(
    val bootId: String,
    val fence: Long,
    val memoryBytes: Long,
    val kvCacheBytes: Long,
    val usedBytes: Long,
    val loaded: List<EngineItem>,
    val loadingOrderIds: List<String>,
    val completedOrderIds: List<String>,
    val running: Int,
    val requestsStarted: Long = 0,
)

/** The failure of a call to an engine. */
public sealed interface EngineFailure : Failure {
    /** No byte of the request was sent. */
    public data class NotSent(override val message: String) : EngineFailure

    /** The engine refused the request before running it. */
    public data class Refused(override val message: String) : EngineFailure

    /** The engine gave no usable answer, for example because the connection broke; it may have run the request. */
    public data class OutcomeUnknown(override val message: String) : EngineFailure
}

/** Sends completions and orders to model engines and reads their state. */
public interface EngineClient {
    /** Runs [completion] on [endpoint] and passes each token to [onToken]; fails with an [EngineFailure]. */
    public suspend fun complete(
        endpoint: EndpointSpec,
        completion: EngineCompletion,
        onToken: suspend (EngineToken) -> Unit,
    ): Result<Unit, EngineFailure>

    /** Cancels [requestId] on [endpoint]; fails with an [EngineFailure]. */
    public suspend fun cancel(endpoint: EndpointSpec, requestId: RequestId): Result<Unit, EngineFailure>

    /** Sends [order] to [endpoint] once; returns the answer once the order is done; fails with an [EngineFailure]. */
    public suspend fun sendOrder(endpoint: EndpointSpec, order: EngineOrder): Result<EngineOrderAnswer, EngineFailure>

    /** Makes [endpoint] refuse orders with a fencing number below [fence]; fails with an [EngineFailure]. */
    public suspend fun raiseFence(endpoint: EndpointSpec, fence: Long): Result<EngineOrderAnswer, EngineFailure>

    /** Returns the state of [endpoint]; fails with an [EngineFailure]. */
    public suspend fun readState(endpoint: EndpointSpec): Result<EngineState, EngineFailure>
}
