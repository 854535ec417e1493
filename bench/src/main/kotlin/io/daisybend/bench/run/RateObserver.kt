/*
 * Checks rate decisions against one exact token bucket for each team, which sees every admission of all VMs at its
 * true time. An admission beyond it is overshoot; a refusal although it held enough is wrongful.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.TeamSpec
import io.daisybend.kernel.TeamId

internal class RateObserver(teams: List<TeamSpec>) {
    private class Bucket(val team: TeamSpec, var tokens: Double, var filledAtMs: Long = 0)

    private val buckets = teams.associate { it.teamId to Bucket(it, it.burstTokens.toDouble()) }

    var overshootTokens = 0.0
        private set

    fun admitted(teamId: TeamId, tokens: Long, nowMs: Long) {
        val bucket = filled(teamId, nowMs)
        bucket.tokens -= tokens
        if (bucket.tokens < 0) {
            overshootTokens -= bucket.tokens
            bucket.tokens = 0.0
        }
    }

    fun returned(teamId: TeamId, tokens: Long, nowMs: Long) {
        val bucket = filled(teamId, nowMs)
        bucket.tokens = minOf(bucket.team.burstTokens.toDouble(), bucket.tokens + tokens)
    }

    fun isWithinRate(teamId: TeamId, tokens: Long, nowMs: Long): Boolean = filled(teamId, nowMs).tokens >= tokens

    private fun filled(teamId: TeamId, nowMs: Long): Bucket {
        val bucket = buckets.getValue(teamId)
        val added = (nowMs - bucket.filledAtMs) * bucket.team.rateTokensPerSecond / 1_000.0
        bucket.tokens = minOf(bucket.team.burstTokens.toDouble(), bucket.tokens + added)
        bucket.filledAtMs = nowMs
        return bucket
    }
}
