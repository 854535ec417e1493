/*
 * The turns at the weight store in one planning round. A load takes a turn from the eviction that makes room for it to
 * its end, so that no model is evicted for a load that then waits.
 */
package io.daisybend.serving.residency

/** The turns that [allowance] leaves beside the loads of [engines] at [nowMs]. */
internal class StoreTurns(
    private val allowance: StoreLoadAllowance,
    engines: List<EngineSnapshot>,
    nowMs: Long,
) {
    private var startsLeft = allowance.starts
    private var taken = engines.count { it.tracker.mayLoadFromStore(nowMs) || (it.isUsable && it.awaitsTurn()) }

    /** The turns that are not taken. */
    val free: Int get() = allowance.concurrent - taken

    /** Whether a load from the store may start now. */
    val isAvailable: Boolean get() = startsLeft > 0 && free > 0

    /** Whether the rate of the store allows a load that has its turn to start now. */
    val maySend: Boolean get() = startsLeft > 0

    /** Takes a turn for a load on [engine], unless its pending load has one. */
    fun take(engine: EngineSnapshot) {
        startsLeft--
        if (!engine.awaitsTurn()) taken++
    }

    /** Returns the expected duration of a load on [engine] that takes [coldLoadMs] by itself, in milliseconds. */
    fun expectedLoadMs(engine: EngineSnapshot, coldLoadMs: Long): Long {
        val others = if (engine.awaitsTurn()) taken - 1 else taken
        return (coldLoadMs * maxOf(1.0, (others + 1.0) / allowance.concurrent.coerceAtLeast(1))).toLong()
    }

    private fun EngineSnapshot.awaitsTurn() =
        tracker.pendingModel?.let { tracker.holdings.sourceOf(it) == WeightSource.STORE } ?: false
}
