/*
 * Shows what a VM spends its processor time and its link on: the work of each activity that grows with the fleet, and
 * how late timers fire. A VM whose timers are late does not get the processor time that it needs.
 */
package io.daisybend.entry

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.LongAdder

/** Work whose cost depends on the size of the fleet or on the demand. */
internal enum class Activity {
    SEND_REPORTS,
    APPLY_REPORT,
    CHOOSE_ENDPOINT,
    PLAN_ORDERS,
    READ_ENDPOINTS,
}

/** Counts and measures activities; [steadyMs] reads the monotonic clock. */
internal class LoadMonitor(private val log: EventLog, metrics: Metrics, private val steadyMs: () -> Long) {
    private class Work {
        val count = LongAdder()
        val nanos = LongAdder()
        val bytes = LongAdder()
    }

    private val workByActivity = Activity.entries.associateWith { Work() }

    init {
        metrics.addCounters("daisybend_work_total", "Times that this VM did this work") { it.count.toDouble() }
        metrics.addCounters("daisybend_work_seconds_total", "Time that this work took") {
            it.nanos.toDouble() / NANOS_PER_SECOND
        }
        metrics.addCounters("daisybend_work_bytes_total", "Bytes that this work sent or read") { it.bytes.toDouble() }
    }

    private fun Metrics.addCounters(name: String, help: String, value: (Work) -> Double) =
        addCounters(name, help, label = "activity") {
            workByActivity.entries.associate { (activity, work) -> activity.name.lowercase() to value(work) }
        }

    /** Runs [block] and counts it as [activity]. */
    inline fun <T> measure(activity: Activity, block: () -> T): T {
        val startedAtNanos = System.nanoTime()
        try {
            return block()
        } finally {
            record(activity, System.nanoTime() - startedAtNanos)
        }
    }

    /** Counts [bytes] that [activity] sent or read. */
    fun countBytes(activity: Activity, bytes: Int) = workByActivity.getValue(activity).bytes.add(bytes.toLong())

    @PublishedApi
    internal fun record(activity: Activity, nanos: Long) {
        val work = workByActivity.getValue(activity)
        work.count.increment()
        work.nanos.add(nanos)
    }

    /** Logs the load of each interval until the coroutine is cancelled. */
    suspend fun run() {
        var previous = totals()
        while (true) {
            val lateMs = (1..TIMERS_PER_LINE).maxOf {
                val startedAtMs = steadyMs()
                delay(TIMER_INTERVAL_MS)
                steadyMs() - startedAtMs - TIMER_INTERVAL_MS
            }
            val current = totals()
            val added = current.mapValues { (name, value) -> value - previous.getValue(name) }.filterValues { it != 0L }
            log.write("load", "timerLateMs" to lateMs, *added.toList().toTypedArray())
            previous = current
        }
    }

    private fun totals(): Map<String, Long> = buildMap {
        workByActivity.forEach { (activity, work) ->
            val name = activity.name.lowercase()
            put("${name}_count", work.count.sum())
            put("${name}_ms", work.nanos.sum() / NANOS_PER_MILLI)
            put("${name}_bytes", work.bytes.sum())
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1_000_000_000.0
        const val TIMER_INTERVAL_MS = 500L

        /** Timers measured for each log line, so that there is a line about every two seconds. */
        const val TIMERS_PER_LINE = 4
    }
}
