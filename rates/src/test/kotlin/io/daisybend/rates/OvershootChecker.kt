/*
 * Checks the tokens admitted over all gateways against a team's rate and burst, exactly and for every interval that
 * ends at an admission. A request counts with its reservation until it is settled and with its use afterwards. Around a
 * change of the limits, both the old and the new ones are allowed until the change must be in force everywhere.
 */
package io.daisybend.rates

import io.daisybend.kernel.RequestId

/** The limits in force from [fromMs]. */
internal data class LimitsPeriod(val fromMs: Long, val limits: TeamLimits)

internal data class Overshoot(val fromMs: Long, val toMs: Long, val admittedTokens: Long, val allowedMilliTokens: Long)

internal class OvershootChecker(private val periods: List<LimitsPeriod>, private val inForceAfterMs: Long) {
    private class Admission(val atMs: Long, var tokens: Long)

    private val admissions = ArrayList<Admission>()
    private val byRequest = HashMap<RequestId, Admission>()

    var overshoot: Overshoot? = null
        private set

    var admittedTokens = 0L
        private set

    /** How close the admissions came to what is allowed. */
    var smallestSlackMilliTokens = Long.MAX_VALUE
        private set

    fun admit(requestId: RequestId, tokens: Long, atMs: Long) {
        val admission = Admission(atMs, tokens)
        check(byRequest.put(requestId, admission) == null) { "$requestId was admitted twice" }
        admissions += admission
        admittedTokens += tokens
        checkIntervalsEndingAt(atMs)
    }

    fun settle(requestId: RequestId, usedTokens: Long) {
        byRequest[requestId]?.let { it.tokens = minOf(it.tokens, usedTokens) }
    }

    private fun checkIntervalsEndingAt(toMs: Long) {
        var sum = 0L
        var allowedRefill = 0L
        var burst = 0L
        var reachedMs = toMs
        for (admission in admissions.asReversed()) {
            allowedRefill += refillBetween(admission.atMs, reachedMs)
            burst = maxOf(burst, largestBetween(admission.atMs, reachedMs) { it.burstTokens })
            reachedMs = admission.atMs
            sum += admission.tokens
            val allowed = burst * MILLI + allowedRefill
            smallestSlackMilliTokens = minOf(smallestSlackMilliTokens, allowed - sum * MILLI)
            if (sum * MILLI > allowed && overshoot == null) overshoot = Overshoot(admission.atMs, toMs, sum, allowed)
        }
    }

    /** In thousandths of a token. */
    private fun refillBetween(fromMs: Long, toMs: Long): Long {
        if (periods.size == 1) return (toMs - fromMs) * periods[0].limits.rateTokensPerSecond
        return (fromMs until toMs).sumOf { atMs -> largestBetween(atMs, atMs) { it.rateTokensPerSecond } }
    }

    private fun largestBetween(fromMs: Long, toMs: Long, amount: (TeamLimits) -> Long): Long = periods.indices
        .filter { periods[it].fromMs <= toMs && endMs(it) >= fromMs }
        .maxOf { amount(periods[it].limits) }

    private fun endMs(index: Int) = periods.getOrNull(index + 1)?.let { it.fromMs + inForceAfterMs } ?: Long.MAX_VALUE

    private companion object {
        const val MILLI = 1_000L
    }
}
