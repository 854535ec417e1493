/*
 * Tells from an engine's reports whether an idle endpoint still earns its replicas. The engine's own counters are used
 * because requests reach an endpoint from many VMs, and no VM sees them all.
 */
package io.daisybend.scheduling.replicas

/** What an engine reports about its work: requests in progress now, and started since its boot [bootId]. */
public data class EngineActivity(val bootId: String, val runningRequests: Int, val requestsStarted: Long)

/** Watches one endpoint; not thread-safe. */
public class EndpointIdleness(
    private val minIdleMs: Long,
    private val rule: IdleRule.Adaptive = IdleRule.Adaptive(),
) {
    private val gaps = InterArrivalHistogram()
    private var lastReport: EngineActivity? = null
    private var lastActiveMs: Long? = null

    /** Takes a report; work between two reports counts at the time of the second. */
    public fun observe(report: EngineActivity, nowMs: Long) {
        val before = lastReport
        val isActive = before == null || report.runningRequests > 0 || report != before
        lastReport = report
        if (!isActive) return
        lastActiveMs?.let { gaps.observe(nowMs - it) }
        lastActiveMs = nowMs
    }

    /** Returns whether replicas that take [reloadTimesMs] to load again should stay; an unknown endpoint keeps them. */
    public fun isWorthKeeping(reloadTimesMs: List<Long>, nowMs: Long): Boolean {
        val idleMs = nowMs - (lastActiveMs ?: return true)
        if (idleMs < minIdleMs) return true
        return rule.isWorthKeeping(reloadTimesMs.map { IdleReplica(idleMs, it, gaps) }, idleMs)
    }
}
