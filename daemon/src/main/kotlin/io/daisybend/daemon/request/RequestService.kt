/*
 * Takes a caller's request through its steps: authentication, checks against the configuration, the reservation of
 * tokens, and the dispatch. It knows no caller protocol. A request ends early when its key is withdrawn.
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

/** A request for a completion as a caller protocol understood it; [itemName] is a model or an adapter. */
public data class CompletionCall(
    val requestId: RequestId,
    val key: String,
    val itemName: String,
    val prompt: String,
    val maxOutputTokens: Int?,
    val priority: Priority,
    val timeoutMs: Long,
)

/** A call to a plain service as a caller protocol understood it; [key] is null when none came. */
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

/** The parts that a request passes through. */
public class RequestSteps(
    public val authenticator: CallerAuthenticator,
    public val configuration: ConfigurationView,
    public val rates: RateLimiter,
    public val models: ModelDispatcher,
    public val services: ServiceDispatcher,
    public val addresses: AddressResolver,
)

/** Serves callers' requests through [steps]. */
public class RequestService(
    private val steps: RequestSteps,
    private val lifecycle: Lifecycle,
    private val clock: MillisClock,
    private val timeline: Timeline,
) {
    /** Runs [call] and passes each token to [onToken]; fails with what is known about its execution. */
    public suspend fun complete(
        call: CompletionCall,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure> = lifecycle.track(call.requestId) {
        steps.authenticator.authenticate(call.key)
            .andThen { caller -> modelRequest(call, caller) }
            .andThen { request -> untilWithdrawn(request.caller.keyId) { runReserved(request, onToken) } }
    }.also { recordEnd(call.requestId, it) }

    /** Runs [call] on a plain service; fails with what is known about its execution. */
    public suspend fun callService(call: RouteCall): Result<ServiceResponse, RequestFailure> =
        lifecycle.track(call.requestId) {
            serviceCall(call).andThen { checked ->
                timeline.record("request-accepted", call.requestId, checked.caller?.teamId)
                untilWithdrawn(checked.caller?.keyId) { steps.services.run(checked) }
            }
        }.also { recordEnd(call.requestId, it) }

    /** Returns the models and adapters that the team of [key] may use; fails when the key is not valid. */
    public fun itemsFor(key: String): Result<List<String>, RequestFailure> =
        steps.authenticator.authenticate(key).andThen { caller ->
            configuration().map { index ->
                val team = index.team(caller.teamId)
                team?.modelIds.orEmpty().map { it.value } + team?.adapterIds.orEmpty().map { it.value }
            }
        }

    /** Returns which VMs the team of [key] should use for [itemName]; fails when the key is not valid. */
    public fun addressesFor(key: String, itemName: String?): Result<ResolvedAddresses, RequestFailure> =
        steps.authenticator.authenticate(key).map { caller ->
            val adapter = itemName?.let { steps.configuration.current()?.adapter(AdapterId(it)) }
            steps.addresses.addressesFor(caller.teamId, adapter?.modelId ?: itemName?.let(::ModelId))
        }

    private suspend fun runReserved(
        request: ModelRequest,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure> {
        timeline.record("request-accepted", request.requestId, request.caller.teamId, request.modelId)
        val reservedTokens = request.promptTokens + request.maxOutputTokens
        return steps.rates.reserve(request.caller.teamId, reservedTokens).andThen { reservation ->
            var outputTokens = 0L
            var ran = false
            try {
                steps.models.run(request) { token ->
                    outputTokens++
                    onToken(token)
                }.also { ran = it.execution() != ExecutionStatus.NOT_RUN }
            } finally {
                val usedTokens = if (ran || outputTokens > 0) request.promptTokens + outputTokens else 0
                withContext(NonCancellable) { reservation.settle(usedTokens) }
            }
        }
    }

    private suspend fun <T> untilWithdrawn(
        keyId: KeyId?,
        work: suspend () -> Result<T, RequestFailure>,
    ): Result<T, RequestFailure> = if (keyId == null) {
        work()
    } else {
        coroutineScope {
            val keyEnded = CompletableDeferred<RequestFailure>()
            val watch = launch { keyEnded.complete(steps.authenticator.awaitEndOfKey(keyId)) }
            val running = async { work() }
            val result = select {
                running.onAwait { it }
                keyEnded.onAwait { reason ->
                    running.cancelAndJoin()
                    Err(reason)
                }
            }
            watch.cancel()
            result
        }
    }

    private fun configuration(): Result<ConfigurationIndex, RequestFailure> =
        steps.configuration.current().toResultOr {
            RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS)
        }

    private fun modelRequest(call: CompletionCall, caller: Caller): Result<ModelRequest, RequestFailure> =
        configuration().andThen { index ->
            val adapter = index.adapter(AdapterId(call.itemName))
            val model = index.model(adapter?.modelId ?: ModelId(call.itemName))
            when {
                model == null -> Err(RequestFailure.NotFound("expected a configured model, got `${call.itemName}`"))
                !index.allows(caller.teamId, model.modelId, adapter?.adapterId) ->
                    Err(RequestFailure.Forbidden("expected a model that the team may use, got `${call.itemName}`"))
                else -> checkedRequest(call, caller, model, adapter?.adapterId)
            }
        }

    private fun checkedRequest(
        call: CompletionCall,
        caller: Caller,
        model: ModelSpec,
        adapterId: AdapterId?,
    ): Result<ModelRequest, RequestFailure> {
        val maxOutputTokens = call.maxOutputTokens ?: model.maxOutputTokens
        if (maxOutputTokens !in 1..model.maxOutputTokens) {
            val expected = "expected max_tokens from 1 to ${model.maxOutputTokens}"
            return Err(RequestFailure.Invalid("$expected, got $maxOutputTokens"))
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

    private fun serviceCall(call: RouteCall): Result<ServiceCall, RequestFailure> = configuration().andThen { index ->
        index.route(call.routeName)
            .toResultOr { RequestFailure.NotFound("expected a configured route, got `${call.routeName}`") }
            .andThen { route ->
                callerOf(call, route).map { caller ->
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

    private fun callerOf(call: RouteCall, route: RouteSpec): Result<Caller?, RequestFailure> {
        if (route.openToAll) return steps.authenticator.confirmCurrent().map { null }
        val key = call.key ?: return Err(RequestFailure.Unauthenticated("expected a bearer key, got none"))
        return steps.authenticator.authenticate(key).andThen { caller ->
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
