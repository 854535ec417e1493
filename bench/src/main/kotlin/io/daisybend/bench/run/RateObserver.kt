/*
 * Checks rate decisions against exact token buckets. One bucket for each team sees every admission of all VMs at its
 * true time: an admission beyond it is overshoot. A second one decides about the same requests on its own, without
 * any VMs or delays: refusals beyond its number are wrongful. Unused tokens return when a request would have ended.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.TeamSpec
import io.daisybend.bench.trace.Arrival
import io.daisybend.kernel.TeamId
import java.util.PriorityQueue

internal class RateObserver(teams: List<TeamSpec>) {
    private class TeamRates(team: TeamSpec) {
        val admissions = ExactBucket(team)
        val ideal = ExactBucket(team)
        val idealReturns = PriorityQueue<Return>(compareBy { it.atMs })
        var refusals = 0
        var idealRefusals = 0
    }

    private class Return(val atMs: Long, val tokens: Long)

    private val teams = teams.associate { it.teamId to TeamRates(it) }

    var overshootTokens = 0.0
        private set

    val refusals: Int get() = teams.values.sumOf { it.refusals }

    /** Refusals beyond those of the exact limiter, team by team. */
    val wrongfulRefusals: Int get() = teams.values.sumOf { maxOf(0, it.refusals - it.idealRefusals) }

    /** Lets the exact limiter decide about [arrival]. */
    fun offered(arrival: Arrival, nowMs: Long) {
        val team = teams.getValue(arrival.team.teamId)
        while (team.idealReturns.isNotEmpty() && team.idealReturns.peek().atMs <= nowMs) {
            team.ideal.put(team.idealReturns.poll().tokens, nowMs)
        }
        if (team.ideal.tokensAt(nowMs) < arrival.reservedTokens) {
            team.idealRefusals++
            return
        }
        team.ideal.take(arrival.reservedTokens, nowMs)
        team.idealReturns += Return(nowMs + TYPICAL_SERVICE_MS, arrival.reservedTokens - arrival.usedTokens)
    }

    fun admitted(teamId: TeamId, tokens: Long, nowMs: Long) {
        overshootTokens += teams.getValue(teamId).admissions.take(tokens, nowMs)
    }

    fun refused(teamId: TeamId) {
        teams.getValue(teamId).refusals++
    }

    fun returned(teamId: TeamId, tokens: Long, nowMs: Long): Unit =
        teams.getValue(teamId).admissions.put(tokens, nowMs)

    private companion object {
        const val TYPICAL_SERVICE_MS = 7_000L
    }
}

/** A team's rate and burst as one bucket that starts full. */
internal class ExactBucket(private val team: TeamSpec) {
    private var tokens = team.burstTokens.toDouble()
    private var filledAtMs = 0L

    fun tokensAt(nowMs: Long): Double {
        val added = (nowMs - filledAtMs) * team.rateTokensPerSecond / 1_000.0
        tokens = minOf(team.burstTokens.toDouble(), tokens + added)
        filledAtMs = nowMs
        return tokens
    }

    /** Takes [wanted] tokens and returns how many of them were not there. */
    fun take(wanted: Long, nowMs: Long): Double {
        val missing = maxOf(0.0, wanted - tokensAt(nowMs))
        tokens = maxOf(0.0, tokens - wanted)
        return missing
    }

    fun put(returned: Long, nowMs: Long) {
        tokens = minOf(team.burstTokens.toDouble(), tokensAt(nowMs) + returned)
    }
}
