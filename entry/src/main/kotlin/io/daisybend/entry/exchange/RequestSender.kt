/*
 * Sends one request, to several endpoints if necessary: selects an endpoint, sends, and lets the serving module decide
 * on the next step. The caller receives one response before its deadline, and the response does not claim that a
 * request did not run when it may have run.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.http.BodyFraming
import io.daisybend.entry.path.isDown
import io.daisybend.platform.attemptIdHeader
import io.daisybend.platform.promisesNotRun
import io.daisybend.platform.retryAfterHeader
import io.daisybend.serving.attempt.AttemptHistory
import io.daisybend.serving.attempt.NextStep
import io.daisybend.serving.attempt.SendOutcome
import io.daisybend.serving.attempt.nextStep
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.quarantine.SuspectRequest
import io.daisybend.serving.site.RouteKind
import io.daisybend.serving.stream.Continuation
import io.daisybend.serving.stream.SilenceLimits
import io.daisybend.serving.stream.SoftwareVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** Result of one send; [requestOutcome] is set if the caller has received its response. */
internal data class SendResult(
    val outcome: SendOutcome,
    val reason: String,
    val requestOutcome: RequestOutcome? = null,
    /** Whether the endpoint ended the connection before the end of its response. */
    val connectionEnded: Boolean = false,
    /** Whether the head of a response was received. */
    val headReceived: Boolean = true,
    /** Whether the request was not sent because the endpoint wanted none any more. */
    val isWithheld: Boolean = false,
)

/** Sends [admitted], which arrived on [connection]. */
internal class RequestSender(
    private val connection: CallerConnection,
    private val admitted: AdmittedRequest,
    connections: EndpointConnections,
    private val endpointPool: EndpointPool,
    private val endDetector: EngineEndDetector,
    engineRuns: EngineRuns,
    responseMemory: BodyMemory,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    private val sends = RequestSends(admitted, connections, endpointPool, log, steadyMs)
    private val recorder = SendRecorder(admitted, endpointPool.outcomes, log, steadyMs)
    private val offers =
        EngineOffers(admitted, endpointPool, endDetector, engineRuns, sends, recorder, log, steadyMs, ::offeredRequest)

    /** Ids of the endpoints that the request was sent to, in order. */
    val endpointsUsed: List<String> get() = sends.endpointsUsed

    /** What is known of each send, in order, for the log. */
    val sendStates: List<String> get() = sends.describe()

    /** Records that the caller left before the end of its response. */
    fun onCallerLeft() = streamBinding.onInterrupted()

    /** Whether an endpoint may run, or may have run, the request. */
    val mayHaveRun: Boolean get() = sends.mayHaveRun

    /** Total time spent waiting for an endpoint, in milliseconds. */
    var waitedMs = 0L
        private set

    /** Time from the arrival of the request to the first piece of its response, in milliseconds. */
    val firstPieceMs: Long? get() = relay.firstPieceMs

    /** What marked the end of the response that was received completely, or null. */
    val endMark: BodyFraming? get() = relay.endMark

    /** Number of complete events that the last endpoint sent. */
    val eventCount: Int get() = lastExchange?.progress?.eventCount ?: 0

    private val streamBinding = endpointPool.bindStream(admitted)
    private val handover = SilentEngineHandover(offers, steadyMs)
    private val relay =
        ResponseRelay(
            connection,
            admitted,
            endpointPool,
            endDetector,
            streamBinding,
            responseMemory,
            handover,
            steadyMs,
        )
    private val failedEndpoints = HashSet<String>()
    private val excludedEndpoints: Set<String> get() = failedEndpoints + offers.failedEndpoints
    private var sendsWithoutPath = 0

    /** The version of the engines' software that the stream has to go on at, or null. */
    var requiredVersion: SoftwareVersion? = null
        private set

    private var lastExchange: TrackedExchange? = null

    /** The check whether the endpoint of the last send has ended, if it has begun. */
    private var endCheck: Deferred<Boolean>? = null

    private val remainingMs: Long get() = admitted.deadlineAtMs - steadyMs()

    /** Sends the request until the caller has a response; unfinished writes of a send continue in [scope]. */
    suspend fun sendUntilAnswered(scope: CoroutineScope): RequestOutcome {
        offers.writeScope = scope
        try {
            return sendRepeatedly(scope)
        } finally {
            offers.withdraw()
        }
    }

    private suspend fun sendRepeatedly(scope: CoroutineScope): RequestOutcome {
        while (true) {
            val send = offers.takeAccepted() ?: when (val selection = selectAndCount()) {
                is EndpointSelection.Selected -> sends.begin(selection)
                is EndpointSelection.Unavailable -> return onUnavailable(selection)
            }
            val result = complete(scope, send)
            result.requestOutcome?.let { return it }
            if (offers.accepted != null) {
                onHandedOver(send.endpoint, result)
                continue
            }
            val endpoint = send.endpoint
            if (hasNoPath(result, endpoint)) sendsWithoutPath++
            val hasEnded = hasEndedUnder(result, endpoint)
            when (decideNextStep(result, endpoint, hasEnded)) {
                NextStep.SendElsewhere -> Unit
                NextStep.RefuseUnrun -> return refuse(
                    if (sendsWithoutPath > 0) {
                        CUT_OFF_RETRY_AFTER_MS
                    } else {
                        endpointPool.servedInMs(admitted, requiredVersion)
                    },
                    "endpoints refused: ${result.reason}",
                )
                NextStep.FailUnknown, NextStep.PassOn -> return fail(result.reason)
            }
        }
    }

    private suspend fun selectAndCount(): EndpointSelection {
        val waitStartedAtMs = steadyMs()
        return select().also { waitedMs += steadyMs() - waitStartedAtMs }
    }

    private fun offeredRequest(): OfferedRequest? = lastExchange?.let {
        OfferedRequest(
            engine = it.endpoint,
            lastEventId = relay.lastEventId,
            failedEndpoints = failedEndpoints.toSet(),
            receivedEvents = it.progress.eventCount,
            isFromStart =
            !admitted.takesUpStream && sends.endpointsUsed.lastIndexOf(it.endpoint.incarnation.id) == 0,
        )
    }

    private fun onHandedOver(silent: Endpoint, result: SendResult) {
        failedEndpoints.add(silent.incarnation.id)
        log.write(
            "handed-over",
            "request" to admitted.request.attemptId,
            "from" to silent.incarnation.id,
            "to" to offers.accepted?.endpoint?.incarnation?.id,
            "reason" to result.reason,
            "events" to lastExchange?.progress?.eventCount,
        )
    }

    /** Answers a caller whose request this VM can't finish because it stops; ends a response that has begun. */
    suspend fun answerAtShutdown(): RequestOutcome {
        val reason = "this VM stopped before the response was complete"
        return if (mayHaveRun) fail(reason) else refuse(SendDeadlines.SHUTDOWN_RETRY_AFTER_MS, reason)
    }

    private suspend fun select(): EndpointSelection = when (val continuation = streamBinding.continuation()) {
        Continuation.Anywhere ->
            endpointPool.select(admitted, EndpointCandidates(excludedEndpoints, mayHaveRun = mayHaveRun))
        is Continuation.AtVersion -> {
            requiredVersion = continuation.version
            endpointPool.select(admitted, EndpointCandidates(excludedEndpoints, continuation.version, mayHaveRun))
        }
        Continuation.Unknown -> EndpointSelection.Unavailable(
            "the version that began the stream ${admitted.caller.resumedAttemptId} is unknown",
            UNKNOWN_ORIGIN_RETRY_AFTER_MS,
        )
    }

    /** Returns whether [endpoint] ended, maybe because it began to run the request; waits for that only for a retry. */
    private suspend fun hasEndedUnder(result: SendResult, endpoint: Endpoint): Boolean {
        val events = lastExchange?.progress?.eventCount ?: 0
        if (result.connectionEnded && result.headReceived) endpointPool.outcomes.recordConnectionLost(endpoint)
        if (!result.connectionEnded || events >= ResponseRelay.PROVEN_EVENTS) return false
        // The requests that such an endpoint turned away, and not the one that ran, ended it.
        if (endpointPool.outcomes.mayHaveFallen(endpoint)) return false
        val check = endCheck ?: checkEnd(endpoint, result.headReceived)
        return admitted.route.mayRetry && check.await()
    }

    /** Checks whether [endpoint], which ended the connection, has ended under the request. */
    private fun checkEnd(endpoint: Endpoint, headReceived: Boolean): Deferred<Boolean> {
        val prompt = admitted.sharedPartIds.takeIf { it.isNotEmpty() }
            ?.let { SuspectRequest(it, hasStarted = headReceived) }
        // Which engines run a request without a response head is unknown, so fingerprints carry no such claim.
        val request = SuspectRequest(listOf(endpointPool.outcomes.fingerprintOf(admitted).part), hasStarted = false)
        return endDetector.onBroken(endpoint, admitted.request.attemptId, listOfNotNull(prompt, request))
    }

    /** Whether only the direct path to [endpoint] is to blame for [result], so that the endpoint may be used again. */
    private fun isReachedThroughPeer(result: SendResult, endpoint: Endpoint): Boolean =
        endpointPool.outcomes.paths.isDown(endpoint) &&
            (result.outcome !is SendOutcome.NotSent || endpointPool.outcomes.paths.isCutOff)

    /** Whether this VM is cut off and no peer could help with the send that has [result]. */
    private fun hasNoPath(result: SendResult, endpoint: Endpoint): Boolean =
        result.outcome is SendOutcome.NotSent &&
            !result.isWithheld &&
            endpointPool.outcomes.paths.isCutOff &&
            endpointPool.outcomes.paths.isDown(endpoint)

    private fun decideNextStep(result: SendResult, endpoint: Endpoint, hasEnded: Boolean): NextStep {
        // An engine that refused the request may hold the model soon, a paused endpoint takes requests again, and a
        // peer reaches one to which only the path is down, so they are not excluded here.
        val mayAcceptLater = result.isWithheld ||
            endpointPool.outcomes.isPaused(endpoint) ||
            isReachedThroughPeer(result, endpoint) ||
            (result.outcome is SendOutcome.RejectedUnrun && mayTakeLater(endpoint))
        if (!mayAcceptLater) failedEndpoints.add(endpoint.incarnation.id)
        val mayEndEngines = hasEnded && endpointPool.outcomes.mayEndEngines(admitted)
        val history = AttemptHistory(sends.attempts, mayHaveRun, mayEndEngines)
        val step = nextStep(admitted.route, history, result.outcome, if (sendsWithoutPath > 1) 0 else remainingMs) {
            endpointPool.takeRetry(admitted.service.name)
        }
        log.write(
            "send-failed",
            "request" to admitted.request.attemptId,
            "endpoint" to endpoint.incarnation.id,
            "outcome" to result.outcome.toString(),
            "reason" to result.reason,
            "sends" to sends.describe(),
            "events" to lastExchange?.progress?.eventCount,
            "parts" to admitted.sharedPartIds.ifEmpty { null },
            "next" to step.toString(),
        )
        return step
    }

    private fun mayTakeLater(endpoint: Endpoint): Boolean =
        admitted.service.engine != null || endpointPool.outcomes.isBrittle(endpoint)

    private suspend fun onUnavailable(selection: EndpointSelection.Unavailable): RequestOutcome =
        if (mayHaveRun) fail(selection.reason) else refuse(selection.retryAfterMs, selection.reason)

    private suspend fun refuse(retryAfterMs: Long, reason: String): RequestOutcome {
        if (connection.headWritten) return abortResponse(reason)
        val headers = listOf(attemptIdHeader(admitted.request.attemptId), retryAfterHeader(retryAfterMs))
        connection.writeResponse(STATUS_UNAVAILABLE, headers, ByteArray(0))
        return RequestOutcome(STATUS_UNAVAILABLE, reason, "not_run")
    }

    private suspend fun fail(reason: String): RequestOutcome {
        if (connection.headWritten) return abortResponse(reason)
        val status = if (remainingMs <= 0) STATUS_TIMEOUT else STATUS_BAD_GATEWAY
        connection.writeResponse(status, listOf(attemptIdHeader(admitted.request.attemptId)), ByteArray(0))
        return RequestOutcome(status, reason, "unknown")
    }

    private fun abortResponse(reason: String): RequestOutcome {
        connection.mustClose = true
        streamBinding.onInterrupted()
        return RequestOutcome(STATUS_BAD_GATEWAY, "broken off: $reason", "unknown")
    }

    /** Waits for the response to [send] unless there is one, and passes it to the caller. */
    private suspend fun complete(scope: CoroutineScope, send: Send): SendResult {
        lastExchange = send.tracked
        endCheck = null
        try {
            val start = send.start ?: awaitFirstResponse(scope, send)
            return when (start) {
                is SendStart.NotSent -> {
                    recorder.onNotSent(send, start)
                    SendResult(SendOutcome.NotSent, start.reason, isWithheld = start.isWithheld)
                }
                is SendStart.NoResponse -> onNoResponse(send.endpoint, start)
                is SendStart.HeadReceived -> onResponse(send.endpoint, start, send.tracked)
            }
        } finally {
            handover.reset()
            sends.end(send)
        }
    }

    /** Waits for the response to [send]; a silent engine keeps the request until another one has accepted it. */
    private suspend fun awaitFirstResponse(scope: CoroutineScope, send: Send): SendStart {
        val startedAtMs = steadyMs()
        val isHandedOver = withTimeoutOrNull(remainingMs.coerceAtLeast(1)) {
            coroutineScope {
                val sending = async(start = CoroutineStart.UNDISPATCHED) {
                    sends.transmit(send, relay.lastEventId, scope)
                }
                val hasStarted = !admitted.route.resumable ||
                    handover.awaitStep(this, sending, startedAtMs, SilenceLimits.firstResponse)
                if (!hasStarted) sending.cancelAndJoin()
                !hasStarted || isHandedOverAfter(send)
            }
        }
        val start = send.start
        val isTakenBack = isHandedOver == true && (start == null || start is SendStart.HeadReceived)
        if (!isTakenBack || start.isKnownUnrun) return start ?: SendStart.NoResponse("no answer in time")
        send.received?.exchange?.abort()
        return SendStart.NoResponse("no answer, and another engine has accepted the request")
    }

    /** Waits for the pending offer if [send] was refused or failed, else takes it back; returns if it was accepted. */
    private suspend fun isHandedOverAfter(send: Send): Boolean {
        val received = send.received
        if (received == null || received.headers.didNotRun || received.head.status >= FIRST_SERVER_ERROR) {
            // An engine that restarts accepts connections again before the offer is decided.
            val hasBroken = (send.start as? SendStart.NoResponse)?.connectionEnded == true
            if (hasBroken && !endpointPool.outcomes.mayHaveFallen(send.endpoint)) {
                endCheck = checkEnd(send.endpoint, headReceived = false)
            }
            return handover.awaitOffer()
        }
        handover.cancelOffer()
        return false
    }

    private fun onNoResponse(endpoint: Endpoint, start: SendStart.NoResponse): SendResult {
        recorder.onNoResponse(endpoint, start)
        val isEnded = start.connectionEnded
        return SendResult(SendOutcome.Unknown, start.reason, connectionEnded = isEnded, headReceived = false)
    }

    private suspend fun onResponse(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
    ): SendResult {
        val status = response.head.status
        if (response.headers.didNotRun) {
            recorder.onRejection(endpoint, response)
            return SendResult(SendOutcome.RejectedUnrun(status), "status $status, not run")
        }
        recorder.onHead(endpoint, response)
        if (status !in SUCCESS) return onEndpointFailure(endpoint, response, tracked)
        if (!response.headers.sealed) {
            response.exchange.abort()
            endpointPool.outcomes.recordFailure(endpoint)
            return SendResult(SendOutcome.Unknown, "status $status without a seal")
        }
        endpointPool.outcomes.recordSuccess(endpoint)
        return if (admitted.route.kind == RouteKind.STREAM) {
            relay.relayStream(endpoint, response, tracked)
        } else {
            relay.relayWhole(endpoint, response, tracked)
        }
    }

    private suspend fun onEndpointFailure(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
    ): SendResult {
        val status = response.head.status
        if (status >= FIRST_SERVER_ERROR) endpointPool.outcomes.recordFailure(endpoint)
        if (connection.headWritten) return SendResult(SendOutcome.Unknown, "status $status for the rest of a stream")
        val outcome = SendOutcome.AnsweredFailure(status)
        val shouldRetry = (status >= FIRST_SERVER_ERROR || promisesNotRun(status)) &&
            admitted.route.mayRetry &&
            sends.attempts < admitted.route.maxAttempts &&
            remainingMs > MIN_RETRY_TIME_MS &&
            endpointPool.hasAlternative(
                admitted,
                EndpointCandidates(excludedEndpoints + endpoint.incarnation.id, requiredVersion),
            )
        if (shouldRetry) return SendResult(outcome, "status $status")
        if (promisesNotRun(status)) {
            response.exchange.abort()
            val reason = "status $status that does not say that the request has not run"
            return SendResult(SendOutcome.Unknown, reason, requestOutcome = fail(reason))
        }
        return relay.relayWhole(endpoint, response, tracked).copy(outcome = outcome)
    }

    private companion object {
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_TIMEOUT = 504
        const val FIRST_SERVER_ERROR = 500
        val SUCCESS = 200..299

        /** Retry-After for a stream of unknown origin, in milliseconds: peers report within this time. */
        const val UNKNOWN_ORIGIN_RETRY_AFTER_MS = 500L

        /** Retry-After of a VM that is cut off while no peer can help, in milliseconds: partitions last for seconds. */
        const val CUT_OFF_RETRY_AFTER_MS = 1_000L

        /** Minimum time left for a retry, in milliseconds. */
        const val MIN_RETRY_TIME_MS = 60L
    }
}
