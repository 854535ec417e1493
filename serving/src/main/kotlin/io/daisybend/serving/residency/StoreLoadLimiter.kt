/*
 * Keeps loads from the weight store below the rate that all engines share. A load without an answer counts again when
 * it may still take effect; a new holder of the duty counts the whole window as used, since it does not know what its
 * predecessor began.
 */
package io.daisybend.serving.residency

/** Counts the loads that began; not safe for use by several threads. */
public class StoreLoadLimiter(private val windowMs: Long) {
    private val begun = ArrayDeque<Long>()
    private var blockedUntilMs = 0L

    /** Counts the whole window before [nowMs] as used by a predecessor. */
    public fun assumeWindowUsed(nowMs: Long) {
        blockedUntilMs = nowMs + windowMs
    }

    /** Returns how many loads may begin at [nowMs] under [loadsPerSecond]. */
    public fun availableLoads(nowMs: Long, loadsPerSecond: Double): Int {
        if (nowMs < blockedUntilMs) return 0
        while (begun.isNotEmpty() && begun.first() <= nowMs - windowMs) begun.removeFirst()
        val allowed = (loadsPerSecond * windowMs / MILLIS_PER_SECOND).toInt()
        return (allowed - begun.size).coerceAtLeast(0)
    }

    /** Notes that a load begins, or may begin, at [atMs]. */
    public fun onLoadStarted(atMs: Long) {
        begun.addLast(atMs)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
