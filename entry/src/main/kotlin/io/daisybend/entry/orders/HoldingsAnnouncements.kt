/*
 * The holdings of engines that the holder of the order duty announces to its peers, with the loads in progress. A load
 * that takes longer than expected is announced again in each report, so that the peers don't take it for lost.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.peers.HoldingsReport
import io.daisybend.serving.residency.remainingLoadMs
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/** The newest announcement of each engine; thread-safe. */
internal class HoldingsAnnouncements {
    /** Holdings announced at [announcedAtMs]; a load in [report] has started and is expected to end at these times. */
    private class Announcement(
        val report: HoldingsReport,
        val announcedAtMs: Long,
        val loadedAtMs: Long,
        val loadStartedAtMs: Long,
    ) {
        fun isOverdue(nowMs: Long) = report.loading != null && nowMs >= loadedAtMs

        fun isCurrent(nowMs: Long) = announcedAtMs >= nowMs - LIFETIME_MS || report.loading != null

        fun loadedInMs(nowMs: Long) = remainingLoadMs(loadedAtMs, nowMs).coerceAtLeast(MIN_REMAINING_LOAD_MS)
    }

    private val byEngine = ConcurrentHashMap<String, Announcement>()

    /**
     * Announces [report] at [nowMs]; its load, if any, is expected to end at [loadedAtMs] and has started at
     * [loadStartedAtMs] if an engine has accepted it. Returns false if that was announced before.
     */
    fun announce(
        report: HoldingsReport,
        loadedAtMs: Long,
        nowMs: Long,
        loadStartedAtMs: Long = nowMs,
    ): Boolean {
        val previous = byEngine[report.engine]
        val isShifted = report.loading != null &&
            previous != null &&
            abs(loadedAtMs - previous.loadedAtMs) > MIN_LOAD_SHIFT_MS
        if (previous?.report == report && !isShifted) return false
        byEngine[report.engine] = Announcement(report, nowMs, loadedAtMs, loadStartedAtMs)
        return true
    }

    /**
     * Returns the holdings that changed at [changedSinceMs] or later and the overdue loads; null returns all recently
     * changed holdings and loads in progress.
     */
    fun reports(changedSinceMs: Long?, nowMs: Long): List<HoldingsReport> = byEngine.values
        .filter {
            val isChanged = if (changedSinceMs != null) it.announcedAtMs >= changedSinceMs else it.isCurrent(nowMs)
            isChanged || it.isOverdue(nowMs)
        }
        .map {
            val load = it.report.load?.copy(agoMs = nowMs - it.loadStartedAtMs)
            it.report.copy(loadedInMs = it.loadedInMs(nowMs), load = load)
        }

    /** Returns the time until the first load of [model] ends, in milliseconds, or null if none is in progress. */
    fun loadedInMs(model: String, nowMs: Long): Long? =
        byEngine.values.filter { it.report.loading == model }.minOfOrNull { it.loadedInMs(nowMs) }

    /** Returns the model whose load on [engine] was announced last, or null if none is in progress. */
    fun announcedLoad(engine: String): String? = byEngine[engine]?.report?.loading

    /** Removes the announcements of all engines except [engines]. */
    fun retain(engines: Set<String>) {
        byEngine.keys.retainAll(engines)
    }

    /** Removes all announcements. */
    fun clear() = byEngine.clear()

    private companion object {
        /** How long changed holdings are announced, in milliseconds: the platform's list shows them by then. */
        const val LIFETIME_MS = 3_000L

        /** Least change of the expected end of a load that is announced, in milliseconds. */
        const val MIN_LOAD_SHIFT_MS = 500L

        /** Minimum time that a load in progress is reported to take, in milliseconds: a copy from host memory. */
        const val MIN_REMAINING_LOAD_MS = 200L
    }
}
