/*
 * The way of one admitted request: carries it to its answer, gives back the rate of one that did not run, and tells the
 * log and the metrics what became of it.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.http.Dialer
import io.daisybend.entry.peers.useKey
import io.daisybend.serving.rates.TeamRateLimiter
import kotlinx.coroutines.coroutineScope

/** What became of a request; written to the log. */
internal data class RequestOutcome(val status: Int, val cause: String, val ran: String)

/** Sends admitted requests to endpoints until one answers or the request must be refused. */
internal class RequestFlow(
    private val dialer: Dialer,
    private val desk: EndpointDesk,
    private val limits: TeamRateLimiter,
    private val log: EventLog,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    /** Serves [admitted] on [connection], [cost] of whose team's rate is given back if it does not run. */
    suspend fun serve(connection: CallerConnection, admitted: Admitted, cost: Double) {
        val run = RequestRun(connection, admitted, dialer, desk, log, steadyMs)
        var outcome = RequestOutcome(0, "caller left", "unknown")
        try {
            outcome = coroutineScope { run.untilAnswered(this) }
        } finally {
            if (!run.mayHaveRun && admitted.team != null) limits.refund(admitted.team.name, cost)
            logOutcome(admitted, run, outcome)
        }
    }

    private fun logOutcome(admitted: Admitted, run: RequestRun, outcome: RequestOutcome) {
        val tookMs = steadyMs() - admitted.arrivedAtMs
        metrics.request(admitted.route.kind, outcome.status, tookMs)
        log.write(
            "request",
            "request" to admitted.request.attemptId,
            "route" to admitted.route.name,
            "team" to admitted.team?.name,
            "model" to admitted.caller.demand?.let { useKey(it.model, it.adapter) },
            "version" to admitted.configurationVersion,
            "endpoints" to run.endpointsUsed,
            "waitedMs" to run.waitedMs,
            "firstMs" to run.firstPieceMs,
            "tookMs" to tookMs,
            "status" to outcome.status,
            "cause" to outcome.cause,
            "ran" to outcome.ran,
        )
    }
}
