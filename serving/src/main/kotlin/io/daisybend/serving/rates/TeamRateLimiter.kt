/*
 * The rates of all teams at one VM: admission, use by peers and what a VM reports to them.
 */
package io.daisybend.serving.rates

import io.daisybend.serving.site.Team

/** What a VM reports of a team: all that it admitted since its start, and its view of the bucket. */
public data class TeamUsage(val admitted: Double, val level: Double)

/** What admission by rate says. */
public sealed interface RateDecision {
    /** The request is within the team's rate; [cost] is given back if it does not run. */
    public data class Admitted(val cost: Double) : RateDecision

    /** The team is over its rate; something is left again after [retryAfterMs]. */
    public data class OverRate(val retryAfterMs: Long) : RateDecision
}

/**
 * The rates of all teams, under one lock. [requestEarlyReport] is called when so much was admitted since the last
 * report that peers must hear of it before the next regular one.
 */
public class TeamRateLimiter(private val requestEarlyReport: () -> Unit = {}) {
    private val lock = Any()
    private val rates = HashMap<String, SharedTokenBucket>()
    private val teams = HashMap<String, Team>()
    private val seenUse = HashMap<String, HashMap<String, Double>>()
    private var silentShare = 0.0
    private var adopted = false
    private val reportedUse = HashMap<String, Double>()
    private var vmCount = 1

    /** Applies the teams of a new configuration. */
    public fun configure(configured: List<Team>, nowMs: Long): Unit = synchronized(lock) {
        teams.clear()
        configured.forEach { team ->
            teams[team.name] = team
            rates[team.name]?.change(team.ratePerSecond, team.burst, nowMs)
                ?: rates.put(team.name, SharedTokenBucket(team.ratePerSecond, team.burst, nowMs))
        }
        rates.keys.retainAll(teams.keys)
    }

    /** Says whether [team] may send a request with [tokens], or one without a number of tokens when null. */
    public fun admit(team: Team, tokens: Long?, nowMs: Long): RateDecision = synchronized(lock) {
        val cost = if (team.countsTokens) (tokens ?: team.plainTokens).toDouble() else 1.0
        val rate = rates[team.name]
        if (team.ratePerSecond <= 0.0 || rate == null) return RateDecision.Admitted(0.0)
        rate.refill(nowMs, silentShare)
        if (!rate.admit(cost)) return RateDecision.OverRate(rate.waitMs())
        val unreported = rate.ownUse - (reportedUse[team.name] ?: 0.0)
        if (unreported > team.burst / (UNREPORTED_PART * vmCount)) requestEarlyReport()
        RateDecision.Admitted(cost)
    }

    /** Gives back [cost] of a request of [team] that did not run. */
    public fun refund(team: String, cost: Double): Unit = synchronized(lock) { rates[team]?.refund(cost) }

    /** Takes in the [uses] that [peer], in its start [peerStart], reports. */
    public fun onPeerUsage(
        peer: String,
        peerStart: Long,
        uses: Map<String, TeamUsage>,
        peerIsOlder: Boolean,
        nowMs: Long,
    ): Unit =
        synchronized(lock) {
            val known = seenUse.getOrPut("$peer/$peerStart") { HashMap() }
            val firstReport = known.isEmpty()
            uses.forEach { (team, use) ->
                val rate = rates[team] ?: return@forEach
                rate.refill(nowMs, silentShare)
                val delta = use.admitted - (known[team] ?: if (firstReport) use.admitted else 0.0)
                known[team] = use.admitted
                rate.usedElsewhere(delta)
                if (peerIsOlder && !adopted) rate.adopt(use.level)
            }
            if (peerIsOlder && uses.isNotEmpty()) adopted = true
        }

    /** Sets how many VMs there are and the share of each rate that those out of touch are counted to use. */
    public fun setFleet(vmCount: Int, silentShare: Double, nowMs: Long): Unit = synchronized(lock) {
        rates.values.forEach { it.refill(nowMs, this.silentShare) }
        this.vmCount = vmCount.coerceAtLeast(1)
        this.silentShare = silentShare
    }

    /** Returns what this VM reports to its peers; it counts as told from then on. */
    public fun report(): Map<String, TeamUsage> = synchronized(lock) {
        rates.forEach { (team, rate) -> reportedUse[team] = rate.ownUse }
        rates.mapValues { (_, rate) -> TeamUsage(rate.ownUse, rate.level) }
    }

    private companion object {
        /** A VM reports at once what is more than this part of its share of the burst. */
        const val UNREPORTED_PART = 4
    }
}
