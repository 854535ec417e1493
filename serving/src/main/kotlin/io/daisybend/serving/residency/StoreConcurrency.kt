/*
 * Learns how many loads the weight store serves at full speed. The store does not tell that number, but a load that
 * starts beside too many others takes proportionally longer, so its duration and the number of loads at its start show
 * it. More loads than that end no sooner together, while each of them keeps its engine from other orders.
 */
package io.daisybend.serving.residency

import kotlin.math.roundToInt

/** Limits the loads from the store that are under way, by the durations of earlier ones; not thread-safe. */
internal class StoreConcurrency {
    /** The loads that may be under way together. */
    var limit: Int = INITIAL_LIMIT
        private set

    private class SlowedLoad(val limit: Int, val endedAtMs: Long)

    /** What the last slowed load showed, until a second one confirms it: a single engine or report may be slow. */
    private var unconfirmed: SlowedLoad? = null
    private var loweredAtMs: Long? = null

    /** Adopts the [limit] that the last holder of the order duty learned from its loads. */
    fun adopt(limit: Int) {
        this.limit = limit
        unconfirmed = null
    }

    /**
     * Records that a load ended at [nowMs]: it started as one of [concurrent] loads, took [tookMs], and takes
     * [fullSpeedMs] beside no others.
     */
    fun onLoadEnded(concurrent: Int, tookMs: Long, fullSpeedMs: Long, nowMs: Long) {
        if (fullSpeedMs < MIN_FULL_SPEED_MS) return
        val slowdown = (tookMs - REPORT_LAG_MS) / fullSpeedMs.toDouble()
        unconfirmed = unconfirmed?.takeIf { nowMs - it.endedAtMs < fullSpeedMs * PROBE_PAUSE_LOADS }
        if (slowdown < SLOWED) onFullSpeed(concurrent, fullSpeedMs, nowMs) else onSlowed(concurrent, slowdown, nowMs)
    }

    private fun onFullSpeed(concurrent: Int, fullSpeedMs: Long, nowMs: Long) {
        unconfirmed = unconfirmed?.takeIf { it.limit >= concurrent }
        val mayProbe = loweredAtMs?.let { nowMs - it > fullSpeedMs * PROBE_PAUSE_LOADS } ?: true
        if (concurrent >= limit && mayProbe) limit++
    }

    private fun onSlowed(concurrent: Int, slowdown: Double, nowMs: Long) {
        val shown = (concurrent / slowdown).roundToInt().coerceAtLeast(1)
        if (shown >= limit) return
        val earlier = unconfirmed
        unconfirmed = SlowedLoad(shown, nowMs)
        if (earlier == null) return
        limit = minOf(limit, maxOf(earlier.limit, shown))
        unconfirmed = null
        loweredAtMs = nowMs
    }

    private companion object {
        /** Limit before the first load has ended. */
        const val INITIAL_LIMIT = 4

        /** Time by which a report shows the end of a load late, in milliseconds. */
        const val REPORT_LAG_MS = 300L

        /** Shorter loads show nothing, in milliseconds: their duration is mostly the lag of reports. */
        const val MIN_FULL_SPEED_MS = 1_000L

        /** Duration relative to full speed from which a load counts as slowed by others. */
        const val SLOWED = 1.2

        /** Time for which a slowed load counts, and after which a lowered limit may rise, in loads at full speed. */
        const val PROBE_PAUSE_LOADS = 3
    }
}
