/*
 * The budget of second sends to a service. All VMs share it: each may use a part of the fixed extra and a part of what
 * its own requests earn, so no message between VMs is needed to keep within it.
 */
package io.daisybend.serving.attempt

/** The budget that the platform sets: repeats in [windowMs] for each request, and [extra] besides. */
public data class RetryBudgetSettings(val windowMs: Long, val ratio: Double, val extra: Double)

/** Counts first sends and repeats of one service at one VM. */
public class RetryBudget(private val settings: RetryBudgetSettings) {
    private val lock = Any()
    private val firsts = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Notes a request of a caller at [nowMs]. */
    public fun onRequest(nowMs: Long): Unit = synchronized(lock) {
        firsts.addLast(nowMs)
        expire(nowMs)
    }

    /** Takes one repeat out of the budget when [vmCount] VMs share it; returns false when none is left. */
    public fun takeRetry(nowMs: Long, vmCount: Int): Boolean = synchronized(lock) {
        expire(nowMs)
        val earned = firsts.size * settings.ratio * EARNED_SHARE
        val fixed = settings.extra * FIXED_SHARE / vmCount.coerceAtLeast(1)
        if (repeats.size + 1 > earned + fixed) return false
        repeats.addLast(nowMs)
        true
    }

    private fun expire(nowMs: Long) {
        while (firsts.isNotEmpty() && firsts.first() < nowMs - settings.windowMs) firsts.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() < nowMs - settings.windowMs) repeats.removeFirst()
    }

    private companion object {
        /** Part of what requests earn that is used, since windows of VMs and of the platform differ. */
        const val EARNED_SHARE = 0.8

        /** Part of the fixed extra that is used: VMs that just joined may not be counted yet. */
        const val FIXED_SHARE = 0.75
    }
}
