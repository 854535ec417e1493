/*
 * How long reports were under way. A report names its sender's time; the least difference to this VM's time over many
 * reports is that of a report without delay. So a report that was sent late, or lay in a buffer, shows its delay.
 */
package io.daisybend.serving.endpoint

/** Measures the delays of the reports of each process; not thread-safe. */
public class SenderDelays {
    private class Sender(val firstAtMs: Long) {
        var count = 0
        var windowStartMs = firstAtMs
        var least = Long.MAX_VALUE
        var leastBefore = Long.MAX_VALUE
        var lastAtMs = firstAtMs
    }

    private val senders = HashMap<String, Sender>()

    /**
     * Returns how long a report of [process], sent at [sentMs] of its own clock and read at [nowMs] of this VM's, was
     * under way beyond the fastest one, in milliseconds; null while too few reports are known.
     */
    public fun onReport(process: String, sentMs: Long, nowMs: Long): Long? {
        val sender = senders.getOrPut(process) { Sender(nowMs) }
        if (nowMs - sender.windowStartMs > WINDOW_MS) {
            sender.leastBefore = sender.least
            sender.least = Long.MAX_VALUE
            sender.windowStartMs = nowMs
        }
        val difference = nowMs - sentMs
        sender.least = minOf(sender.least, difference)
        sender.count++
        sender.lastAtMs = nowMs
        if (sender.count < MIN_REPORTS || nowMs - sender.firstAtMs < MIN_SPAN_MS) return null
        return difference - minOf(sender.least, sender.leastBefore)
    }

    /** Forgets processes without reports for a minute. */
    public fun removeExpired(nowMs: Long) {
        senders.values.removeIf { nowMs - it.lastAtMs > WINDOW_MS }
    }

    private companion object {
        /** Time after which a difference is forgotten, in milliseconds: clocks drift by some 30 ms in it. */
        const val WINDOW_MS = 60_000L
        const val MIN_REPORTS = 3

        /** All reports that waited during a standstill are read at one time, and none of them shows its delay. */
        const val MIN_SPAN_MS = 1_500L
    }
}
