/*
 * Compares what each team got with its fair share, at every dispatch: the dispatched tokens count for the team that got
 * them, and each team that had work of the same class waiting at that endpoint is entitled to its weighted part.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.TeamSpec
import io.daisybend.bench.trace.Arrival
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

internal class FairShareObserver {
    private data class QueueKey(val endpointId: EndpointId, val priorityClass: PriorityClass)

    private val waiting = HashMap<QueueKey, HashMap<TeamSpec, Int>>()
    private val servedTokens = HashMap<TeamId, Double>()
    private val entitledTokens = HashMap<TeamId, Double>()

    fun arrived(endpointId: EndpointId, arrival: Arrival) {
        waitingAt(endpointId, arrival).merge(arrival.team, 1, Int::plus)
    }

    fun left(endpointId: EndpointId, arrival: Arrival) {
        val teams = waitingAt(endpointId, arrival)
        val rest = (teams[arrival.team] ?: 0) - 1
        if (rest > 0) teams[arrival.team] = rest else teams -= arrival.team
    }

    fun dispatched(endpointId: EndpointId, arrival: Arrival) {
        val teams = waitingAt(endpointId, arrival).keys
        if (teams.size > 1) account(teams, arrival)
        left(endpointId, arrival)
    }

    /** Returns the served part of each team's fair share; teams that never had to compete have one. */
    fun shares(teams: List<TeamSpec>): Map<TeamId, Double> =
        teams.associate { team ->
            val entitled = entitledTokens[team.teamId] ?: 0.0
            val served = servedTokens[team.teamId] ?: 0.0
            team.teamId to if (entitled < MIN_ENTITLED_TOKENS) 1.0 else served / entitled
        }

    private fun account(teams: Set<TeamSpec>, arrival: Arrival) {
        val tokens = arrival.usedTokens.toDouble()
        val weights = teams.sumOf { it.shareWeight }
        servedTokens.merge(arrival.team.teamId, tokens, Double::plus)
        teams.forEach { entitledTokens.merge(it.teamId, tokens * it.shareWeight / weights, Double::plus) }
    }

    private fun waitingAt(endpointId: EndpointId, arrival: Arrival): HashMap<TeamSpec, Int> =
        waiting.getOrPut(QueueKey(endpointId, arrival.priorityClass)) { HashMap() }

    private companion object {
        /** Below a few requests the rounding of whole requests decides the ratio. */
        const val MIN_ENTITLED_TOKENS = 10_000.0
    }
}

/** Returns Jain's index of [shares], each capped at one: 1 when all teams fare alike. */
internal fun jainIndex(shares: Collection<Double>): Double {
    val capped = shares.map { minOf(1.0, it) }
    val sumOfSquares = capped.sumOf { it * it }
    return if (sumOfSquares == 0.0) 1.0 else capped.sum() * capped.sum() / (capped.size * sumOfSquares)
}
