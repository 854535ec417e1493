/*
 * Dispatches calls to plain services. A repeatable call may be retried at each endpoint of its route, within the retry
 * budget. A non-idempotent call runs at most once: with an idempotency key across all VMs and repeated requests,
 * without a key in a single attempt.
 */
package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.endpoint.ServiceClient
import io.daisybend.daemon.endpoint.ServiceFailure
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceDispatcher
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.dispatch.CallRefusal
import io.daisybend.dispatch.CallResult
import io.daisybend.dispatch.EarlierCalls
import io.daisybend.dispatch.ExecutionStatus
import io.daisybend.dispatch.RetryBudgets
import io.daisybend.dispatch.StoredOutcome
import io.daisybend.dispatch.StoredResponse
import io.daisybend.dispatch.fingerprintOf
import io.daisybend.dispatch.requestKeyOf
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.daemon.request.ExecutionStatus as RequestExecution

internal class AtMostOnceServiceDispatcher(
    private val configuration: ConfigurationView,
    private val services: ServiceClient,
    private val callRunner: IdempotentCallRunner,
    private val budgets: RetryBudgets = RetryBudgets(),
) : ServiceDispatcher {
    override suspend fun run(call: ServiceCall): Result<ServiceResponse, RequestFailure> {
        val key = call.idempotencyKey
        return when {
            call.route.repeatable -> runRepeatable(call)
            key == null -> runSingleAttempt(call)
            else -> runWithKey(call, key)
        }
    }

    private suspend fun runRepeatable(call: ServiceCall): Result<ServiceResponse, RequestFailure> {
        var lastResult: Result<ServiceResponse, RequestFailure> = Err(noEndpointFailure(call))
        for ((attemptIndex, endpoint) in endpointsFor(configuration, call).withIndex()) {
            val isAllowed = if (attemptIndex == 0) countRequest(endpoint, call) else tryAcquireRetry(endpoint, call)
            if (!isAllowed) return lastResult
            val result = services.call(endpoint, call)
            lastResult = result.mapError { it.toRequestFailure() }
            if (result.isOk) return lastResult
        }
        return lastResult
    }

    private fun countRequest(endpoint: EndpointSpec, call: ServiceCall): Boolean {
        budgets.countRequest(endpoint.endpointId, call.teamId)
        return true
    }

    private fun tryAcquireRetry(endpoint: EndpointSpec, call: ServiceCall) =
        budgets.tryAcquireRetry(endpoint.endpointId, call.teamId)

    private suspend fun runSingleAttempt(call: ServiceCall): Result<ServiceResponse, RequestFailure> {
        val endpoint = endpointsFor(configuration, call).firstOrNull() ?: return Err(noEndpointFailure(call))
        return services.call(endpoint, call).mapError { it.toRequestFailure() }
    }

    private suspend fun runWithKey(call: ServiceCall, idempotencyKey: String): Result<ServiceResponse, RequestFailure> {
        val key = requestKeyOf(call.teamId, call.route.name, idempotencyKey)
        return callRunner.run(call, key, fingerprintOf(call.method, call.path, call.body)).toResult()
    }
}

/** Tries the endpoints of [call]'s route in order until one may have run it, so that the call never runs twice. */
internal suspend fun dispatchOnce(
    configuration: ConfigurationView,
    services: ServiceClient,
    call: ServiceCall,
): StoredOutcome {
    var outcome = StoredOutcome(ExecutionStatus.NotRun)
    for (endpoint in endpointsFor(configuration, call)) {
        outcome = services.call(endpoint, call).fold(success = { it.toOutcome() }, failure = { it.toOutcome() })
        if (outcome.status != ExecutionStatus.NotRun) return outcome
    }
    return outcome
}

private fun endpointsFor(configuration: ConfigurationView, call: ServiceCall): List<EndpointSpec> {
    val index = configuration.current() ?: return emptyList()
    val accepting = call.route.endpointIds.filter { index.acceptsNewWork(it) }
    return rankByRendezvous(call.requestId.value, accepting).mapNotNull { index.endpoint(it) }
}

private val ServiceCall.teamId: TeamId get() = caller?.teamId ?: TeamId("")

private fun ServiceResponse.toOutcome(): StoredOutcome {
    val status = if (httpStatus >= FIRST_SERVER_ERROR_STATUS) ExecutionStatus.Failed else ExecutionStatus.Completed
    return StoredOutcome(status, StoredResponse(httpStatus, contentType.orEmpty(), body))
}

private fun ServiceFailure.toOutcome(): StoredOutcome =
    when (this) {
        is ServiceFailure.NotSent -> StoredOutcome(ExecutionStatus.NotRun)
        is ServiceFailure.OutcomeUnknown -> StoredOutcome(ExecutionStatus.Unknown)
    }

private fun ServiceFailure.toRequestFailure(): RequestFailure =
    when (this) {
        is ServiceFailure.NotSent -> RequestFailure.Unavailable(message, RequestExecution.NOT_RUN, RETRY_AFTER_MS)
        is ServiceFailure.OutcomeUnknown -> RequestFailure.Unavailable(message, RequestExecution.UNKNOWN)
    }

private fun noEndpointFailure(call: ServiceCall) =
    RequestFailure.NotFound("expected an endpoint of route `${call.route.name}`, got none")

private fun CallResult.toResult(): Result<ServiceResponse, RequestFailure> =
    when (this) {
        is CallResult.Ended -> outcome.toResult(isReplayed = false)
        is CallResult.Replayed -> outcome.toResult(isReplayed = true)
        is CallResult.Refused -> Err(toRequestFailure())
        CallResult.StillRunning -> {
            val message = "expected the first request with this idempotency key to have ended, it is in progress"
            Err(RequestFailure.IdempotencyConflict(message, RequestExecution.IN_PROGRESS, RETRY_AFTER_MS))
        }
        CallResult.OutcomeUnknown -> {
            val message = "expected the outcome of the first request with this idempotency key, it is not known"
            Err(RequestFailure.Unavailable(message, RequestExecution.UNKNOWN))
        }
    }

private fun StoredOutcome.toResult(isReplayed: Boolean): Result<ServiceResponse, RequestFailure> {
    val stored = response
    if (stored != null) {
        val contentType = stored.contentType.ifEmpty { null }
        return Ok(ServiceResponse(stored.statusCode, contentType, stored.body, isReplayed, status.toRequestExecution()))
    }
    val execution = status.toRequestExecution()
    if (!isReplayed) return Err(RequestFailure.Unavailable("expected an answer, the connection broke", execution))
    val message = "expected the stored answer of the first request, it was not kept"
    return Err(RequestFailure.IdempotencyConflict(message, execution, retryAfterMs = null))
}

private fun CallResult.Refused.toRequestFailure(): RequestFailure {
    if (refusal is CallRefusal.KeyConflict) {
        return RequestFailure.IdempotencyConflict(refusal.message, RequestExecution.NOT_RUN, retryAfterMs = null)
    }
    val earlierCallsMayHaveRun = earlierCalls == EarlierCalls.UNKNOWN
    return RequestFailure.Unavailable(
        refusal.message,
        RequestExecution.NOT_RUN,
        RETRY_AFTER_MS,
        earlierCallsMayHaveRun,
    )
}

/** Returns the execution status that callers see. */
internal fun ExecutionStatus.toRequestExecution(): RequestExecution =
    when (this) {
        ExecutionStatus.NotRun -> RequestExecution.NOT_RUN
        ExecutionStatus.InProgress -> RequestExecution.IN_PROGRESS
        ExecutionStatus.Completed -> RequestExecution.COMPLETED
        ExecutionStatus.Failed -> RequestExecution.FAILED
        ExecutionStatus.Unknown -> RequestExecution.UNKNOWN
    }

private const val FIRST_SERVER_ERROR_STATUS = 500
private const val RETRY_AFTER_MS = 1_000L
