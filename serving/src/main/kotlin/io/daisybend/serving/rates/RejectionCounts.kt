/*
 * Counts the requests that were rejected because their team is over its rate, for metrics and for one log line a second
 * and team.
 */
package io.daisybend.serving.rates

/** Rejected requests by team; thread-safe. */
public class RejectionCounts {
    private class Count {
        var total = 0L
        var logged = 0L
        var loggedAtMs: Long? = null
    }

    private val lock = Any()
    private val counts = HashMap<String, Count>()

    /** The requests rejected since the start, by team. */
    public val totals: Map<String, Long> get() = synchronized(lock) { counts.mapValues { it.value.total } }

    /** Counts a rejected request of [team]. */
    public fun record(team: String): Unit = synchronized(lock) { counts.getOrPut(team) { Count() }.total++ }

    /** Returns the rejections since its last line of each team whose line is due at [nowMs]. */
    public fun takeDue(nowMs: Long): Map<String, Long> = synchronized(lock) {
        val due = counts.filterValues { count ->
            count.total > count.logged && count.loggedAtMs.let { it == null || nowMs - it >= LINE_INTERVAL_MS }
        }
        due.mapValues { (_, count) ->
            (count.total - count.logged).also {
                count.logged = count.total
                count.loggedAtMs = nowMs
            }
        }
    }

    private companion object {
        const val LINE_INTERVAL_MS = 1_000L
    }
}
