/*
 * Compares what each team got with its max-min fair share. For each endpoint and class, time is cut into windows. A
 * window starts with the work that waits then and takes the arrivals within it; the tokens dispatched in it are what
 * there is to share. A fluid server gives them to the teams by weight, and no team more than it asks for. Windows in
 * which two teams never waited at the same time do not count.
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

    fun arrived(endpointId: EndpointId, arrival: Arrival, nowMs: Long) {
        windowOf(endpointId, arrival, nowMs).arrived(arrival.team, arrival.usedTokens.toDouble())
    }

    fun left(endpointId: EndpointId, arrival: Arrival, nowMs: Long) {
        windowOf(endpointId, arrival, nowMs).left(arrival.team, arrival.usedTokens.toDouble())
    }

    fun dispatched(endpointId: EndpointId, arrival: Arrival, nowMs: Long) {
        windowOf(endpointId, arrival, nowMs).dispatched(arrival.team, arrival.usedTokens.toDouble())
    }

    /** Returns the served part of each team's fair share; teams that never had to compete have one. */
    fun shares(teams: List<TeamSpec>): Map<TeamId, Double> {
        queues.values.forEach(::close)
        return teams.associate { team ->
            val fair = fairTokens[team.teamId] ?: 0.0
            val served = servedTokens[team.teamId] ?: 0.0
            team.teamId to if (fair < MIN_FAIR_TOKENS) 1.0 else served / fair
        }
    }

    private fun windowOf(endpointId: EndpointId, arrival: Arrival, nowMs: Long): FairShareWindow {
        val window = queues.getOrPut(QueueKey(endpointId, arrival.priorityClass)) { FairShareWindow(nowMs) }
        if (nowMs >= window.startMs + windowMs) {
            close(window)
            window.restart(nowMs)
        }
        return window
    }

    private fun close(window: FairShareWindow) {
        if (!window.isContended) return
        window.servedTokens.forEach { (team, tokens) -> servedTokens.merge(team.teamId, tokens, Double::plus) }
        window.fairTokens.forEach { (team, tokens) -> fairTokens.merge(team.teamId, tokens, Double::plus) }
    }

    private companion object {
        /** Below a few requests the rounding of whole requests decides the ratio. */
        const val MIN_FAIR_TOKENS = 10_000.0
    }
}

/** The queue of one endpoint and class within one window, beside the fluid server. */
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

    fun arrived(team: TeamSpec, tokens: Double) {
        waitingTokens.merge(team, tokens, Double::plus)
        fluidTokens.merge(team, tokens, Double::plus)
    }

    fun left(team: TeamSpec, tokens: Double) {
        waitingTokens.takeFrom(team, tokens)
        fluidTokens.takeFrom(team, tokens)
    }

    fun dispatched(team: TeamSpec, tokens: Double) {
        if (waitingTokens.size > 1) isContended = true
        waitingTokens.takeFrom(team, tokens)
        servedTokens.merge(team, tokens, Double::plus)
        shareOut(tokens)
    }

    /** Gives [tokens] to the teams by weight; what one does not need goes to the others. */
    private fun shareOut(tokens: Double) {
        var rest = tokens
        while (rest > EPSILON_TOKENS && fluidTokens.isNotEmpty()) {
            val perWeight = rest / fluidTokens.keys.sumOf { it.shareWeight }
            val given = fluidTokens.mapValues { (team, wanted) -> minOf(wanted, perWeight * team.shareWeight) }
            given.forEach { (team, part) ->
                fairTokens.merge(team, part, Double::plus)
                fluidTokens.takeFrom(team, part)
            }
            rest -= given.values.sum()
        }
    }

    private fun HashMap<TeamSpec, Double>.takeFrom(team: TeamSpec, tokens: Double) {
        val rest = (this[team] ?: return) - tokens
        if (rest > EPSILON_TOKENS) this[team] = rest else this -= team
    }

    private companion object {
        const val EPSILON_TOKENS = 1e-6
    }
}

/** Returns Jain's index of [shares], each capped at one: 1 when all teams fare alike. */
internal fun jainIndex(shares: Collection<Double>): Double {
    val capped = shares.map { minOf(1.0, it) }
    val sumOfSquares = capped.sumOf { it * it }
    return if (sumOfSquares == 0.0) 1.0 else capped.sum() * capped.sum() / (capped.size * sumOfSquares)
}
