/*
 * Shows how long this VM has seen no holder of the order duty; decides nothing.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.serving.duty.DutyOutlook

/** Logs and measures the times without a holder; [observe] is called by one thread. */
internal class DutyGapMonitor(private val log: EventLog, metrics: Metrics, private val steadyMs: () -> Long) {
    @Volatile
    private var unheldSinceMs: Long? = null

    @Volatile
    private var endedGapsMs = 0L

    init {
        metrics.addGauge("daisybend_duty_unheld_seconds", "Time for which this VM has seen no holder of the duty") {
            currentGapMs() / MILLIS_PER_SECOND
        }
        metrics.addCounters(
            "daisybend_duty_gap_seconds_total",
            "Time without a holder of the duty since the start, as seen by this VM",
            "view",
        ) { mapOf("own" to (endedGapsMs + currentGapMs()) / MILLIS_PER_SECOND) }
    }

    private fun currentGapMs() = unheldSinceMs?.let { steadyMs() - it } ?: 0

    /** Records the [outlook] that this VM has now. */
    fun observe(outlook: DutyOutlook) {
        val sinceMs = unheldSinceMs
        if (outlook == DutyOutlook.Held) {
            if (sinceMs == null) return
            val tookMs = currentGapMs()
            unheldSinceMs = null
            endedGapsMs += tookMs
            log.write("duty-held", "unheldMs" to tookMs)
        } else if (sinceMs == null) {
            unheldSinceMs = steadyMs()
            log.write("duty-unheld", "expectedInMs" to (outlook as? DutyOutlook.Expected)?.inMs)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
