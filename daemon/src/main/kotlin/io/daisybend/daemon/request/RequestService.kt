/*
 * Processes a caller's request independently of the caller protocol: authentication, validation against the
 * configuration, token reservation and dispatch. A request is cancelled if its key is withdrawn in the meantime.
 */
package io.daisybend.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import com.github.michaelbull.result.toResultOr
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.RouteSpec
import io.daisybend.daemon.lifecycle.Lifecycle
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.Timeline
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext

/** A completion request as parsed from the caller protocol. */
public data class CompletionCall(
    val requestId: RequestId,
    val key: String,
    val modelOrAdapterName: String,
    val prompt: String,
    val maxOutputTokens: Int?,
    val priority: Priority,
    val timeoutMs: Long,
)

/** A call to a plain service as parsed from the caller protocol; [key] is null if the caller sent none. */
public data class RouteCall(
    val requestId: RequestId,
    val key: String?,
    val routeName: String,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val idempotencyKey: String?,
    val timeoutMs: Long,
)

/** The components that [RequestService] uses. */
public class RequestServiceDependencies(
    public val authenticator: CallerAuthenticator,
    public val configuration: ConfigurationView,
    public val rates: RateLimiter,
    public val models: ModelDispatcher,
    public val services: ServiceDispatcher,
    public val addresses: AddressResolver,
)

/** Processes callers' requests. */
public class RequestService(
    private val dependencies: RequestServiceDependencies,
    private val lifecycle: Lifecycle,
    private val clock: MillisClock,
    private val timeline: Timeline,
) {
    /** Runs [call] and passes each token to [onToken]. A failure includes the execution status. */
    public suspend fun complete(
        call: CompletionCall,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure> = lifecycle.track(call.requestId) {
        dependencies.authenticator.authenticate(call.key)
            .andThen { caller -> resolveModelRequest(call, caller) }
            .andThen { request ->
                cancelOnKeyInvalidation(request.caller.keyId) { runWithReservation(request, onToken) }
            }
    }.also { recordEnd(call.requestId, it) }

    /** Runs [call] on a plain service. A failure includes the execution status. */
    public suspend fun callService(call: RouteCall): Result<ServiceResponse, RequestFailure> =
        lifecycle.track(call.requestId) {
            resolveServiceCall(call).andThen { resolvedCall ->
                timeline.record("request-accepted", call.requestId, resolvedCall.caller?.teamId)
                cancelOnKeyInvalidation(resolvedCall.caller?.keyId) { dependencies.services.run(resolvedCall) }
            }
        }.also { recordEnd(call.requestId, it) }

    /** Returns the models and adapters that the team of [key] may use; fails if [key] is not valid. */
    public fun modelsAndAdaptersFor(key: String): Result<List<String>, RequestFailure> =
        dependencies.authenticator.authenticate(key).andThen { caller ->
            configuration().map { index ->
                val team = index.team(caller.teamId)
                team?.modelIds.orEmpty().map { it.value } + team?.adapterIds.orEmpty().map { it.value }
            }
        }

    /** Returns the VMs that the team of [key] should use for [modelOrAdapterName]; fails if [key] is not valid. */
    public fun addressesFor(key: String, modelOrAdapterName: String?): Result<ResolvedAddresses, RequestFailure> =
        dependencies.authenticator.authenticate(key).map { caller ->
            val adapter = modelOrAdapterName?.let { dependencies.configuration.current()?.adapter(AdapterId(it)) }
            dependencies.addresses.addressesFor(caller.teamId, adapter?.modelId ?: modelOrAdapterName?.let(::ModelId))
        }

    private suspend fun runWithReservation(
        request: ModelRequest,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure> {
        timeline.record("request-accepted", request.requestId, request.caller.teamId, request.modelId)
        val reservedTokens = request.promptTokens + request.maxOutputTokens
        return dependencies.rates.reserve(request.caller.teamId, reservedTokens).andThen { reservation ->
            var outputTokens = 0L
            var mayHaveRun = false
            try {
                dependencies.models.run(request) { token ->
                    outputTokens++
                    onToken(token)
                }.also { mayHaveRun = it.execution() != ExecutionStatus.NOT_RUN }
            } finally {
                val usedTokens = if (mayHaveRun || outputTokens > 0) request.promptTokens + outputTokens else 0
                withContext(NonCancellable) { reservation.settle(usedTokens) }
            }
        }
    }

    private suspend fun <T> cancelOnKeyInvalidation(
        keyId: KeyId?,
        work: suspend () -> Result<T, RequestFailure>,
    ): Result<T, RequestFailure> = if (keyId == null) {
        work()
    } else {
        coroutineScope {
            val keyInvalidation = CompletableDeferred<RequestFailure>()
            val keyWatch = launch { keyInvalidation.complete(dependencies.authenticator.awaitKeyInvalidation(keyId)) }
            val pendingResult = async { work() }
            val result = select {
                pendingResult.onAwait { it }
                keyInvalidation.onAwait { reason ->
                    pendingResult.cancelAndJoin()
                    Err(reason)
                }
            }
            keyWatch.cancel()
            result
        }
    }

    private fun configuration(): Result<ConfigurationIndex, RequestFailure> =
        dependencies.configuration.current().toResultOr {
            RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS)
        }

    private fun resolveModelRequest(call: CompletionCall, caller: Caller): Result<ModelRequest, RequestFailure> =
        configuration().andThen { index ->
            val adapter = index.adapter(AdapterId(call.modelOrAdapterName))
            val model = index.model(adapter?.modelId ?: ModelId(call.modelOrAdapterName))
            when {
                model == null ->
                    Err(RequestFailure.NotFound("expected a configured model, got `${call.modelOrAdapterName}`"))
                !index.allows(caller.teamId, model.modelId, adapter?.adapterId) ->
                    Err(
                        RequestFailure.Forbidden(
                            "expected a model that the team may use, got `${call.modelOrAdapterName}`",
                        ),
                    )
                else -> validateRequest(call, caller, model, adapter?.adapterId)
            }
        }

    private fun validateRequest(
        call: CompletionCall,
        caller: Caller,
        model: ModelSpec,
        adapterId: AdapterId?,
    ): Result<ModelRequest, RequestFailure> {
        val maxOutputTokens = call.maxOutputTokens ?: model.maxOutputTokens
        if (maxOutputTokens !in 1..model.maxOutputTokens) {
            val expectedRange = "expected max_tokens from 1 to ${model.maxOutputTokens}"
            return Err(RequestFailure.Invalid("$expectedRange, got $maxOutputTokens"))
        }
        return Ok(
            ModelRequest(
                requestId = call.requestId,
                caller = caller,
                modelId = model.modelId,
                adapterId = adapterId,
                prompt = call.prompt,
                promptTokens = estimateTokens(call.prompt),
                maxOutputTokens = maxOutputTokens,
                priority = call.priority,
                deadlineMs = clock.nowMs() + call.timeoutMs,
            ),
        )
    }

    private fun resolveServiceCall(call: RouteCall): Result<ServiceCall, RequestFailure> =
        configuration().andThen { index ->
            index.route(call.routeName)
                .toResultOr { RequestFailure.NotFound("expected a configured route, got `${call.routeName}`") }
                .andThen { route ->
                    authorizeCaller(call, route).map { caller ->
                        ServiceCall(
                            requestId = call.requestId,
                            caller = caller,
                            route = route,
                            method = call.method,
                            path = call.path,
                            contentType = call.contentType,
                            body = call.body,
                            idempotencyKey = call.idempotencyKey,
                            deadlineMs = clock.nowMs() + call.timeoutMs,
                        )
                    }
                }
        }

    private fun authorizeCaller(call: RouteCall, route: RouteSpec): Result<Caller?, RequestFailure> {
        if (route.openToAll) return dependencies.authenticator.checkConfirmed().map { null }
        val key = call.key ?: return Err(RequestFailure.Unauthenticated("expected a bearer key, got none"))
        return dependencies.authenticator.authenticate(key).andThen { caller ->
            if (caller.teamId in route.teamIds) {
                Ok(caller)
            } else {
                Err(RequestFailure.Forbidden("expected a route that the team may use, got `${route.name}`"))
            }
        }
    }

    private fun recordEnd(requestId: RequestId, result: Result<*, RequestFailure>) {
        result
            .onSuccess { timeline.record("request-completed", requestId) }
            .onFailure { timeline.record("request-failed", requestId, detail = "${it.type} ${it.execution.wireValue}") }
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}

private fun ConfigurationIndex.allows(teamId: TeamId, modelId: ModelId, adapterId: AdapterId?): Boolean {
    val team = team(teamId) ?: return false
    return if (adapterId == null) modelId in team.modelIds else adapterId in team.adapterIds
}

private fun Result<*, RequestFailure>.execution(): ExecutionStatus {
    var status = ExecutionStatus.COMPLETED
    onFailure { status = it.execution }
    return status
}

private const val CHARS_PER_TOKEN = 4

private fun estimateTokens(prompt: String): Long = 1L + prompt.length / CHARS_PER_TOKEN
