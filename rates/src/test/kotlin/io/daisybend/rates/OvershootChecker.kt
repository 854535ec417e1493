/*
 * Checks the tokens admitted on all VMs against the rate and burst of a team, exactly and for every interval that ends
 * at an admission. A request counts with its reservation until it is settled and with its use afterwards. After a
 * change of the limits, both the old and the new ones are allowed until the change has to be in force everywhere.
 */
package io.daisybend.rates

import io.daisybend.kernel.RequestId

/** Limits that are in force from [fromMs] until the next period. */
internal data class LimitsPeriod(val fromMs: Long, val limits: TeamLimits)

internal data class Overshoot(val fromMs: Long, val toMs: Long, val admittedTokens: Long, val allowedMilliTokens: Long)

internal class OvershootChecker(private val periods: List<LimitsPeriod>, private val propagationMs: Long) {
    private class Admission(val atMs: Long, var tokens: Long)

    private val admissions = ArrayList<Admission>()
    private val totalRefillByMs = arrayListOf(0L)
    private val byRequest = HashMap<RequestId, Admission>()

    var overshoot: Overshoot? = null
        private set

    var admittedTokens = 0L
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
        var laterMs = toMs
        for (index in admissions.indices.reversed()) {
            val admission = admissions[index]
            allowedRefill += refillBetween(admission.atMs, laterMs)
            burst = maxOf(burst, largestBurstBetween(admission.atMs, laterMs))
            laterMs = admission.atMs
            sum += admission.tokens
            val allowed = burst * MILLI + allowedRefill
            if (sum * MILLI > allowed && overshoot == null) overshoot = Overshoot(admission.atMs, toMs, sum, allowed)
        }
    }

    /** Returns the largest allowed refill of the interval in thousandths of a token. */
    private fun refillBetween(fromMs: Long, toMs: Long): Long =
        if (periods.size ==
            1
        ) {
            (toMs - fromMs) * periods[0].limits.rateTokensPerSecond
        } else {
            refilledAt(toMs) - refilledAt(fromMs)
        }

    private fun refilledAt(atMs: Long): Long {
        while (totalRefillByMs.size <= atMs) {
            val lastMs = totalRefillByMs.size - 1L
            val ratesInForce = periods.indices.filter { isInForce(it, lastMs, lastMs) }
            totalRefillByMs += totalRefillByMs.last() + ratesInForce.maxOf { periods[it].limits.rateTokensPerSecond }
        }
        return totalRefillByMs[atMs.toInt()]
    }

    private fun largestBurstBetween(fromMs: Long, toMs: Long): Long {
        var largest = 0L
        for (index in periods.indices) {
            if (isInForce(index, fromMs, toMs)) largest = maxOf(largest, periods[index].limits.burstTokens)
        }
        return largest
    }

    private fun isInForce(index: Int, fromMs: Long, toMs: Long): Boolean {
        val endMs = if (index == periods.lastIndex) Long.MAX_VALUE else periods[index + 1].fromMs + propagationMs
        return periods[index].fromMs <= toMs && endMs >= fromMs
    }

    private companion object {
        const val MILLI = 1_000L
    }
}
