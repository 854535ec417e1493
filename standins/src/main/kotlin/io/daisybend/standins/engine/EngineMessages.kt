/*
 * Messages of the engine stand-in's HTTP interface: orders, state, cancellations, cache events and injected faults.
 */
package io.daisybend.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Operation that an order requests. */
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

/** Order to an engine; [itemId] is the id of a model or an adapter. */
@Serializable
public data class EngineOrder(
    val orderId: String,
    val fence: Long,
    val kind: OrderKind,
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
)

/** Loaded model or adapter, with the order that loaded it. */
@Serializable
public data class LoadedItem(
    val itemId: String,
    val version: String,
    val weightsBytes: Long,
    val adapter: Boolean,
    val orderId: String,
)

/** State that an engine reports. */
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

/** Response to an order or a [FenceRaise]. */
@Serializable
public data class OrderAnswer(val orderId: String, val done: Boolean, val refusal: String? = null, val fence: Long)

/** Request to refuse orders with a fencing number below [fence]. */
@Serializable
public data class FenceRaise(val fence: Long)

/** Request to cancel a completion. */
@Serializable
public data class Cancellation(val requestId: String)

/** Change of the prefix cache. */
@Serializable
public data class CacheEvent(val sequence: Long, val itemId: String, val prefixHash: Long)

/** Delays and injected faults of the engine stand-in. */
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
