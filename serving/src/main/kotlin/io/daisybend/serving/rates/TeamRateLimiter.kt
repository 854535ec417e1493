/*
 * The rate limits of all teams on one VM: admits requests, deducts the use by peers and reports its own use to them.
 */
package io.daisybend.serving.rates

import io.daisybend.serving.site.Team

/** The use of a team on one VM: the cost [admitted] since its start less refunds, and the [level] of its bucket. */
public data class TeamUsage(val admitted: Double, val level: Double)

/** The contact of a VM with its peers. */
public data class FleetContact(
    /** Number of VMs, including this one. */
    val vmCount: Int = 1,
    /** Share of the VMs that are out of contact, for which a share of each rate is reserved. */
    val unreachableShare: Double = 0.0,
    /** Share of the VMs that are out of contact after they were in contact. */
    val lostShare: Double = 0.0,
    /** Time after which a silent peer counts as out of contact, in milliseconds. */
    val detectionMs: Long = 0,
)

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
    private var contact = FleetContact()
    private val teamsWithAdoptedLevel = HashSet<String>()
    private val reportedByTeam = HashMap<String, ReportedUse>()

    /** Applies the teams of a new configuration. */
    public fun configure(configured: List<Team>, nowMs: Long): Unit = synchronized(lock) {
        teams.clear()
        configured.forEach { team ->
            teams[team.name] = team
            buckets[team.name]?.updateLimit(team.ratePerSecond, team.burst, nowMs)
                ?: buckets.put(team.name, SharedTokenBucket(team.ratePerSecond, team.burst, nowMs))
        }
        buckets.keys.retainAll(teams.keys)
        usesByPeer.values.forEach { it.keys.retainAll(teams.keys) }
    }

    /** Decides whether [team] may send a request with [tokens]; null when the request states no number of tokens. */
    public fun admit(team: Team, tokens: Long?, nowMs: Long): RateDecision = synchronized(lock) {
        val cost = if (team.countsTokens) (tokens ?: team.plainTokens).toDouble() else 1.0
        val bucket = buckets[team.name]
        if (team.ratePerSecond <= 0.0 || bucket == null) return RateDecision.Admitted(0.0)
        bucket.refill(nowMs, contact.unreachableShare)
        if (!bucket.admit(cost)) return RateDecision.OverRate(bucket.retryAfterMs())
        if (mustReportEarly(team, bucket)) requestEarlyReport()
        RateDecision.Admitted(cost)
    }

    private fun mustReportEarly(team: Team, bucket: SharedTokenBucket): Boolean {
        val unreported = bucket.netAdmitted - (reportedByTeam[team.name]?.admitted ?: 0.0)
        // With all peers in contact and much of the burst left, the use until the next reports can't exhaust it.
        val isNearLimit = contact.unreachableShare > 0.0 || bucket.level < team.burst * EARLY_REPORT_LEVEL_SHARE
        return isNearLimit && unreported > team.burst / (UNREPORTED_BURST_PARTS * contact.vmCount)
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
            uses.forEach { (team, use) ->
                val bucket = buckets[team] ?: return@forEach
                bucket.refill(nowMs, contact.unreachableShare)
                // The first report of a team contains uses from before this VM heard of the peer.
                val delta = known.put(team, use.admitted)?.let { use.admitted - it } ?: 0.0
                bucket.deductPeerUse(delta)
                if (isPeerOlder && teamsWithAdoptedLevel.add(team)) bucket.adoptLevel(use.level)
            }
        }

    /** Applies the [contact] of this VM with its peers from [nowMs] on. */
    public fun setContact(contact: FleetContact, nowMs: Long): Unit = synchronized(lock) {
        val newlyLostShare = (contact.lostShare - this.contact.lostShare).coerceAtLeast(0.0)
        buckets.values.forEach {
            it.refill(nowMs, this.contact.unreachableShare)
            it.withdrawRefill(newlyLostShare, contact.detectionMs)
        }
        this.contact = contact
    }

    /** Returns the use of all teams on this VM, for a peer that may know none of it. */
    public fun usage(): Map<String, TeamUsage> = synchronized(lock) { buckets.mapValues { it.value.toUsage() } }

    /**
     * Returns the use of the teams on this VM that changed since the last reports, for all peers, and marks it as
     * reported. Each change is returned in several successive reports, since some may be lost.
     */
    public fun reportChanges(): Map<String, TeamUsage> = synchronized(lock) {
        reportedByTeam.keys.retainAll(buckets.keys)
        val changed = buckets.filter { (team, bucket) ->
            val reported = reportedByTeam.getOrPut(team) { ReportedUse(bucket.netAdmitted) }
            if (reported.admitted != bucket.netAdmitted) {
                reported.admitted = bucket.netAdmitted
                reported.reportsLeft = REPORTS_OF_A_CHANGE
            }
            (reported.reportsLeft > 0).also { isDue -> if (isDue) reported.reportsLeft-- }
        }
        changed.mapValues { it.value.toUsage() }
    }

    private fun SharedTokenBucket.toUsage() = TeamUsage(netAdmitted, level)

    private class ReportedUse(var admitted: Double) {
        var reportsLeft = REPORTS_OF_A_CHANGE
    }

    private companion object {
        /** Unreported use above one part in this many of the VM's share of the burst is reported at once. */
        const val UNREPORTED_BURST_PARTS = 4

        /** Share of the burst below which use is reported at once. */
        const val EARLY_REPORT_LEVEL_SHARE = 0.75

        /** Number of successive reports that contain a change. */
        const val REPORTS_OF_A_CHANGE = 3
    }
}
