/*
 * The uses of one model as far as this VM has seen them.
 */
package io.daisybend.scheduling.replicas

internal class ModelUse {
    val gaps = InterArrivalHistogram()
    private var lastUseMs: Long? = null

    fun observe(nowMs: Long) {
        lastUseMs?.let { gaps.observe(nowMs - it) }
        lastUseMs = nowMs
    }

    fun probabilityWithin(horizonMs: Long, nowMs: Long): Double =
        gaps.useProbability(idleMs = nowMs - (lastUseMs ?: nowMs), horizonMs = horizonMs)
}
