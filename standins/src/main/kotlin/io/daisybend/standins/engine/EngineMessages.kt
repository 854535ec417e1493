/*
 * The engine stand-in's messages: orders, state, switches and completions.
 */
package io.daisybend.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an order does. */
@Serializable
public enum class OrderKind {
    @SerialName("load_model")
    LOAD_MODEL,

    @SerialName("unload_model")
    UNLOAD_MODEL,

    @SerialName("load_adapter")
    LOAD_ADAPTER,

    @SerialName("unload_adapter")
    UNLOAD_ADAPTER,
}

/** An order to an engine; [itemId] is a model or an adapter. */
@Serializable
public data class EngineOrder(
    val orderId: String,
    val fence: Long,
    val kind: OrderKind,
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
)

/** A loaded model or adapter. */
@Serializable
public data class LoadedItem(
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
    val peakUsedBytes: Long,
    val loaded: List<LoadedItem>,
    val loadingOrderIds: List<String>,
    val completedOrderIds: List<String>,
    val running: Int,
    val requestsStarted: Long,
    val loadsStarted: Int,
)

/** The answer to an order or to a raised fence. */
@Serializable
public data class OrderAnswer(val orderId: String, val done: Boolean, val refusal: String? = null, val fence: Long)

/** Asks an engine to refuse orders below [fence]. */
@Serializable
public data class FenceRaise(val fence: Long)

/** Asks an engine to stop working on a request. */
@Serializable
public data class Cancellation(val requestId: String)

/** One published change of the prefix cache. */
@Serializable
public data class CacheEvent(val sequence: Long, val itemId: String, val prefixHash: Long)

/** Failures of the engine stand-in. */
@Serializable
public data class EngineSwitches(
    val loadDelayMs: Long = 0,
    val firstTokenMs: Long = 5,
    val tokenIntervalMs: Long = 2,
    val reportLagMs: Long = 0,
    val cacheEventLagMs: Long = 0,
    val dropEveryNthCacheEvent: Int = 0,
    val hang: Boolean = false,
    val silentAfterTokens: Int = -1,
    val dieAfterTokens: Int = -1,
    val loseOrderAnswers: Int = 0,
)
