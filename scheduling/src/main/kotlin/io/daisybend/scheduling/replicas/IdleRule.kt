/*
 * How long an unused replica stays loaded. The adaptive rule is the ski-rental choice against the observed gaps of each
 * model: until enough gaps are known it keeps a replica for as long as a reload would cost, which is never worse than
 * twice the best choice in hindsight.
 */
package io.daisybend.scheduling.replicas

/** Decides the keep-alive time of an unused replica. */
public sealed interface IdleRule {
    /** Keeps every replica for [keepAliveMs]. */
    public data class FixedTimeout(val keepAliveMs: Long) : IdleRule

    /** Keeps replicas until their memory is needed. */
    public data object Never : IdleRule

    /** Chooses per model; a second of reload counts like [idleSecondsPerReloadSecond] of idle accelerator. */
    public data class Adaptive(
        val idleSecondsPerReloadSecond: Double = 4.0,
        val minObservedGaps: Int = 6,
        val maxKeepAliveMs: Long = 1_800_000,
    ) : IdleRule
}

internal fun IdleRule.keepAliveMs(gaps: GapHistogram?, reloadMs: Long): Long =
    when (this) {
        is IdleRule.FixedTimeout -> keepAliveMs
        is IdleRule.Never -> Long.MAX_VALUE
        is IdleRule.Adaptive -> adaptiveKeepAliveMs(gaps, reloadMs)
    }

private fun IdleRule.Adaptive.adaptiveKeepAliveMs(gaps: GapHistogram?, reloadMs: Long): Long {
    val penaltyMs = (reloadMs * idleSecondsPerReloadSecond).toLong()
    val enough = gaps != null && gaps.total >= minObservedGaps
    val chosenMs = if (enough) gaps.cheapestKeepAliveMs(penaltyMs) else penaltyMs
    return minOf(chosenMs, maxKeepAliveMs)
}
