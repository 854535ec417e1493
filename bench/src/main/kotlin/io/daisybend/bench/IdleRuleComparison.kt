/*
 * Runs the scenarios with several idle rules and prints the cost of each: idle hours of engines and number of cold
 * requests.
 */
package io.daisybend.bench

import io.daisybend.bench.decisions.naiveStrategies
import io.daisybend.bench.decisions.systemStrategies
import io.daisybend.bench.run.RunResult
import io.daisybend.bench.site.SitePreset
import io.daisybend.bench.trace.Scenario
import io.daisybend.scheduling.replicas.IdleRule

private val fixedTimeoutsMs = listOf(30_000L, 120_000L, 300_000L, 600_000L)
private val idleSecondsPerReloadSecondValues = listOf(1.0, 2.0, 4.0, 8.0, 16.0, 32.0)

internal fun compareIdleRules(sites: List<SitePreset>, scenarios: List<Scenario>, options: BenchOptions) {
    val rules = fixedTimeoutsMs.map { IdleRule.FixedTimeout(it) } +
        idleSecondsPerReloadSecondValues.map { IdleRule.Adaptive(idleSecondsPerReloadSecond = it) } +
        IdleRule.Never
    for (site in sites) {
        for (scenario in scenarios) {
            println("${site.name} ${scenario.title}: idle hours, cold requests, loads, p99 of interactive first token")
            val naive =
                runVariant(site, scenario, options.seed, options.isShort) { naiveStrategies(site, it, options.seed) }
            printRow("naive", naive)
            rules.forEach { rule ->
                val result = runVariant(site, scenario, options.seed, options.isShort) {
                    systemStrategies(site, it, options.seed, rule)
                }
                printRow(rule.title(), result)
            }
        }
    }
}

private fun printRow(name: String, result: RunResult) {
    val p99Ms = result.interactiveFirstTokenMs.getValueAtPercentile(99.0)
    println(
        "  %-16s %7.2f %6d %6d %7d"
            .format(name, result.idleHours, result.counts.coldRequests, result.counts.loads, p99Ms),
    )
}

private fun IdleRule.title(): String =
    when (this) {
        is IdleRule.FixedTimeout -> "fixed ${keepAliveMs / 1_000} s"
        is IdleRule.Never -> "never"
        is IdleRule.Adaptive -> "adaptive $idleSecondsPerReloadSecond"
    }
