/*
 * Limits the loads from the weight store to the rate that all engines share, over a sliding window. A load without an
 * answer counts, since it may still take effect, and counts again when it is sent again. A new holder of the order duty
 * counts the loads that it knows its predecessor started, and assumes that the others started when the predecessor's
 * right to order ended, as many as the rate still allowed.
 */
package io.daisybend.serving.residency

/** Counts the loads started in the last [windowMs] milliseconds; not thread-safe. */
public class StoreLoadLimiter(private val windowMs: Long) {
    private val startedAtMs = ArrayDeque<Long>()
    private var predecessor: PredecessorLoads? = null

    /** Counts the loads of [loads] beside those that this VM started. */
    public fun inherit(loads: PredecessorLoads) {
        predecessor = loads
    }

    /** Returns how many loads may start at [nowMs] under [loadsPerSecond]. */
    public fun availableLoads(nowMs: Long, loadsPerSecond: Double): Int {
        while (startedAtMs.isNotEmpty() && startedAtMs.first() <= nowMs - windowMs) startedAtMs.removeFirst()
        val allowed = (loadsPerSecond * windowMs / MILLIS_PER_SECOND).toInt()
        return (allowed - startedAtMs.size - inheritedLoads(nowMs, allowed)).coerceAtLeast(0)
    }

    private fun inheritedLoads(nowMs: Long, allowed: Int): Int {
        val loads = predecessor ?: return 0
        val known = loads.startedAtMs.count { it > nowMs - windowMs }
        if (nowMs >= loads.rightEndedAtMs + windowMs) return known
        val knownAtEnd = loads.startedAtMs.count { it > loads.rightEndedAtMs - windowMs }
        return known + minOf(loads.unheardStarts, (allowed - knownAtEnd).coerceAtLeast(0))
    }

    /** Records that a load starts, or may start, at [atMs]. */
    public fun onLoadStarted(atMs: Long) {
        startedAtMs.addLast(atMs)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
