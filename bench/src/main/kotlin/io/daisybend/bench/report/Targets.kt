/*
 * Targets that the results of a comparison are checked against.
 */
package io.daisybend.bench.report

import io.daisybend.bench.run.RunResult
import io.daisybend.bench.trace.Scenario
import kotlinx.serialization.Serializable

/** One target of one scenario with the required and the measured value. */
@Serializable
internal data class TargetOutcome(val target: String, val wanted: String, val got: String, val isMet: Boolean)

internal fun targetOutcomes(scenario: Scenario, own: RunResult, naive: RunResult): List<TargetOutcome> =
    listOfNotNull(
        TargetOutcome("overshoot", "0 tokens", "%.0f tokens".format(own.overshootTokens), own.overshootTokens == 0.0),
        wrongfulRefusalsTarget(own).takeIf { scenario.isHealthy },
        TargetOutcome("worst team's share", ">= 0.90", "%.3f".format(own.worstShare), own.worstShare >= 0.9),
        coldStartTarget(scenario, own, naive),
        idleHoursTarget(own, naive),
    )

private fun wrongfulRefusalsTarget(own: RunResult): TargetOutcome {
    val percent = own.counts.wrongfulRefusals * 100.0 / own.counts.requests
    return TargetOutcome("wrongful refusals", "< 0.1%", "%.3f%%".format(percent), percent < 0.1)
}

private fun coldStartTarget(scenario: Scenario, own: RunResult, naive: RunResult): TargetOutcome {
    val naiveMs = naive.coldStartMs.getValueAtPercentile(99.0)
    val boundMs = if (scenario == Scenario.FIRST_BURST) naiveMs / 2 else naiveMs
    val ownMs = own.coldStartMs.getValueAtPercentile(99.0)
    return TargetOutcome("p99 cold start", "<= $boundMs ms", "$ownMs ms", ownMs <= boundMs)
}

private fun idleHoursTarget(own: RunResult, naive: RunResult): TargetOutcome {
    val bound = naive.idleHours / 2
    val isMet = own.idleHours <= bound
    return TargetOutcome("idle hours", "<= %.2f".format(bound), "%.2f".format(own.idleHours), isMet)
}
