/*
 * Results of one run.
 */
package io.daisybend.bench.run

import org.HdrHistogram.Histogram

internal class RunResult(
    val coldStartMs: Histogram,
    val interactiveFirstTokenMs: Histogram,
    val batchFirstTokenMs: Histogram,
    val idleHours: Double,
    val loadedHours: Double,
    val worstShare: Double,
    val jainIndex: Double,
    val overshootTokens: Double,
    val counts: RunCounts,
)

internal data class RunCounts(
    var requests: Int = 0,
    var served: Int = 0,
    var coldRequests: Int = 0,
    var rateRefusals: Int = 0,
    var wrongfulRateRefusals: Int = 0,
    var capacityRefusals: Int = 0,
    var loads: Int = 0,
    var duplicateLoads: Int = 0,
    var evictions: Int = 0,
    var idleUnloads: Int = 0,
    var cachedBlocks: Long = 0,
) {
    val wrongfulRefusals: Int get() = wrongfulRateRefusals + capacityRefusals
}
