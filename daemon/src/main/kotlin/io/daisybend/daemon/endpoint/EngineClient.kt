/*
 * The port to model engines. An implementation speaks one engine protocol; nothing else knows its wire format.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.kernel.Failure
import io.daisybend.kernel.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A completion as an engine is asked for it; [itemId] is a model or an adapter. A completion that is resumed or
 * continued starts at [fromTokenIndex], after [generatedText].
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

/** One generated token; [requestId] and [attempt] tell whose answer it belongs to. */
@Serializable
public data class EngineToken(
    val requestId: RequestId,
    val attempt: Int,
    val index: Int,
    val text: String,
    val finishReason: String? = null,
)

/** What an order does. */
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

/** An order to an engine. */
@Serializable
public data class EngineOrder(
    val orderId: String,
    val fence: Long,
    val kind: EngineOrderKind,
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
)

/** An engine's answer to an order or to a raised fence. */
@Serializable
public data class EngineOrderAnswer(
    val orderId: String,
    val done: Boolean,
    val refusal: String? = null,
    val fence: Long,
)

/** A loaded model or adapter. */
@Serializable
public data class EngineItem(
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
    val adapter: Boolean,
    val orderId: String,
)

/** What an engine reports of itself. */
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

/** Why an engine did not answer as asked. */
public sealed interface EngineFailure : Failure {
    /** No byte of the request left this process. */
    public data class NotSent(override val message: String) : EngineFailure

    /** The engine refused before it ran anything. */
    public data class Refused(override val message: String) : EngineFailure

    /** The connection ended or went silent; the engine may have run the request. */
    public data class Broken(override val message: String) : EngineFailure
}

/** Talks to model engines. */
public interface EngineClient {
    /** Runs [completion] on [endpoint] and passes each token to [onToken]; fails with an [EngineFailure]. */
    public suspend fun complete(
        endpoint: EndpointSpec,
        completion: EngineCompletion,
        onToken: suspend (EngineToken) -> Unit,
    ): Result<Unit, EngineFailure>

    /** Cancels [requestId] on [endpoint]; fails with an [EngineFailure]. */
    public suspend fun cancel(endpoint: EndpointSpec, requestId: RequestId): Result<Unit, EngineFailure>

    /** Sends [order] to [endpoint] once and returns the answer after its effect; fails with an [EngineFailure]. */
    public suspend fun order(endpoint: EndpointSpec, order: EngineOrder): Result<EngineOrderAnswer, EngineFailure>

    /** Asks [endpoint] to refuse orders below [fence]; fails with an [EngineFailure]. */
    public suspend fun raiseFence(endpoint: EndpointSpec, fence: Long): Result<EngineOrderAnswer, EngineFailure>

    /** Returns the state of [endpoint]; fails with an [EngineFailure]. */
    public suspend fun state(endpoint: EndpointSpec): Result<EngineState, EngineFailure>
}
