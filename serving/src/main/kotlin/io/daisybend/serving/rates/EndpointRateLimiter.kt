/*
 * Holds all VMs together to the rate of requests that an endpoint names in its responses. A limit lasts until a newer
 * response comes without one, or until the endpoint has not named it for some time. The VMs share one token bucket for
 * each endpoint, like the rate of a team. VMs that wait for the next token do not all take it at once: each one needs a
 * level that it draws anew after each of its requests.
 */
package io.daisybend.serving.rates

import io.daisybend.serving.endpoint.Incarnation
import kotlin.random.Random

/** What one VM knows of the limit of an endpoint, [observedAgoMs] milliseconds ago, and its use of it. */
public data class EndpointLimitUse(
    /** Requests a second, or null if a response without a limit ended it. */
    val perSecond: Double?,
    val observedAgoMs: Long,
    val use: BucketUse,
)

/** A change of the limit of [endpoint]; [perSecond] is null when it ended. */
public data class EndpointLimitChange(val endpoint: Incarnation, val perSecond: Double?)

/**
 * The limits of all endpoints on one VM; thread-safe. Calls [requestEarlyReport] when the peers should learn of a
 * request or a limit without delay, and [onChange] when a limit begins, changes or ends.
 */
public class EndpointRateLimiter(
    private val random: Random = Random.Default,
    private val requestEarlyReport: () -> Unit = {},
    private val onChange: (EndpointLimitChange) -> Unit = {},
) {
    private class Limit(var perSecond: Double?, var observedAtMs: Long) {
        var neededLevel = 0.0
        var reportsLeft = 0
    }

    private val lock = Any()
    private val limits = HashMap<Incarnation, Limit>()
    private val buckets = SharedBuckets<Incarnation>(countsFirstUse = true)

    /** The limits in force, in requests a second. */
    public val current: Map<Incarnation, Double>
        get() = synchronized(lock) {
            limits.mapNotNull { (endpoint, limit) -> limit.perSecond?.let { endpoint to it } }.toMap()
        }

    /** Records that a response of [endpoint] at [nowMs] named the limit [perSecond], or none if that is null. */
    public fun onResponse(endpoint: Incarnation, perSecond: Double?, nowMs: Long): Unit = synchronized(lock) {
        if (observe(endpoint, perSecond, nowMs, nowMs)) requestEarlyReport()
    }

    /** Applies an observation of [endpoint]; returns whether the limit changed. */
    private fun observe(endpoint: Incarnation, perSecond: Double?, observedAtMs: Long, nowMs: Long): Boolean {
        val known = limits[endpoint]
        if (!isNewer(known, perSecond, observedAtMs)) return false
        val limit = known ?: Limit(null, observedAtMs).also { limits[endpoint] = it }
        limit.observedAtMs = observedAtMs
        if (limit.perSecond == perSecond) return false
        limit.perSecond = perSecond
        // Only a VM that got the response reports it: repeated by all VMs, reports fill the links of a large fleet.
        limit.reportsLeft = if (observedAtMs == nowMs) REPORTS_OF_A_CHANGE else 0
        if (perSecond != null) {
            buckets.setLimit(endpoint, usedRate(perSecond), burst(perSecond), nowMs)
            limit.neededLevel = drawNeededLevel(perSecond)
        }
        buckets.retain(limits.filterValues { it.perSecond != null }.keys)
        onChange(EndpointLimitChange(endpoint, perSecond))
        return true
    }

    /** Whether an observation adds to [known]; a response may overtake an older one that still names the limit. */
    private fun isNewer(known: Limit?, perSecond: Double?, observedAtMs: Long): Boolean = when {
        known == null -> perSecond != null
        perSecond == null && known.perSecond != null -> observedAtMs >= known.observedAtMs + RESPONSE_ORDER_MS
        else -> observedAtMs > known.observedAtMs
    }

    /** Returns the limit of [endpoint] in requests a second, or null if there is none. */
    public fun limitOf(endpoint: Incarnation): Double? = synchronized(lock) { limits[endpoint]?.perSecond }

    /** Returns the time until [endpoint] may get another request at [nowMs], in milliseconds; 0 if it may now. */
    public fun waitMs(endpoint: Incarnation, nowMs: Long): Long = synchronized(lock) {
        val limit = limits[endpoint] ?: return 0
        val perSecond = limit.perSecond ?: return 0
        val bucket = buckets.find(endpoint, nowMs) ?: return 0
        val missing = limit.neededLevel - bucket.level
        if (missing < 0) 0 else (missing / usedRate(perSecond) * MILLIS_PER_SECOND).toLong() + 1
    }

    /** Takes one request at [nowMs] from the rate of [endpoint]; returns false if it may not get one now. */
    public fun admit(endpoint: Incarnation, nowMs: Long): Boolean = synchronized(lock) {
        if (waitMs(endpoint, nowMs) > 0) return false
        val limit = limits[endpoint] ?: return true
        val perSecond = limit.perSecond ?: return true
        buckets.find(endpoint, nowMs)?.admit(1.0)
        limit.neededLevel = drawNeededLevel(perSecond)
        requestEarlyReport()
        true
    }

    /** Gives the request that [admit] took back, because it did not reach [endpoint]. */
    public fun refund(endpoint: Incarnation): Unit = synchronized(lock) { buckets.refund(endpoint, 1.0) }

    /** Applies the [uses] that [peer], started at [peerStartedAtMs], reports. */
    public fun onPeerUses(
        peer: String,
        peerStartedAtMs: Long,
        uses: Map<Incarnation, EndpointLimitUse>,
        isPeerOlder: Boolean,
        nowMs: Long,
    ): Unit = synchronized(lock) {
        uses.forEach { (endpoint, use) ->
            observe(endpoint, use.perSecond, nowMs - use.observedAgoMs.coerceAtLeast(1), nowMs)
        }
        buckets.onPeerUse(peer, peerStartedAtMs, uses.mapValues { it.value.use }, isPeerOlder, nowMs)
    }

    /** Applies the [contact] of this VM with its peers from [nowMs] on. */
    public fun setContact(contact: FleetContact, nowMs: Long): Unit =
        synchronized(lock) { buckets.setContact(contact, nowMs) }

    /** Ends the limits that their endpoints have not named for long before [nowMs]. */
    public fun removeExpired(nowMs: Long): Unit = synchronized(lock) {
        val expired = limits.filterValues { nowMs - it.observedAtMs > LIMIT_EXPIRY_MS }
        limits.keys.removeAll(expired.keys)
        buckets.retain(limits.filterValues { it.perSecond != null }.keys)
        expired.filterValues { it.perSecond != null }.keys.forEach { onChange(EndpointLimitChange(it, null)) }
    }

    /** Returns all limits and uses, for a peer that may know none of them. */
    public fun uses(nowMs: Long): Map<Incarnation, EndpointLimitUse> = synchronized(lock) {
        val uses = buckets.uses()
        limits.mapValues { (endpoint, limit) -> toUse(limit, uses[endpoint], nowMs) }
    }

    /** Returns the limits and uses that changed since the last reports, for all peers; each in several reports. */
    public fun reportChanges(nowMs: Long): Map<Incarnation, EndpointLimitUse> = synchronized(lock) {
        val changed = buckets.reportChanges()
        val all = buckets.uses()
        limits.filter { (endpoint, limit) -> limit.reportsLeft-- > 0 || (changed[endpoint]?.admitted ?: 0.0) > 0.0 }
            .mapValues { (endpoint, limit) -> toUse(limit, all[endpoint], nowMs) }
    }

    private fun toUse(limit: Limit, use: BucketUse?, nowMs: Long) =
        EndpointLimitUse(limit.perSecond, nowMs - limit.observedAtMs, use ?: BucketUse(0.0, 0.0))

    /** A limit of almost nothing is tried now and then, since only a response shows its end. */
    private fun usedRate(perSecond: Double) = perSecond.coerceIn(MIN_PER_SECOND, MAX_PER_SECOND)

    private fun burst(perSecond: Double) = maxOf(MIN_BURST, usedRate(perSecond) * BURST_S) + spread(perSecond)

    private fun drawNeededLevel(perSecond: Double) = random.nextDouble() * spread(perSecond)

    /** Range of the levels that VMs need, in requests: wide enough for reports between two VMs that reach theirs. */
    private fun spread(perSecond: Double): Double {
        val vmCount = buckets.contact.vmCount
        val spreadMs = (vmCount * vmCount * SPREAD_PER_PAIR_MS).coerceIn(MIN_SPREAD_MS, MAX_SPREAD_MS)
        return usedRate(perSecond) * spreadMs / MILLIS_PER_SECOND
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Number of successive reports that contain a change. */
        const val REPORTS_OF_A_CHANGE = 3

        /** Time within which responses may overtake each other, in milliseconds. */
        const val RESPONSE_ORDER_MS = 200L

        /** Time after which a limit that is not named again has ended, in milliseconds. */
        const val LIMIT_EXPIRY_MS = 30_000L
        const val MIN_PER_SECOND = 0.25
        const val MAX_PER_SECOND = 1_000_000.0

        /** Requests that may be sent at once, as the time in which the endpoint takes them, in seconds. */
        const val BURST_S = 0.5
        const val MIN_BURST = 2.0

        /** Reports of a fleet take longer the more VMs there are, and more VMs wait for the same token. */
        const val SPREAD_PER_PAIR_MS = 0.4
        const val MIN_SPREAD_MS = 400.0
        const val MAX_SPREAD_MS = 1_500.0
    }
}
