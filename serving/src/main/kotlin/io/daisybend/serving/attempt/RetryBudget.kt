/*
 * The retry budget of a service, which all VMs share. Each VM uses an equal part of the fixed allowance and the retries
 * earned by its own requests, so the VMs stay within the budget without exchanging messages.
 */
package io.daisybend.serving.attempt

/** The budget that the platform sets: in each [windowMs], [ratio] retries per request plus [extra] retries. */
public data class RetryBudgetSettings(val windowMs: Long, val ratio: Double, val extra: Double)

/** Counts the requests and the retries of one service on one VM. */
public class RetryBudget(private val settings: RetryBudgetSettings) {
    private val lock = Any()
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Records a request of a caller at [nowMs]. */
    public fun onRequest(nowMs: Long): Unit = synchronized(lock) {
        requests.addLast(nowMs)
        removeExpired(nowMs)
    }

    /** Takes one retry from the budget that [vmCount] VMs share; returns false when none is left. */
    public fun takeRetry(nowMs: Long, vmCount: Int): Boolean = synchronized(lock) {
        removeExpired(nowMs)
        val earned = requests.size * settings.ratio * USED_EARNED_SHARE
        val fixed = settings.extra * USED_FIXED_SHARE / vmCount.coerceAtLeast(1)
        if (retries.size + 1 > earned + fixed) return false
        retries.addLast(nowMs)
        true
    }

    private fun removeExpired(nowMs: Long) {
        while (requests.isNotEmpty() && requests.first() < nowMs - settings.windowMs) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < nowMs - settings.windowMs) retries.removeFirst()
    }

    private companion object {
        /** Used share of the retries that requests earn: windows of this VM and of the platform differ. */
        const val USED_EARNED_SHARE = 0.8

        /** Used share of the fixed allowance: VMs that just joined may not be in the VM count yet. */
        const val USED_FIXED_SHARE = 0.75
    }
}
