/*
 * The scenarios: each draws a trace for a site from a seed. The short form keeps the shape and cuts the duration.
 */
package io.daisybend.bench.trace

import io.daisybend.bench.site.SitePreset
import kotlin.random.Random

internal enum class Scenario(val title: String, val isHealthy: Boolean) {
    FIRST_BURST("first-burst", isHealthy = true),
    FILM_NIGHT("film-night", isHealthy = true),
    OVERNIGHT_BATCH("overnight-batch", isHealthy = true),
    NOISY_TEAM("noisy-team", isHealthy = true),
    VM_CHURN("vm-churn", isHealthy = false),
    LOG_OUTAGE("log-outage", isHealthy = false),
}

private const val MINUTE_MS = 60_000L
private const val SHORT_DIVISOR = 5L
private const val QUIET_REQUESTS_PER_SECOND = 0.15

internal fun Scenario.trace(site: SitePreset, seed: Long, isShort: Boolean): Trace {
    val builder = TraceBuilder(site, Random(seed * 31 + ordinal))
    val minuteMs = if (isShort) MINUTE_MS / SHORT_DIVISOR else MINUTE_MS
    return when (this) {
        Scenario.FIRST_BURST -> builder.firstBurst(minuteMs)
        Scenario.FILM_NIGHT -> builder.filmNight(minuteMs)
        Scenario.OVERNIGHT_BATCH -> builder.overnightBatch(minuteMs)
        Scenario.NOISY_TEAM -> builder.noisyTeam(minuteMs)
        Scenario.VM_CHURN -> builder.vmChurn(minuteMs, site.vmCount)
        Scenario.LOG_OUTAGE -> builder.logOutage(minuteMs)
    }
}

/** Every model is asked for within three seconds at many VMs, then the site is quiet. */
private fun TraceBuilder.firstBurst(minuteMs: Long): Trace {
    burstOnEveryModel(untilMs = 3_000, requestsPerModel = 10)
    steady(fromMs = 5_000, untilMs = 30 * minuteMs, requestsPerSecond = QUIET_REQUESTS_PER_SECOND)
    return build(30 * minuteMs)
}

/** A quiet afternoon, a peak before the film, a quiet night. */
private fun TraceBuilder.filmNight(minuteMs: Long): Trace {
    steady(0, 40 * minuteMs, QUIET_REQUESTS_PER_SECOND)
    for (step in 0 until 6) {
        val fromMs = (40 + 5 * step) * minuteMs
        steady(fromMs, fromMs + 5 * minuteMs, requestsPerSecond = 1.0 + step)
    }
    steady(70 * minuteMs, 120 * minuteMs, QUIET_REQUESTS_PER_SECOND)
    return build(120 * minuteMs)
}

/** One large team hands in a night's work at once; small teams send a few urgent reviews meanwhile. */
private fun TraceBuilder.overnightBatch(minuteMs: Long): Trace {
    batchOf(teamIndex = 0, fromMs = 0, untilMs = 30 * minuteMs, requestsPerSecond = 2.5)
    steady(0, 90 * minuteMs, requestsPerSecond = 0.2, teamIndices = listOf(3, 4))
    steady(0, 90 * minuteMs, requestsPerSecond = 0.2, teamIndices = listOf(1, 2))
    return build(90 * minuteMs)
}

/** One team sends four times its rate while the others stay within theirs. */
private fun TraceBuilder.noisyTeam(minuteMs: Long): Trace {
    steadyShareOfRate(0, 20 * minuteMs, teamIndex = 0, shareOfRate = 4.0)
    for (teamIndex in 1..4) steadyShareOfRate(0, 20 * minuteMs, teamIndex, shareOfRate = 0.6)
    return build(20 * minuteMs)
}

/** A VM is replaced every minute. */
private fun TraceBuilder.vmChurn(minuteMs: Long, vmCount: Int): Trace {
    steady(0, 30 * minuteMs, requestsPerSecond = 3.0)
    for (minute in 1 until 30) restartVm(minute * minuteMs, vmIndex = minute % vmCount)
    return build(30 * minuteMs)
}

/** The platform's log is down for a third of the time. */
private fun TraceBuilder.logOutage(minuteMs: Long): Trace {
    steady(0, 30 * minuteMs, requestsPerSecond = 1.0)
    logDown(10 * minuteMs, 20 * minuteMs)
    return build(30 * minuteMs)
}
