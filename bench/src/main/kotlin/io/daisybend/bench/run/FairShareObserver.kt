/*
 * Compares the tokens served to each team with its max-min fair share, in time windows for each endpoint and priority
 * class. A window starts with the requests that are waiting then and adds the arrivals within it. A fluid server model
 * distributes the tokens dispatched in the window by weight, up to the demand of each team. Windows in which two teams
 * never wait at the same time are not counted.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.TeamSpec
import io.daisybend.bench.trace.Arrival
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

internal class FairShareObserver(private val windowMs: Long = 10_000) {
    private data class QueueKey(val endpointId: EndpointId, val priorityClass: PriorityClass)

    private val queues = HashMap<QueueKey, FairShareWindow>()
    private val servedTokens = HashMap<TeamId, Double>()
    private val fairTokens = HashMap<TeamId, Double>()

    fun onArrival(endpointId: EndpointId, arrival: Arrival, nowMs: Long) {
        windowOf(endpointId, arrival, nowMs).onArrival(arrival.team, arrival.usedTokens.toDouble())
    }

    fun onRemoval(endpointId: EndpointId, arrival: Arrival, nowMs: Long) {
        windowOf(endpointId, arrival, nowMs).onRemoval(arrival.team, arrival.usedTokens.toDouble())
    }

    fun onDispatch(endpointId: EndpointId, arrival: Arrival, nowMs: Long) {
        windowOf(endpointId, arrival, nowMs).onDispatch(arrival.team, arrival.usedTokens.toDouble())
    }

    /**
     * Returns the ratio of served to fair tokens for each team. The ratio is 1.0 for teams that do not compete, and for
     * teams with fewer than [MIN_FAIR_TOKENS] fair tokens.
     */
    fun servedShares(teams: List<TeamSpec>): Map<TeamId, Double> {
        queues.values.forEach(::accumulate)
        return teams.associate { team ->
            val fair = fairTokens[team.teamId] ?: 0.0
            val served = servedTokens[team.teamId] ?: 0.0
            team.teamId to if (fair < MIN_FAIR_TOKENS) 1.0 else served / fair
        }
    }

    private fun windowOf(endpointId: EndpointId, arrival: Arrival, nowMs: Long): FairShareWindow {
        val window = queues.getOrPut(QueueKey(endpointId, arrival.priorityClass)) { FairShareWindow(nowMs) }
        if (nowMs >= window.startMs + windowMs) {
            accumulate(window)
            window.restart(nowMs)
        }
        return window
    }

    private fun accumulate(window: FairShareWindow) {
        if (!window.isContended) return
        window.servedTokens.forEach { (team, tokens) -> servedTokens.merge(team.teamId, tokens, Double::plus) }
        window.fairTokens.forEach { (team, tokens) -> fairTokens.merge(team.teamId, tokens, Double::plus) }
    }

    private companion object {
        /** With fewer tokens, which are a few requests, rounding to whole requests dominates the ratio. */
        const val MIN_FAIR_TOKENS = 10_000.0
    }
}

/** Actual and fluid-model tokens of one endpoint and priority class within one window. */
internal class FairShareWindow(startMs: Long) {
    private val waitingTokens = HashMap<TeamSpec, Double>()
    private val fluidTokens = HashMap<TeamSpec, Double>()
    val servedTokens = HashMap<TeamSpec, Double>()
    val fairTokens = HashMap<TeamSpec, Double>()

    var startMs: Long = startMs
        private set
    var isContended = false
        private set

    fun restart(nowMs: Long) {
        startMs = nowMs
        isContended = false
        servedTokens.clear()
        fairTokens.clear()
        fluidTokens.clear()
        fluidTokens.putAll(waitingTokens)
    }

    fun onArrival(team: TeamSpec, tokens: Double) {
        waitingTokens.merge(team, tokens, Double::plus)
        fluidTokens.merge(team, tokens, Double::plus)
    }

    fun onRemoval(team: TeamSpec, tokens: Double) {
        waitingTokens.subtract(team, tokens)
        fluidTokens.subtract(team, tokens)
    }

    fun onDispatch(team: TeamSpec, tokens: Double) {
        if (waitingTokens.size > 1) isContended = true
        waitingTokens.subtract(team, tokens)
        servedTokens.merge(team, tokens, Double::plus)
        distribute(tokens)
    }

    /** Distributes [tokens] to the teams by weight; tokens that exceed the demand of a team go to the others. */
    private fun distribute(tokens: Double) {
        var remaining = tokens
        while (remaining > EPSILON_TOKENS && fluidTokens.isNotEmpty()) {
            val perWeight = remaining / fluidTokens.keys.sumOf { it.shareWeight }
            val grants = fluidTokens.mapValues { (team, demanded) -> minOf(demanded, perWeight * team.shareWeight) }
            grants.forEach { (team, granted) ->
                fairTokens.merge(team, granted, Double::plus)
                fluidTokens.subtract(team, granted)
            }
            remaining -= grants.values.sum()
        }
    }

    private fun HashMap<TeamSpec, Double>.subtract(team: TeamSpec, tokens: Double) {
        val remaining = (this[team] ?: return) - tokens
        if (remaining > EPSILON_TOKENS) this[team] = remaining else this -= team
    }

    private companion object {
        const val EPSILON_TOKENS = 1e-6
    }
}

/** Returns Jain's fairness index of [shares], each capped at 1; the index is 1 if all shares are equal. */
internal fun jainIndex(shares: Collection<Double>): Double {
    val capped = shares.map { minOf(1.0, it) }
    val sumOfSquares = capped.sumOf { it * it }
    return if (sumOfSquares == 0.0) 1.0 else capped.sum() * capped.sum() / (capped.size * sumOfSquares)
}
