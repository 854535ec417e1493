/*
 * Runs model requests as token streams that resume after a connection stalls or an engine fails. For each request, one
 * coroutine passes the events of all attempts to the stream's state machine.
 */
package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.endpoint.EngineCompletion
import io.daisybend.daemon.endpoint.EngineFailure
import io.daisybend.daemon.endpoint.EngineToken
import io.daisybend.daemon.request.Completion
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelDispatcher
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.OutputToken
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.dispatch.ExecutionStatus
import io.daisybend.dispatch.ProbeResult
import io.daisybend.dispatch.RetryBudgets
import io.daisybend.dispatch.StreamAction
import io.daisybend.dispatch.StreamEvent
import io.daisybend.dispatch.StreamSettings
import io.daisybend.dispatch.StreamTarget
import io.daisybend.dispatch.StreamToken
import io.daisybend.dispatch.TokenStream
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.Timeline
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

internal class ResumingModelDispatcher(
    private val access: ModelAccess,
    private val engines: EngineClient,
    private val clock: MillisClock,
    private val timeline: Timeline,
    private val cancellationScope: CoroutineScope,
    private val settings: StreamSettings = StreamSettings(),
    private val budgets: RetryBudgets = RetryBudgets(),
) : ModelDispatcher {
    override suspend fun run(
        request: ModelRequest,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure> = access.acquire(request).andThen { grant ->
        budgets.countRequest(grant.endpoint.endpointId, request.caller.teamId)
        coroutineScope { StreamRun(request, grant, this, onToken).run() }
    }

    private inner class StreamRun(
        private val request: ModelRequest,
        @Volatile private var initialGrant: EndpointGrant?,
        private val scope: CoroutineScope,
        private val onToken: suspend (OutputToken) -> Unit,
    ) {
        private val events = Channel<StreamEvent>(MAX_BUFFERED_EVENTS)
        private val grants = ConcurrentHashMap<Int, EndpointGrant>()
        private val jobs = mutableMapOf<Int, Job>()
        private val generatedText = StringBuilder()

        @Volatile
        private var latestEndpointId: EndpointId = checkNotNull(initialGrant).endpoint.endpointId
        private var result: Result<Completion, RequestFailure>? = null
        private val stream = TokenStream(
            requestId = request.requestId,
            deadlineMs = request.deadlineMs,
            retryPermit = { budgets.tryAcquireRetry(latestEndpointId, request.caller.teamId) },
            settings = settings,
        )

        suspend fun run(): Result<Completion, RequestFailure> {
            try {
                handleEvent(StreamEvent.Started)
                while (true) {
                    result?.let { return it }
                    handleEvent(withTimeoutOrNull(TICK_INTERVAL_MS) { events.receive() } ?: StreamEvent.Tick)
                }
            } finally {
                withContext(NonCancellable) { cleanUp() }
            }
        }

        private suspend fun handleEvent(event: StreamEvent) {
            stream.handle(event, clock.nowMs()).forEach { perform(it) }
        }

        private suspend fun perform(action: StreamAction) {
            when (action) {
                is StreamAction.Open -> open(action)
                is StreamAction.Close -> jobs[action.attempt]?.cancel()
                is StreamAction.Probe -> probe(action.attempt, stream.nextIndex)
                is StreamAction.Deliver -> deliver(action.token)
                is StreamAction.Finish -> result = Ok(Completion(stream.nextIndex, action.reason))
                is StreamAction.Fail -> result = Err(failureOf(action))
            }
        }

        private suspend fun deliver(token: StreamToken) {
            generatedText.append(token.text)
            onToken(OutputToken(token.index, token.text))
        }

        private fun open(action: StreamAction.Open) {
            if (action.attempt > 0) recordResumption(action)
            val generatedPrefix = generatedText.toString()
            jobs[action.attempt] = scope.launch { runAttempt(action, generatedPrefix) }
        }

        private fun recordResumption(action: StreamAction.Open) = timeline.record(
            kind = "stream-resumed",
            requestId = request.requestId,
            teamId = request.caller.teamId,
            modelId = request.modelId,
            detail = "attempt ${action.attempt} from token ${action.fromIndex}",
        )

        private suspend fun runAttempt(action: StreamAction.Open, generatedPrefix: String) {
            acquireGrant(action.target).onSuccess { grant ->
                grants[action.attempt] = grant
                latestEndpointId = grant.endpoint.endpointId
                generate(action, grant, generatedPrefix)
            }.onFailure { events.send(StreamEvent.AttemptLost(action.attempt, ExecutionStatus.NotRun)) }
        }

        private suspend fun acquireGrant(target: StreamTarget): Result<EndpointGrant, RequestFailure> {
            val unusedGrant = initialGrant
            return when {
                unusedGrant != null -> Ok(unusedGrant.also { initialGrant = null })
                target is StreamTarget.SameEngine -> grants[target.attempt]?.let { Ok(it) } ?: access.acquire(request)
                target is StreamTarget.OtherReplica -> access.acquire(requestAvoiding(grants[target.attempt]))
                else -> access.acquire(request)
            }
        }

        private fun requestAvoiding(grant: EndpointGrant?) = request.copy(avoidEndpointId = grant?.endpoint?.endpointId)

        private suspend fun generate(action: StreamAction.Open, grant: EndpointGrant, generatedPrefix: String) {
            val completion = EngineCompletion(
                requestId = request.requestId,
                attempt = action.attempt,
                itemId = request.adapterId?.value ?: request.modelId.value,
                prompt = request.prompt,
                maxTokens = request.maxOutputTokens,
                fromTokenIndex = action.fromIndex,
                generatedText = generatedPrefix,
            )
            engines.complete(grant.endpoint, completion) { events.send(StreamEvent.TokenReceived(it.toStreamToken())) }
                .onFailure { events.send(StreamEvent.AttemptLost(action.attempt, it.executionStatus)) }
        }

        /** Probes the engine of [attempt]; an attempt that still waits for an endpoint counts as alive. */
        private fun probe(attempt: Int, deliveredTokens: Int) {
            val grant = grants[attempt]
            scope.launch {
                val waitingForEndpoint = ProbeResult.Alive(generatedTokens = deliveredTokens)
                val result = if (grant == null) waitingForEndpoint else probeEngine(grant)
                events.send(StreamEvent.ProbeEnded(attempt, result))
            }
        }

        private suspend fun probeEngine(grant: EndpointGrant): ProbeResult = engines.readState(grant.endpoint)
            .fold(success = { ProbeResult.Alive() }, failure = { ProbeResult.Unreachable })

        private suspend fun cleanUp() {
            jobs.values.forEach { it.cancelAndJoin() }
            val isCompleted = result?.isOk == true
            val heldGrants = (grants.values + listOfNotNull(initialGrant)).distinct()
            if (!isCompleted) heldGrants.forEach { grant -> cancellationScope.launch { cancel(grant) } }
            scope.coroutineContext[Job]?.children?.forEach { it.cancel() }
            heldGrants.forEach { it.release() }
        }

        private suspend fun cancel(grant: EndpointGrant) {
            withTimeoutOrNull(CANCEL_TIMEOUT_MS) { engines.cancel(grant.endpoint, request.requestId) }
        }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 100L
        const val MAX_BUFFERED_EVENTS = 64
        const val CANCEL_TIMEOUT_MS = 2_000L
    }
}

private fun EngineToken.toStreamToken() = StreamToken(requestId, attempt, index, text, finishReason)

private val EngineFailure.executionStatus: ExecutionStatus
    get() = when (this) {
        is EngineFailure.NotSent, is EngineFailure.Refused -> ExecutionStatus.NotRun
        is EngineFailure.OutcomeUnknown -> ExecutionStatus.Unknown
    }

private fun failureOf(action: StreamAction.Fail): RequestFailure {
    val retryAfterMs = if (action.status == ExecutionStatus.NotRun) RETRY_AFTER_MS else null
    return RequestFailure.Unavailable(action.failure.message, action.status.toRequestExecution(), retryAfterMs)
}

private const val RETRY_AFTER_MS = 1_000L
