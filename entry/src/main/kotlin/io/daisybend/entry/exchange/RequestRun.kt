/*
 * One request's sends: finds an endpoint, sends, and lets the serving module decide what follows each send, so that the
 * request gets one truthful answer in its time.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.http.Dialer
import io.daisybend.platform.SendHeaders
import io.daisybend.platform.attemptIdHeader
import io.daisybend.platform.isOtherInstance
import io.daisybend.platform.retryAfterHeader
import io.daisybend.serving.attempt.AttemptHistory
import io.daisybend.serving.attempt.NextStep
import io.daisybend.serving.attempt.SendOutcome
import io.daisybend.serving.attempt.nextStep
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.site.RouteKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** How one send ended; [answered] tells that the caller has its answer. */
internal data class SendResult(val send: SendOutcome, val reason: String, val answered: RequestOutcome? = null)

/** The sends of [admitted], which came over [connection]. */
internal class RequestRun(
    private val connection: CallerConnection,
    private val admitted: Admitted,
    private val dialer: Dialer,
    private val desk: EndpointDesk,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    /** Endpoints that the request was sent to, in order. */
    val endpointsUsed = ArrayList<String>()

    /** Whether an endpoint may have run the request. */
    var mayHaveRun = false
        private set

    /** Time spent without an endpoint to use, in milliseconds. */
    var waitedMs = 0L
        private set

    /** Time from the request's arrival to the first piece of its answer, in milliseconds. */
    val firstPieceMs: Long? get() = relay.firstPieceMs

    private val relay = AnswerRelay(connection, admitted, desk, steadyMs)
    private val failedEndpoints = HashSet<String>()
    private val timeLeftMs: Long get() = admitted.endsAtMs - steadyMs()

    /** Sends until the caller has an answer; what a send leaves running goes on in [scope]. */
    suspend fun untilAnswered(scope: CoroutineScope): RequestOutcome {
        while (true) {
            val waitBegan = steadyMs()
            val found = desk.find(admitted, exclude = failedEndpoints)
            waitedMs += steadyMs() - waitBegan
            val endpoint = when (found) {
                is Found.Use -> found.endpoint
                is Found.Nothing -> return nothingToUse(found)
            }
            val result = sendOnce(scope, endpoint)
            result.answered?.let { return it }
            when (val step = stepAfter(result, endpoint)) {
                NextStep.SendElsewhere -> Unit
                is NextStep.RefuseUnrun -> return refuse(step.retryAfterMs, "endpoints refused: ${result.reason}")
                NextStep.FailUnknown, NextStep.PassOn -> return fail(result.reason)
            }
        }
    }

    private fun stepAfter(result: SendResult, endpoint: Endpoint): NextStep {
        // An engine that refused may hold the model in a moment; the desk remembers the refusal for that long.
        val mayTakeLater = result.send is SendOutcome.RejectedUnrun && admitted.service.engine != null
        if (!mayTakeLater) failedEndpoints.add(endpoint.incarnation.id)
        val history = AttemptHistory(endpointsUsed.size, mayHaveRun)
        val step = nextStep(admitted.route, history, result.send, timeLeftMs) { desk.takeRepeat(admitted.service.name) }
        log.write(
            "send-failed",
            "request" to admitted.request.attemptId,
            "endpoint" to endpoint.incarnation.id,
            "outcome" to result.send.toString(),
            "reason" to result.reason,
            "next" to step.toString(),
        )
        return step
    }

    private suspend fun nothingToUse(found: Found.Nothing): RequestOutcome =
        if (mayHaveRun) fail(found.reason) else refuse(found.retryAfterMs, found.reason)

    private suspend fun refuse(retryAfterMs: Long, reason: String): RequestOutcome {
        if (connection.answerBegun) return breakOff(reason)
        val headers = listOf(attemptIdHeader(admitted.request.attemptId), retryAfterHeader(retryAfterMs))
        connection.answer(STATUS_UNAVAILABLE, headers, ByteArray(0))
        return RequestOutcome(STATUS_UNAVAILABLE, reason, "not_run")
    }

    private suspend fun fail(reason: String): RequestOutcome {
        if (connection.answerBegun) return breakOff(reason)
        val status = if (timeLeftMs <= 0) STATUS_TIMEOUT else STATUS_BAD_GATEWAY
        connection.answer(status, listOf(attemptIdHeader(admitted.request.attemptId)), ByteArray(0))
        return RequestOutcome(status, reason, "unknown")
    }

    private fun breakOff(reason: String): RequestOutcome {
        connection.mustClose = true
        return RequestOutcome(STATUS_BAD_GATEWAY, "broken off: $reason", "unknown")
    }

    private suspend fun sendOnce(scope: CoroutineScope, endpoint: Endpoint): SendResult {
        endpointsUsed.add(endpoint.incarnation.id)
        val place = desk.places.begin(endpoint, admitted.caller.demand)
        var exchange: EndpointExchange? = null
        try {
            val started = withTimeoutOrNull(answerTimeMs()) {
                startSend(dialer, scope, admitted.request, endpoint, sendHeaders(endpoint), connectTimeoutMs())
            } ?: SendStart.NoAnswer("no answer in time")
            if (started is SendStart.Answered) exchange = started.exchange
            return when (started) {
                is SendStart.NotSent -> {
                    desk.unreachable(endpoint)
                    SendResult(SendOutcome.NotSent, started.reason)
                }
                is SendStart.NoAnswer -> {
                    mayHaveRun = true
                    if (timeLeftMs > 0) desk.failed(endpoint)
                    SendResult(SendOutcome.Unknown, started.reason)
                }
                is SendStart.Answered -> onAnswer(endpoint, started, place)
            }
        } finally {
            exchange?.finish()
            desk.places.end(place)
        }
    }

    /** A silent engine is given up early only where the request may go to another. */
    private fun answerTimeMs(): Long {
        val silenceMs = if (admitted.route.resumable) SILENT_START_MS else Long.MAX_VALUE
        return timeLeftMs.coerceIn(1, silenceMs)
    }

    private fun connectTimeoutMs(): Long = timeLeftMs.coerceIn(1, CONNECT_TIMEOUT_MS)

    private fun sendHeaders(endpoint: Endpoint) = SendHeaders(
        deadlineMs = timeLeftMs.coerceAtLeast(1),
        expectedInstance = endpoint.incarnation.id,
        team = admitted.team?.name,
        enginePriority = admitted.service.engine?.let { admitted.priority.coerceIn(0, LOWEST_PRIORITY) },
        lastEventId = relay.lastEventId,
    )

    private suspend fun onAnswer(endpoint: Endpoint, answer: SendStart.Answered, place: ExchangePlace): SendResult {
        val status = answer.head.status
        if (answer.meaning.didNotRun) return onRejection(endpoint, answer)
        mayHaveRun = true
        if (status !in SUCCESS) return onEndpointFailure(endpoint, answer)
        if (!answer.meaning.sealed) {
            answer.exchange.abort()
            desk.failed(endpoint)
            return SendResult(SendOutcome.Unknown, "status $status without a seal")
        }
        desk.succeeded(endpoint)
        return if (admitted.route.kind == RouteKind.STREAM) {
            relay.stream(endpoint, answer, place)
        } else {
            relay.whole(endpoint, answer)
        }
    }

    private fun onRejection(endpoint: Endpoint, answer: SendStart.Answered): SendResult {
        val status = answer.head.status
        if (!answer.exchange.body.isComplete) answer.exchange.abort()
        if (isOtherInstance(status) && admitted.caller.demand == null) {
            desk.unreachable(endpoint)
        } else {
            desk.rejected(endpoint, admitted)
        }
        val outcome = SendOutcome.RejectedUnrun(status, answer.meaning.retryAfterMs)
        return SendResult(outcome, "status $status, not run")
    }

    private suspend fun onEndpointFailure(endpoint: Endpoint, answer: SendStart.Answered): SendResult {
        val status = answer.head.status
        if (status >= FIRST_SERVER_ERROR) desk.failed(endpoint)
        if (connection.answerBegun) return SendResult(SendOutcome.Unknown, "status $status for the rest of a stream")
        val outcome = SendOutcome.AnsweredFailure(status)
        val mayGoOn = status >= FIRST_SERVER_ERROR &&
            admitted.route.mayRetry &&
            endpointsUsed.size < admitted.route.maxAttempts &&
            timeLeftMs > MIN_TIME_FOR_REPEAT_MS &&
            desk.hasOther(admitted, failedEndpoints + endpoint.incarnation.id)
        if (mayGoOn) return SendResult(outcome, "status $status")
        return relay.whole(endpoint, answer).copy(send = outcome)
    }

    private companion object {
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_TIMEOUT = 504
        const val FIRST_SERVER_ERROR = 500
        const val LOWEST_PRIORITY = 9
        val SUCCESS = 200..299

        /** Silence before its first answer after which a resumable stream goes elsewhere, in milliseconds. */
        const val SILENT_START_MS = 4_000L

        /** Time for a connection to open, in milliseconds: some ways there and back. */
        const val CONNECT_TIMEOUT_MS = 400L

        /** Time below which a repeat is not worth its send, in milliseconds. */
        const val MIN_TIME_FOR_REPEAT_MS = 60L
    }
}
