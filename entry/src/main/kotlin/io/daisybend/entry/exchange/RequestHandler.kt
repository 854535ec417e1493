/*
 * Handles one admitted request: sends it, refunds the rate if it did not run, and writes the result to the log and the
 * metrics.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.peers.modelKey
import io.daisybend.serving.rates.TeamRateLimiter
import io.daisybend.serving.site.RouteKind
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap

/** Final result of a request, as written to the log. */
internal data class RequestOutcome(val status: Int, val cause: String, val ran: String)

/** Sends admitted requests to endpoints until one responds or the request must be refused. */
internal class RequestHandler(
    private val connections: EndpointConnections,
    private val endpointPool: EndpointPool,
    private val endDetector: EngineEndDetector,
    private val engineRuns: EngineRuns,
    private val teamRateLimiter: TeamRateLimiter,
    private val responseMemory: BodyMemory,
    private val log: EventLog,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    private class ActiveRequest(val connection: CallerConnection, val job: Job) {
        @Volatile
        var isEndedByShutdown = false
    }

    private val activeRequests = ConcurrentHashMap.newKeySet<ActiveRequest>()

    /** Ends the requests without a response, since this VM stops; their answers say whether they may have run. */
    fun endUnanswered() = activeRequests.filter { !it.connection.headWritten }.forEach {
        it.isEndedByShutdown = true
        it.job.cancel()
    }

    /** Serves [admitted] on [connection]; refunds [cost] to the rate of its team if no endpoint can have run it. */
    suspend fun serve(connection: CallerConnection, admitted: AdmittedRequest, cost: Double) {
        val sender =
            RequestSender(
                connection,
                admitted,
                connections,
                endpointPool,
                endDetector,
                engineRuns,
                responseMemory,
                log,
                steadyMs,
            )
        var outcome = RequestOutcome(0, "caller left", "unknown")
        val active = ActiveRequest(connection, currentCoroutineContext().job)
        activeRequests.add(active)
        try {
            outcome = coroutineScope { sender.sendUntilAnswered(this) }
        } catch (cancelled: CancellationException) {
            if (!active.isEndedByShutdown) {
                sender.onCallerLeft()
                throw cancelled
            }
            outcome = withContext(NonCancellable) { sender.answerAtShutdown() }
        } finally {
            activeRequests.remove(active)
            if (!sender.mayHaveRun && admitted.team != null) teamRateLimiter.refund(admitted.team.name, cost)
            logOutcome(admitted, sender, outcome)
        }
    }

    private fun logOutcome(admitted: AdmittedRequest, sender: RequestSender, outcome: RequestOutcome) {
        val tookMs = steadyMs() - admitted.arrivedAtMs
        metrics.recordRequest(admitted.route.kind, outcome.status, tookMs)
        log.write(
            "request",
            "request" to admitted.request.attemptId,
            "route" to admitted.route.name,
            "team" to admitted.team?.name,
            "model" to admitted.caller.demand?.let { modelKey(it.model, it.adapter) },
            "version" to admitted.configurationVersion,
            "endpoints" to sender.endpointsUsed,
            "sends" to sender.sendStates.takeIf { outcome.ran == "not_run" && it.isNotEmpty() },
            "waitedMs" to sender.waitedMs,
            "firstMs" to sender.firstPieceMs,
            "tookMs" to tookMs,
            "status" to outcome.status,
            "cause" to outcome.cause,
            "ran" to outcome.ran,
            "sinceStopMs" to admitted.sinceStopMs,
            "resumes" to admitted.caller.resumedAttemptId,
            "requiredVersion" to sender.requiredVersion?.name,
            "endMark" to sender.endMark?.let { it::class.simpleName },
            "events" to sender.eventCount.takeIf { admitted.route.kind == RouteKind.STREAM },
        )
    }
}
