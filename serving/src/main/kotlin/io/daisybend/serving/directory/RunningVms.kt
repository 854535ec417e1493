/*
 * Which processes of VMs are running, for the directory. A report shows that its sender ran when it sent the report,
 * not when the report is read: a VM that stood still reads reports late, maybe those of processes that have ended. So
 * the age of a report is estimated from the sender's uptime in it. The offset between the clocks of both VMs is that of
 * the report that arrived fastest.
 */
package io.daisybend.serving.directory

/** The processes of the peers as their reports show them; thread-safe. */
public class RunningVms {
    private class Process(val startedAtMs: Long, var windowBeganAtMs: Long) {
        /** Least difference between this VM's clock and the sender's uptime in this window and the one before. */
        var offsetMs = Long.MAX_VALUE
        var previousOffsetMs = Long.MAX_VALUE
        var newestUptimeMs = Long.MIN_VALUE
        var hasStopped = false
    }

    private val processes = HashMap<String, Process>()

    /**
     * Records a report that arrived at [nowMs], maybe late, from the process of [vm] that was started at [startedAtMs]
     * and sent it after [uptimeMs]. A process that once said that it [isStopping] does not run again.
     */
    @Synchronized
    public fun onReport(vm: String, startedAtMs: Long, uptimeMs: Long, isStopping: Boolean, nowMs: Long) {
        val known = processes[vm]
        if (known != null && startedAtMs < known.startedAtMs) return
        val process = known?.takeIf { it.startedAtMs == startedAtMs }
            ?: Process(startedAtMs, nowMs).also { processes[vm] = it }
        if (nowMs - process.windowBeganAtMs > WINDOW_MS) {
            process.windowBeganAtMs = nowMs
            process.previousOffsetMs = process.offsetMs
            process.offsetMs = Long.MAX_VALUE
        }
        process.offsetMs = minOf(process.offsetMs, nowMs - uptimeMs)
        process.newestUptimeMs = maxOf(process.newestUptimeMs, uptimeMs)
        process.hasStopped = process.hasStopped || isStopping
    }

    /**
     * Returns whether the process of [vm] that was started at [startedAtMs] has sent a report within [timeoutMs] before
     * [nowMs] and has not said that it stops.
     */
    @Synchronized
    public fun isRunning(vm: String, startedAtMs: Long, timeoutMs: Long, nowMs: Long): Boolean {
        val process = processes[vm]?.takeIf { it.startedAtMs == startedAtMs && !it.hasStopped } ?: return false
        val sentAtMs = minOf(process.offsetMs, process.previousOffsetMs) + process.newestUptimeMs
        return nowMs - sentAtMs < timeoutMs
    }

    /** Forgets all VMs except [known]. */
    @Synchronized
    public fun retain(known: Set<String>) {
        processes.keys.retainAll(known)
    }

    private companion object {
        /**
         * How long the fastest report counts for the offset, in milliseconds: longer than VMs stand still, and short
         * enough to follow clocks that drift apart or stop while a VM is suspended.
         */
        const val WINDOW_MS = 20_000L
    }
}
