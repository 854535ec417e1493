/*
 * The rate limits of all teams on one VM: admits requests, deducts the use by peers and reports its own use to them.
 */
package io.daisybend.serving.rates

import io.daisybend.serving.site.Team

/** The use of a team on one VM: the cost [admitted] since its start less refunds, and the [level] of its bucket. */
public data class TeamUsage(val admitted: Double, val level: Double)

/** The decision of the rate limiter on a request. */
public sealed interface RateDecision {
    /** The request is within the team's rate; the caller refunds [cost] if the request does not run. */
    public data class Admitted(val cost: Double) : RateDecision

    /** The team is over its rate; it may send again after [retryAfterMs] milliseconds. */
    public data class OverRate(val retryAfterMs: Long) : RateDecision
}

/**
 * The rate limits of all teams; thread-safe. Calls [requestEarlyReport] when the use admitted since the last report is
 * too large to wait for the next regular report.
 */
public class TeamRateLimiter(private val requestEarlyReport: () -> Unit = {}) {
    private val lock = Any()
    private val buckets = HashMap<String, SharedTokenBucket>()
    private val teams = HashMap<String, Team>()
    private val usesByPeer = HashMap<String, HashMap<String, Double>>()
    private var unreachableShare = 0.0
    private var hasAdoptedLevels = false
    private val reportedByTeam = HashMap<String, Double>()
    private var vmCount = 1

    /** Applies the teams of a new configuration. */
    public fun configure(configured: List<Team>, nowMs: Long): Unit = synchronized(lock) {
        teams.clear()
        configured.forEach { team ->
            teams[team.name] = team
            buckets[team.name]?.updateLimit(team.ratePerSecond, team.burst, nowMs)
                ?: buckets.put(team.name, SharedTokenBucket(team.ratePerSecond, team.burst, nowMs))
        }
        buckets.keys.retainAll(teams.keys)
    }

    /** Decides whether [team] may send a request with [tokens]; null when the request states no number of tokens. */
    public fun admit(team: Team, tokens: Long?, nowMs: Long): RateDecision = synchronized(lock) {
        val cost = if (team.countsTokens) (tokens ?: team.plainTokens).toDouble() else 1.0
        val bucket = buckets[team.name]
        if (team.ratePerSecond <= 0.0 || bucket == null) return RateDecision.Admitted(0.0)
        bucket.refill(nowMs, unreachableShare)
        if (!bucket.admit(cost)) return RateDecision.OverRate(bucket.retryAfterMs())
        val unreported = bucket.netAdmitted - (reportedByTeam[team.name] ?: 0.0)
        if (unreported > team.burst / (UNREPORTED_BURST_PARTS * vmCount)) requestEarlyReport()
        RateDecision.Admitted(cost)
    }

    /** Refunds the [cost] of a request of [team] that did not run. */
    public fun refund(team: String, cost: Double): Unit = synchronized(lock) { buckets[team]?.refund(cost) }

    /** Applies the [uses] that [peer], started at [peerStartedAtMs], reports. */
    public fun onPeerUsage(
        peer: String,
        peerStartedAtMs: Long,
        uses: Map<String, TeamUsage>,
        isPeerOlder: Boolean,
        nowMs: Long,
    ): Unit =
        synchronized(lock) {
            val known = usesByPeer.getOrPut("$peer/$peerStartedAtMs") { HashMap() }
            val isFirstReport = known.isEmpty()
            uses.forEach { (team, use) ->
                val bucket = buckets[team] ?: return@forEach
                bucket.refill(nowMs, unreachableShare)
                val delta = use.admitted - (known[team] ?: if (isFirstReport) use.admitted else 0.0)
                known[team] = use.admitted
                bucket.deductPeerUse(delta)
                if (isPeerOlder && !hasAdoptedLevels) bucket.adoptLevel(use.level)
            }
            if (isPeerOlder && uses.isNotEmpty()) hasAdoptedLevels = true
        }

    /** Sets the number of VMs and the share of each rate reserved for VMs that are out of contact. */
    public fun setFleet(vmCount: Int, unreachableShare: Double, nowMs: Long): Unit = synchronized(lock) {
        buckets.values.forEach { it.refill(nowMs, this.unreachableShare) }
        this.vmCount = vmCount.coerceAtLeast(1)
        this.unreachableShare = unreachableShare
    }

    /** Returns the use of all teams on this VM for the peers, and marks it as reported. */
    public fun report(): Map<String, TeamUsage> = synchronized(lock) {
        buckets.forEach { (team, bucket) -> reportedByTeam[team] = bucket.netAdmitted }
        buckets.mapValues { (_, bucket) -> TeamUsage(bucket.netAdmitted, bucket.level) }
    }

    private companion object {
        /** Unreported use above one part in this many of the VM's share of the burst is reported at once. */
        const val UNREPORTED_BURST_PARTS = 4
    }
}
