/*
 * When the order duty holder may request the report of an engine again. Each failure in a row doubles the pause.
 */
package io.daisybend.entry.orders

/** The pauses between report requests to each engine; not thread-safe. */
internal class ReportPacing {
    private class State {
        var requestedAtMs = Long.MIN_VALUE / 2
        var failures = 0
        val pauseMs get() = MIN_INTERVAL_MS shl (failures - 1).coerceIn(0, MAX_DOUBLINGS)
    }

    private val states = HashMap<String, State>()

    /** Returns whether a report of [engine] may be requested at [nowMs], and counts it as requested then. */
    fun tryRequest(engine: String, nowMs: Long): Boolean {
        val state = states.getOrPut(engine) { State() }
        if (nowMs - state.requestedAtMs < state.pauseMs) return false
        state.requestedAtMs = nowMs
        return true
    }

    /** Records that [engine] has sent its report, or that a request for it failed. */
    fun onResult(engine: String, isReported: Boolean) {
        val state = states[engine] ?: return
        state.failures = if (isReported) 0 else state.failures + 1
    }

    /** Forgets all engines except [engines]. */
    fun retain(engines: Set<String>) {
        states.keys.retainAll(engines)
    }

    /** Forgets all engines: their reports may be requested at once. */
    fun clear() = states.clear()

    companion object {
        /** Least pause, in milliseconds: an engine's report lags by about 100 ms. */
        const val MIN_INTERVAL_MS = 120L

        /** The pause is at most 960 ms, so that an engine which is back is heard within a second. */
        private const val MAX_DOUBLINGS = 3
    }
}
