/*
 * Tracks the uses of one model that this VM has observed.
 */
package io.daisybend.scheduling.replicas

internal class ModelUse {
    val interArrivals = InterArrivalHistogram()
    private var lastUseMs: Long? = null

    fun recordUse(nowMs: Long) {
        lastUseMs?.let { interArrivals.observe(nowMs - it) }
        lastUseMs = nowMs
    }

    fun useProbability(horizonMs: Long, nowMs: Long): Double =
        interArrivals.useProbability(idleMs = nowMs - (lastUseMs ?: nowMs), horizonMs = horizonMs)
}
