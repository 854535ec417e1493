/*
 * The scenarios. Each generates a trace for a site from a seed. The short form keeps the pattern of the traffic and
 * shortens the duration to a fifth.
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
private const val SHORT_FORM_DIVISOR = 5L
private const val OFF_PEAK_REQUESTS_PER_SECOND = 0.15

internal fun Scenario.buildTrace(site: SitePreset, seed: Long, isShort: Boolean): Trace {
    val builder = TraceBuilder(site, Random(seed * 31 + ordinal))
    val minuteMs = if (isShort) MINUTE_MS / SHORT_FORM_DIVISOR else MINUTE_MS
    return when (this) {
        Scenario.FIRST_BURST -> builder.firstBurst(minuteMs)
        Scenario.FILM_NIGHT -> builder.filmNight(minuteMs)
        Scenario.OVERNIGHT_BATCH -> builder.overnightBatch(minuteMs)
        Scenario.NOISY_TEAM -> builder.noisyTeam(minuteMs)
        Scenario.VM_CHURN -> builder.vmChurn(minuteMs, site.vmCount)
        Scenario.LOG_OUTAGE -> builder.logOutage(minuteMs)
    }
}

/** Every model is requested within three seconds at many VMs, followed by low traffic. */
private fun TraceBuilder.firstBurst(minuteMs: Long): Trace {
    addBurstOnEveryModel(untilMs = 3_000, requestsPerModel = 10)
    addSteadyTraffic(fromMs = 5_000, untilMs = 30 * minuteMs, requestsPerSecond = OFF_PEAK_REQUESTS_PER_SECOND)
    return build(30 * minuteMs)
}

/** Low traffic, a peak that rises in six steps, then low traffic again. */
private fun TraceBuilder.filmNight(minuteMs: Long): Trace {
    addSteadyTraffic(0, 40 * minuteMs, OFF_PEAK_REQUESTS_PER_SECOND)
    for (stepIndex in 0 until 6) {
        val fromMs = (40 + 5 * stepIndex) * minuteMs
        addSteadyTraffic(fromMs, fromMs + 5 * minuteMs, requestsPerSecond = 1.0 + stepIndex)
    }
    addSteadyTraffic(70 * minuteMs, 120 * minuteMs, OFF_PEAK_REQUESTS_PER_SECOND)
    return build(120 * minuteMs)
}

/** One large team submits batch requests for 30 minutes while other teams send a few interactive requests. */
private fun TraceBuilder.overnightBatch(minuteMs: Long): Trace {
    addBatchTraffic(teamIndex = 0, fromMs = 0, untilMs = 30 * minuteMs, requestsPerSecond = 2.5)
    addSteadyTraffic(0, 90 * minuteMs, requestsPerSecond = 0.2, teamIndices = listOf(3, 4))
    addSteadyTraffic(0, 90 * minuteMs, requestsPerSecond = 0.2, teamIndices = listOf(1, 2))
    return build(90 * minuteMs)
}

/** One team sends four times its rate while the others stay below their own. */
private fun TraceBuilder.noisyTeam(minuteMs: Long): Trace {
    addTrafficAtShareOfRate(0, 20 * minuteMs, teamIndex = 0, shareOfRate = 4.0)
    for (teamIndex in 1..4) addTrafficAtShareOfRate(0, 20 * minuteMs, teamIndex, shareOfRate = 0.6)
    return build(20 * minuteMs)
}

/** A VM is replaced every minute. */
private fun TraceBuilder.vmChurn(minuteMs: Long, vmCount: Int): Trace {
    addSteadyTraffic(0, 30 * minuteMs, requestsPerSecond = 3.0)
    for (minute in 1 until 30) addVmRestart(minute * minuteMs, vmIndex = minute % vmCount)
    return build(30 * minuteMs)
}

/** The platform's log is unavailable for the middle third of the scenario. */
private fun TraceBuilder.logOutage(minuteMs: Long): Trace {
    addSteadyTraffic(0, 30 * minuteMs, requestsPerSecond = 1.0)
    addLogOutage(10 * minuteMs, 20 * minuteMs)
    return build(30 * minuteMs)
}
