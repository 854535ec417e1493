/*
 * Stops a VM so that running requests can finish within its grace period.
 */
package io.daisybend.entry

import io.daisybend.entry.exchange.CallerServer
import io.daisybend.entry.exchange.RequestHandler
import io.daisybend.entry.exchange.Standstill
import io.daisybend.entry.exchange.StopState
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/**
 * The planned stop of a VM that has [graceMs] for it. Calls [onBegun] once the VM counts as stopping, and [onDrained]
 * when its requests have ended.
 */
internal class GracefulStop(
    private val state: StopState,
    private val callers: CallerServer,
    private val relaysUnderWay: () -> Int,
    private val requestHandler: RequestHandler,
    private val graceMs: Long,
    private val log: EventLog,
    private val steadyMs: () -> Long,
    private val onBegun: () -> Unit,
    private val onDrained: suspend () -> Unit,
) {
    private val ended = CompletableDeferred<Unit>()

    /**
     * Kept at the end of the grace period, in milliseconds: no more than its last sixth, in which requests may be cut
     * off, but always enough for a VM that gets its processor time.
     */
    private val marginMs = minOf(END_MS + STALLS_MS, graceMs / 6).coerceAtLeast(END_MS)

    /**
     * Keeps accepting requests for [ACCEPT_WHILE_STOPPING_MS], but for no more than a third of the grace period, so
     * that cached addresses expire (all do if the grace period is longer than 6 s). Then closes the listening socket
     * with [closeListener] and waits for the requests that arrived by then, and until callers have read their answers,
     * at most until [marginMs] before the end of the grace period; later requests are refused as not run. Requests
     * without a response are then answered with whether they may have run. All times count from [requestedAtMs], which
     * is well before this call if the VM was still starting. Later calls wait for the end of the first.
     */
    suspend fun run(requestedAtMs: Long, closeListener: suspend () -> Unit) {
        val endsAtMs = requestedAtMs + graceMs - marginMs
        if (!state.tryBegin(requestedAtMs, endsAtMs)) {
            log.write("stop-requested-again")
            return ended.await()
        }
        log.write(
            "stopping",
            "underWay" to callers.requestsInProgress,
            "connections" to callers.connectionCount,
            "relays" to relaysUnderWay(),
            "sinceRequestMs" to steadyMs() - requestedAtMs,
        )
        onBegun()
        delay(requestedAtMs + minOf(ACCEPT_WHILE_STOPPING_MS, graceMs / 3) - steadyMs())
        closeListener()
        callers.startDraining()
        log.write(
            "draining",
            "underWay" to callers.requestsInProgress,
            "connections" to callers.connectionCount,
            "relays" to relaysUnderWay(),
        )
        awaitConnectionsUntil(endsAtMs)
        requestHandler.endUnanswered()
        awaitConnectionsUntil(endsAtMs + FINAL_ANSWERS_MS)
        onDrained()
        log.write(
            "stopped",
            "underWay" to callers.requestsInProgress,
            "connections" to callers.connectionCount,
            "relays" to relaysUnderWay(),
            "tookMs" to steadyMs() - requestedAtMs,
        )
        delay(POLL_INTERVAL_MS)
        ended.complete(Unit)
    }

    /**
     * Waits until [deadlineMs] for the end of all connections and relays, and closes the connections that are idle. A
     * request in progress keeps its connection, and so do bytes of a response that the system has not taken. After a
     * pause of this VM, the requests that came meanwhile are read first; the polls are as late as the reads, with which
     * they share threads.
     */
    private suspend fun awaitConnectionsUntil(deadlineMs: Long) = withContext(Dispatchers.Default) {
        var closeFromMs = steadyMs() + Standstill.UNREAD_INPUT_MS
        while ((callers.connectionCount > 0 || relaysUnderWay() > 0) && steadyMs() < deadlineMs) {
            val pollAtMs = steadyMs() + POLL_INTERVAL_MS
            delay(POLL_INTERVAL_MS)
            val nowMs = steadyMs()
            if (nowMs - pollAtMs > Standstill.TIMER_LATENESS_MS) closeFromMs = nowMs + Standstill.UNREAD_INPUT_MS
            if (nowMs >= closeFromMs) callers.closeIdle()
        }
    }

    private companion object {
        /**
         * How long a stopping VM accepts new requests at most, in milliseconds: cached directory responses have expired
         * by then. It stops earlier, after a third of the grace period, if that is shorter.
         */
        const val ACCEPT_WHILE_STOPPING_MS = 2_500L

        /** Time in which the last answers of a stop are written, in milliseconds. */
        const val FINAL_ANSWERS_MS = 200L
        const val POLL_INTERVAL_MS = 50L

        /** How long the JVM waits for threads in native code, such as those of selectors, before it ends. */
        const val JVM_END_MS = 300L

        /** From the end of the drain to the end of the process, in milliseconds: one poll is late, one is a pause. */
        const val END_MS = FINAL_ANSWERS_MS + 2 * POLL_INTERVAL_MS + JVM_END_MS

        /**
         * How late the steps of a stop can be in a VM with 0.75 of a core, in milliseconds: in each tenth of a second
         * it may stand still for nearly all of it once its threads have used up their share. That can happen at the
         * signal, at the end of the drain, after the last answers and at the end of the JVM.
         */
        const val STALLS_MS = 4 * 100L
    }
}
