/*
 * Limits the loads from the weight store to the rate that all engines share, over a sliding window. A load without an
 * answer counts, since it may still take effect, and counts again when it is sent again. A new holder of the order duty
 * counts the whole window as used, since it does not know which loads its predecessor started.
 */
package io.daisybend.serving.residency

/** Counts the loads started in the last [windowMs] milliseconds; not thread-safe. */
public class StoreLoadLimiter(private val windowMs: Long) {
    private val startedAtMs = ArrayDeque<Long>()
    private var blockedUntilMs = 0L

    /** Allows no load for one window after [nowMs], as if a predecessor had used the window before it. */
    public fun assumeWindowUsed(nowMs: Long) {
        blockedUntilMs = nowMs + windowMs
    }

    /** Returns how many loads may start at [nowMs] under [loadsPerSecond]. */
    public fun availableLoads(nowMs: Long, loadsPerSecond: Double): Int {
        if (nowMs < blockedUntilMs) return 0
        while (startedAtMs.isNotEmpty() && startedAtMs.first() <= nowMs - windowMs) startedAtMs.removeFirst()
        val allowed = (loadsPerSecond * windowMs / MILLIS_PER_SECOND).toInt()
        return (allowed - startedAtMs.size).coerceAtLeast(0)
    }

    /** Records that a load starts, or may start, at [atMs]. */
    public fun onLoadStarted(atMs: Long) {
        startedAtMs.addLast(atMs)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
