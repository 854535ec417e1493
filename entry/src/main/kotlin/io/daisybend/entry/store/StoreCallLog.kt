/*
 * Shows how many calls each use of the platform's store makes, as a metric and as totals in the log, since the platform
 * prices each call.
 */
package io.daisybend.entry.store

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.platform.StoreCallCounts
import kotlinx.coroutines.delay

/** Reports [calls] as a metric and in the log. */
internal class StoreCallLog(private val calls: StoreCallCounts, metrics: Metrics, private val log: EventLog) {
    init {
        metrics.addCounters("daisybend_store_calls", "Calls to the platform's store", "topic" to "kind") {
            calls.totals().entries.associate { (call, count) ->
                (call.first.name.lowercase() to call.second.name.lowercase()) to count.toDouble()
            }
        }
    }

    /** Logs the totals since the start of the process at an interval until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            delay(INTERVAL_MS)
            write()
        }
    }

    /** Logs the totals since the start of the process. */
    fun write() {
        val totals = calls.totals()
        val fields = totals.map { (call, count) -> "${call.first}_${call.second}".lowercase() to count }
        log.write("store-calls", "total" to totals.values.sum(), *fields.toTypedArray())
    }

    private companion object {
        /** Interval between log lines, in milliseconds; the last line of a killed process is at most this old. */
        const val INTERVAL_MS = 10_000L
    }
}
