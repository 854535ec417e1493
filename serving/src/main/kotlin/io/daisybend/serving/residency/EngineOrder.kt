/*
 * Orders to model engines, the answers to them and the loads that result.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import kotlin.math.abs

/** An order to an engine. */
public sealed interface EngineOrder {
    /** The model that the order loads or unloads, or whose adapter it loads or unloads. */
    public val model: String

    /** Loads the weights of [model]. */
    public data class LoadModel(override val model: String, val source: WeightSource) : EngineOrder

    /** Unloads [model] and its adapters; the engine waits for its runs to end when [waitsForRuns] is set. */
    public data class UnloadModel(override val model: String, val waitsForRuns: Boolean) : EngineOrder

    /** Loads [adapter] for a model that the engine holds. */
    public data class LoadAdapter(override val model: String, val adapter: String) : EngineOrder

    /** Unloads [adapter]. */
    public data class UnloadAdapter(override val model: String, val adapter: String) : EngineOrder
}

/** The source of the weights of a load. */
public enum class WeightSource { MEMORY, DISK, STORE }

/** The answer of an engine to an order. */
public sealed interface OrderAnswer {
    /** The engine is executing the order. */
    public data object Accepted : OrderAnswer

    /** The engine is already in the state that the order asks for. */
    public data object AlreadyHolds : OrderAnswer

    /** The engine is executing another order, or its order count differs from the one in the order. */
    public data object Conflict : OrderAnswer

    /** The engine refused the order: it is another incarnation, or it does not know the model or adapter. */
    public data class Refused(val status: Int) : OrderAnswer

    /** No usable answer arrived; the order may still take effect. */
    public data object None : OrderAnswer
}

/** A model load that an engine is executing; [expectedAtMs] is its expected end. */
public data class RunningLoad(
    val model: String,
    val expectedAtMs: Long,
    val startedAtMs: Long,
    /** Whether the load ends as expected; otherwise only a report shows its end. */
    val isPredictable: Boolean,
    /** The loads from the store under way at its start, with this one, or 0 if their number is not known. */
    val concurrentStoreLoads: Int = 0,
) {
    /** The expected duration, in milliseconds. */
    val expectedMs: Long get() = expectedAtMs - startedAtMs
}

/** A load of [model] that first needs other models to be unloaded; [readyAtMs] is its expected end. */
public data class PendingLoad(val model: String, val readyAtMs: Long) {
    /** Returns whether the load should have ended so long before [nowMs] that it will not go on. */
    public fun isOverdue(nowMs: Long): Boolean = nowMs > readyAtMs + MAX_OVERRUN_MS

    private companion object {
        /** Time after its expected end at which a pending load is given up, in milliseconds. */
        const val MAX_OVERRUN_MS = 3_000L
    }
}

/**
 * Returns the time from [nowMs] until a load that is expected to end at [expectedAtMs] ends, in milliseconds. An
 * overdue load is expected to take as long again as it is overdue.
 */
public fun remainingLoadMs(expectedAtMs: Long, nowMs: Long): Long = abs(expectedAtMs - nowMs)

/** Returns where an engine with these holdings loads [model] from. */
internal fun EngineHoldings.sourceOf(model: String): WeightSource = when (model) {
    in inMemory -> WeightSource.MEMORY
    in onDisk -> WeightSource.DISK
    else -> WeightSource.STORE
}
