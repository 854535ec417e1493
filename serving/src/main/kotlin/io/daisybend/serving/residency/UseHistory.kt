/*
 * When models and adapters were asked for, and how often lately.
 */
package io.daisybend.serving.residency

/** When models and adapters were last asked for, over all VMs; milliseconds of the planner's clock. */
public class UseHistory {
    private val lastUseMs = HashMap<String, Long>()
    private val rate = HashMap<String, Double>()
    private val rateAtMs = HashMap<String, Long>()

    /** Notes [count] new requests for [key] at [nowMs]. */
    public fun used(key: String, count: Int, nowMs: Long) {
        lastUseMs[key] = nowMs
        rate[key] = ratePerSecond(key, nowMs) + count / RATE_MEMORY_S
        rateAtMs[key] = nowMs
    }

    /** Returns requests a second for [key], averaged over the last seconds before [nowMs]. */
    public fun ratePerSecond(key: String, nowMs: Long): Double {
        val at = rateAtMs[key] ?: return 0.0
        return (rate[key] ?: 0.0) * Math.exp(-(nowMs - at) / (RATE_MEMORY_S * MILLIS_PER_SECOND))
    }

    /** Returns when [key] was last asked for, or 0. */
    public fun lastUseMs(key: String): Long = lastUseMs[key] ?: 0L

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Over how many seconds rates are averaged: the demand for busy models moves within about ten. */
        const val RATE_MEMORY_S = 6.0
    }
}
