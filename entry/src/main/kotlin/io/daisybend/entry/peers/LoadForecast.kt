/*
 * The loads in progress that the holder of the order duty announces. A report contains only what changed lately, so
 * the announcements are kept here.
 */
package io.daisybend.entry.peers

import java.util.concurrent.ConcurrentHashMap

/** Announced loads by engine, while [isListed] returns true for the engine; thread-safe. */
internal class LoadForecast(private val isListed: (String) -> Boolean) {
    /** An engine executes the load unless it [needsOrder], which only a holder of the duty can send. */
    private data class ExpectedLoad(val model: String, val endsAtMs: Long, val needsOrder: Boolean)

    private val loadsByEngine = ConcurrentHashMap<String, ExpectedLoad>()

    /** Applies the [holdings] of a report received at [nowMs]. */
    fun onHoldings(holdings: List<HoldingsReport>, nowMs: Long) = holdings.forEach { held ->
        if (held.loading == null) {
            loadsByEngine.remove(held.engine)
        } else {
            loadsByEngine[held.engine] = ExpectedLoad(held.loading, nowMs + held.loadedInMs, held.load == null)
        }
    }

    /**
     * Returns the time until the first load of [model] ends, in milliseconds, or null if no load is known. While no VM
     * sends orders, only loads that engines execute count.
     */
    fun loadedInMs(model: String, nowMs: Long, isDutyHeld: Boolean = true): Long? = loadsByEngine
        .filter { (engine, load) -> load.model == model && !isOverdue(load, nowMs) && isListed(engine) }
        .filter { (_, load) -> isDutyHeld || !load.needsOrder }
        .minOfOrNull { (_, load) -> (load.endsAtMs - nowMs).coerceAtLeast(0) }

    /** Removes loads whose end was not announced in time, because the report was lost or the holder has ended. */
    fun removeOverdue(nowMs: Long) {
        loadsByEngine.values.removeIf { isOverdue(it, nowMs) }
    }

    private fun isOverdue(load: ExpectedLoad, nowMs: Long) = nowMs >= load.endsAtMs + OVERDUE_MS

    private companion object {
        /** How long a load may take beyond its expected end, in milliseconds: loads slow each other down. */
        const val OVERDUE_MS = 3_000L
    }
}
