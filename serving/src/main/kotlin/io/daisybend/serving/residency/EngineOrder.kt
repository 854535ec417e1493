/*
 * Orders to model engines, what engines answer and what they then carry out.
 */
package io.daisybend.serving.residency

/** An order to an engine. */
public sealed interface EngineOrder {
    /** The model that the order is about. */
    public val model: String

    /** Loads the weights of [model]. */
    public data class LoadModel(override val model: String, val source: WeightSource) : EngineOrder

    /** Drops [model] and its adapters, after its runs where it [waitsForRuns]. */
    public data class UnloadModel(override val model: String, val waitsForRuns: Boolean) : EngineOrder

    /** Loads [adapter] of a model that is held. */
    public data class LoadAdapter(override val model: String, val adapter: String) : EngineOrder

    /** Drops [adapter]. */
    public data class UnloadAdapter(override val model: String, val adapter: String) : EngineOrder
}

/** Where the weights of a load come from. */
public enum class WeightSource { MEMORY, DISK, STORE }

/** How an engine answered an order. */
public sealed interface OrderAnswer {
    /** The order is being carried out. */
    public data object Accepted : OrderAnswer

    /** What the order asks for holds already. */
    public data object AlreadyHolds : OrderAnswer

    /** Another order is under way, or the engine has accepted another number of orders than expected. */
    public data object Conflict : OrderAnswer

    /** The engine won't take the order: it is another incarnation, or the order names what it does not know. */
    public data class Refused(val status: Int) : OrderAnswer

    /** No answer came; the order may still take effect. */
    public data object None : OrderAnswer
}

/** A model load that an engine carries out; [expectedAtMs] is when it should be done. */
public data class RunningLoad(
    val model: String,
    val expectedAtMs: Long,
    val startedAtMs: Long,
    /** Whether the expected time can be relied on; else only a report shows the end. */
    val isPredictable: Boolean,
)

/** A load of [model] for which weights must make way first; it should be done at [readyAtMs]. */
public data class PendingLoad(val model: String, val readyAtMs: Long)
