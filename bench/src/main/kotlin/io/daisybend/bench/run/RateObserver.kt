/*
 * Checks rate decisions against exact token buckets. One bucket per team counts the admissions of all VMs at their
 * exact times; admitted tokens that exceed it are overshoot. A reference bucket decides about the same requests without
 * VMs or delays; refusals beyond the number of its refusals are wrongful. The reference bucket gets unused tokens back
 * after a typical service time.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.TeamSpec
import io.daisybend.bench.trace.Arrival
import io.daisybend.kernel.TeamId
import java.util.PriorityQueue

internal class RateObserver(teams: List<TeamSpec>) {
    private class TeamRates(team: TeamSpec) {
        val admissions = TokenBucket(team)
        val reference = TokenBucket(team)
        val referenceRefunds = PriorityQueue<Refund>(compareBy { it.atMs })
        var refusals = 0
        var referenceRefusals = 0
    }

    private class Refund(val atMs: Long, val tokens: Long)

    private val teams = teams.associate { it.teamId to TeamRates(it) }

    var overshootTokens = 0.0
        private set

    val refusals: Int get() = teams.values.sumOf { it.refusals }

    /** Number of refusals beyond those of the reference bucket, summed over the teams. */
    val wrongfulRefusals: Int get() = teams.values.sumOf { maxOf(0, it.refusals - it.referenceRefusals) }

    /** Applies [arrival] to the reference bucket of its team. */
    fun onOffered(arrival: Arrival, nowMs: Long) {
        val team = teams.getValue(arrival.team.teamId)
        while (team.referenceRefunds.isNotEmpty() && team.referenceRefunds.peek().atMs <= nowMs) {
            team.reference.refund(team.referenceRefunds.poll().tokens, nowMs)
        }
        if (team.reference.tokensAt(nowMs) < arrival.reservedTokens) {
            team.referenceRefusals++
            return
        }
        team.reference.take(arrival.reservedTokens, nowMs)
        team.referenceRefunds += Refund(nowMs + TYPICAL_SERVICE_MS, arrival.reservedTokens - arrival.usedTokens)
    }

    fun onAdmitted(teamId: TeamId, tokens: Long, nowMs: Long) {
        overshootTokens += teams.getValue(teamId).admissions.take(tokens, nowMs)
    }

    fun onRefused(teamId: TeamId) {
        teams.getValue(teamId).refusals++
    }

    fun onRefunded(teamId: TeamId, tokens: Long, nowMs: Long): Unit =
        teams.getValue(teamId).admissions.refund(tokens, nowMs)

    private companion object {
        const val TYPICAL_SERVICE_MS = 7_000L
    }
}

/** Token bucket with the rate and burst of one team; it starts full. */
internal class TokenBucket(private val team: TeamSpec) {
    private var tokens = team.burstTokens.toDouble()
    private var refilledAtMs = 0L

    fun tokensAt(nowMs: Long): Double {
        val added = (nowMs - refilledAtMs) * team.rateTokensPerSecond / 1_000.0
        tokens = minOf(team.burstTokens.toDouble(), tokens + added)
        refilledAtMs = nowMs
        return tokens
    }

    /** Takes [requested] tokens and returns by how many they exceed the tokens in the bucket. */
    fun take(requested: Long, nowMs: Long): Double {
        val shortfall = maxOf(0.0, requested - tokensAt(nowMs))
        tokens = maxOf(0.0, tokens - requested)
        return shortfall
    }

    fun refund(refunded: Long, nowMs: Long) {
        tokens = minOf(team.burstTokens.toDouble(), tokensAt(nowMs) + refunded)
    }
}
