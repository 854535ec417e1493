/*
 * Results of a comparison, formatted as a table and as JSON.
 */
package io.daisybend.bench.report

import io.daisybend.bench.run.RunResult
import io.daisybend.bench.trace.Scenario
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.HdrHistogram.Histogram

@Serializable
internal data class Percentiles(val count: Long, val p50Ms: Long, val p95Ms: Long, val p99Ms: Long)

@Serializable
internal data class VariantFigures(
    val variant: String,
    val coldStart: Percentiles,
    val interactiveFirstToken: Percentiles,
    val batchFirstToken: Percentiles,
    val idleHours: Double,
    val loadedHours: Double,
    val worstShare: Double,
    val jainIndex: Double,
    val overshootTokens: Double,
    val requests: Int,
    val served: Int,
    val coldRequests: Int,
    val rateRefusals: Int,
    val wrongfulRateRefusals: Int,
    val capacityRefusals: Int,
    val loads: Int,
    val duplicateLoads: Int,
    val evictions: Int,
    val idleUnloads: Int,
    val cachedBlocks: Long,
)

@Serializable
internal data class Comparison(
    val site: String,
    val scenario: String,
    val seed: Long,
    val own: VariantFigures,
    val naive: VariantFigures,
    val targets: List<TargetOutcome>,
)

private val json = Json { prettyPrint = true }

internal fun compare(
    site: String,
    scenario: Scenario,
    seed: Long,
    own: RunResult,
    naive: RunResult,
): Comparison =
    Comparison(
        site = site,
        scenario = scenario.title,
        seed = seed,
        own = own.toFigures("daisybend"),
        naive = naive.toFigures("naive"),
        targets = targetOutcomes(scenario, own, naive),
    )

internal fun List<Comparison>.toJson(): String = json.encodeToString(this)

internal fun Comparison.toText(): String =
    buildString {
        appendLine("$site  $scenario  (seed $seed)")
        appendLine(ROW.format("", "cold p50", "p95", "p99 ms", "idle h", "worst", "Jain", "wrongful", "overshoot"))
        listOf(own, naive).forEach { appendLine(it.toFirstRow()) }
        appendLine(ROW.format("", "requests", "cold", "loads", "dupl.", "evict", "unload", "inter p99", "batch p99"))
        listOf(own, naive).forEach { appendLine(it.toSecondRow()) }
        targets.forEach {
            appendLine("  ${if (it.isMet) "met   " else "MISSED"} ${it.target}: ${it.wanted}, got ${it.got}")
        }
    }

private const val ROW = "  %-10s %9s %9s %9s %8s %8s %8s %10s %10s"

private fun VariantFigures.toFirstRow(): String =
    ROW.format(
        variant,
        coldStart.p50Ms,
        coldStart.p95Ms,
        coldStart.p99Ms,
        "%.2f".format(idleHours),
        "%.3f".format(worstShare),
        "%.3f".format(jainIndex),
        "$wrongfulRateRefusals+$capacityRefusals",
        "%.0f".format(overshootTokens),
    )

private fun VariantFigures.toSecondRow(): String =
    ROW.format(
        variant,
        requests,
        coldRequests,
        loads,
        duplicateLoads,
        evictions,
        idleUnloads,
        interactiveFirstToken.p99Ms,
        batchFirstToken.p99Ms,
    )

private fun RunResult.toFigures(variant: String) =
    VariantFigures(
        variant = variant,
        coldStart = coldStartMs.toPercentiles(),
        interactiveFirstToken = interactiveFirstTokenMs.toPercentiles(),
        batchFirstToken = batchFirstTokenMs.toPercentiles(),
        idleHours = idleHours,
        loadedHours = loadedHours,
        worstShare = worstShare,
        jainIndex = jainIndex,
        overshootTokens = overshootTokens,
        requests = counts.requests,
        served = counts.served,
        coldRequests = counts.coldRequests,
        rateRefusals = counts.rateRefusals,
        wrongfulRateRefusals = counts.wrongfulRateRefusals,
        capacityRefusals = counts.capacityRefusals,
        loads = counts.loads,
        duplicateLoads = counts.duplicateLoads,
        evictions = counts.evictions,
        idleUnloads = counts.idleUnloads,
        cachedBlocks = counts.cachedBlocks,
    )

private fun Histogram.toPercentiles() =
    Percentiles(totalCount, getValueAtPercentile(50.0), getValueAtPercentile(95.0), getValueAtPercentile(99.0))
