/*
 * Decides from an engine's activity reports whether an idle endpoint should keep its replicas. It uses the counters of
 * the engine because many VMs send requests to an endpoint and no VM sees all of them.
 */
package io.daisybend.scheduling.replicas

/** The activity that an engine reports: its running requests, and the requests started since its boot [bootId]. */
public data class EngineActivity(val bootId: String, val runningRequests: Int, val requestsStarted: Long)

/** Tracks the idle time of one endpoint; not thread-safe. */
public class EndpointIdleness(
    private val minIdleMs: Long,
    private val rule: IdleRule.Adaptive = IdleRule.Adaptive(),
) {
    private val interArrivals = InterArrivalHistogram()
    private var lastReport: EngineActivity? = null
    private var lastActiveMs: Long? = null

    /** Applies [report]; activity between two reports counts as activity at the time of the second one. */
    public fun observe(report: EngineActivity, nowMs: Long) {
        val previousReport = lastReport
        val isActive = previousReport == null || report.runningRequests > 0 || report != previousReport
        lastReport = report
        if (!isActive) return
        lastActiveMs?.let { interArrivals.observe(nowMs - it) }
        lastActiveMs = nowMs
    }

    /** Returns whether replicas with [reloadTimesMs] should stay loaded; always true before the first report. */
    public fun isWorthKeeping(reloadTimesMs: List<Long>, nowMs: Long): Boolean {
        val idleMs = nowMs - (lastActiveMs ?: return true)
        if (idleMs < minIdleMs) return true
        return rule.isWorthKeeping(reloadTimesMs.map { IdleReplica(idleMs, it, interArrivals) }, idleMs)
    }
}
