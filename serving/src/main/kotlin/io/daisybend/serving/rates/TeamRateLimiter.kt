/*
 * The rate limits of all teams on one VM: admits requests, deducts the use by peers and reports its own use to them.
 */
package io.daisybend.serving.rates

import io.daisybend.serving.site.Team
import kotlin.random.Random

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
    /** Names of the VMs that are out of contact; those that stop are not. */
    val unreachableVms: Set<String> = emptySet(),
    /** Those of [unreachableVms] that were in contact before. */
    val lostVms: Set<String> = emptySet(),
)

/** What a VM knows of the bucket of a team: its level in tokens and the shares of [FleetContact]. */
public data class TeamRateState(val level: Double, val unreachableShare: Double, val lostShare: Double)

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
public class TeamRateLimiter(
    private val random: Random = Random.Default,
    private val requestEarlyReport: () -> Unit = {},
) {
    private val lock = Any()
    private val teams = HashMap<String, Team>()
    private val neededLevels = HashMap<String, Double>()
    private val buckets = SharedBuckets<String>(countsFirstUse = false, reconciles = true)

    /** Applies the teams of a new configuration. */
    public fun configure(configured: List<Team>, nowMs: Long): Unit = synchronized(lock) {
        teams.clear()
        configured.forEach { team ->
            teams[team.name] = team
            buckets.setLimit(team.name, team.ratePerSecond, team.burst, nowMs)
        }
        buckets.retain(teams.keys)
        neededLevels.keys.retainAll(teams.keys)
    }

    /** Decides whether [team] may send a request with [tokens]; null when the request states no number of tokens. */
    public fun admit(team: Team, tokens: Long?, nowMs: Long): RateDecision = synchronized(lock) {
        val cost = if (team.countsTokens) (tokens ?: team.plainTokens).toDouble() else 1.0
        val bucket = buckets.find(team.name, nowMs)
        if (team.ratePerSecond <= 0.0 || bucket == null) return RateDecision.Admitted(0.0)
        val neededLevel = neededLevels.getOrDefault(team.name, 0.0) * (1.0 - buckets.contact.unreachableShare)
        if (!bucket.admit(cost, neededLevel)) {
            val waitMs = bucket.retryAfterMs(buckets.contact.unreachableShare, neededLevel)
            return RateDecision.OverRate(withJitter(waitMs.coerceAtMost(MAX_RETRY_AFTER_MS)))
        }
        neededLevels[team.name] = drawNeededLevel(team)
        if (mustReportEarly(team, bucket)) requestEarlyReport()
        RateDecision.Admitted(cost)
    }

    /**
     * Draws the level that the next request needs. In a large fleet all VMs would otherwise admit at once when the
     * bucket has tokens again, and learn of each other's use only afterwards.
     */
    private fun drawNeededLevel(team: Team): Double =
        if (buckets.contact.vmCount <= MAX_SMALL_FLEET) 0.0 else random.nextDouble() * team.burst * SPREAD_BURST_SHARE

    /** Spreads the returns of rejected callers over half of their wait more. */
    private fun withJitter(waitMs: Long): Long {
        if (buckets.contact.vmCount <= 1) return waitMs
        return waitMs + (waitMs * MAX_JITTER_SHARE * random.nextDouble()).toLong()
    }

    private fun mustReportEarly(team: Team, bucket: SharedTokenBucket): Boolean {
        val contact = buckets.contact
        // With all peers in contact and much of the burst left, the use until the next reports can't exhaust it.
        val isNearLimit = contact.unreachableShare > 0.0 || bucket.level < team.burst * EARLY_REPORT_LEVEL_SHARE
        return isNearLimit && buckets.unreported(team.name) > team.burst / (UNREPORTED_BURST_PARTS * contact.vmCount)
    }

    /** Refunds the [cost] of a request of [team] that did not run. */
    public fun refund(team: String, cost: Double): Unit = synchronized(lock) { buckets.refund(team, cost) }

    /** Applies the [uses] that [peer], started at [peerStartedAtMs] and running for [peerUptimeMs], reports. */
    public fun onPeerUsage(
        peer: String,
        peerStartedAtMs: Long,
        uses: Map<String, BucketUse>,
        isPeerOlder: Boolean,
        nowMs: Long,
        peerUptimeMs: Long = Long.MAX_VALUE,
    ): Unit = synchronized(lock) { buckets.onPeerUse(peer, peerStartedAtMs, uses, isPeerOlder, nowMs, peerUptimeMs) }

    /** Applies the [contact] of this VM with its peers from [nowMs] on. */
    public fun setContact(contact: FleetContact, nowMs: Long): Unit =
        synchronized(lock) { buckets.setContact(contact, nowMs) }

    /** Returns the state of the bucket of [team], or null if it has none. */
    public fun stateOf(team: String, nowMs: Long): TeamRateState? = synchronized(lock) {
        val contact = buckets.contact
        buckets.find(team, nowMs)?.let { TeamRateState(it.level, contact.unreachableShare, contact.lostShare) }
    }

    /** Returns the use of all teams on this VM, for a peer that may know none of it. */
    public fun usage(): Map<String, BucketUse> = synchronized(lock) { buckets.uses() }

    /** Returns the use of the teams on this VM that changed since the last reports, for all peers. */
    public fun reportChanges(): Map<String, BucketUse> = synchronized(lock) { buckets.reportChanges() }

    private companion object {
        /** Unreported use above one part in this many of the VM's share of the burst is reported at once. */
        const val UNREPORTED_BURST_PARTS = 4

        /** Share of the burst below which use is reported at once. */
        const val EARLY_REPORT_LEVEL_SHARE = 0.75

        /** Fleets up to this size report every 250 ms and need no spread of their requests. */
        const val MAX_SMALL_FLEET = 16

        /** Range of the levels that requests need, as a share of the burst. */
        const val SPREAD_BURST_SHARE = 0.5
        const val MAX_JITTER_SHARE = 0.5

        /**
         * Longest Retry-After before jitter, in milliseconds. A VM that hears nobody for a moment would name over a
         * minute, and has its peers' shares back long before.
         */
        const val MAX_RETRY_AFTER_MS = 8_000L
    }
}
