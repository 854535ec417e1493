/*
 * Run each request once on one endpoint, without resumption or retries. The first whole path uses them until attempts
 * and idempotency are accounted for.
 */
package io.daisybend.daemon.thin

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.toResultOr
import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.endpoint.EngineCompletion
import io.daisybend.daemon.endpoint.EngineFailure
import io.daisybend.daemon.endpoint.ServiceClient
import io.daisybend.daemon.endpoint.ServiceFailure
import io.daisybend.daemon.request.AnswerToken
import io.daisybend.daemon.request.Completion
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelDispatcher
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.daemon.request.ServiceAnswer
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceDispatcher

internal class DirectModelDispatcher(private val access: ModelAccess, private val engines: EngineClient) :
    ModelDispatcher {
    override suspend fun run(
        request: ModelRequest,
        onToken: suspend (AnswerToken) -> Unit,
    ): Result<Completion, RequestFailure> = access.acquire(request).andThen { grant ->
        try {
            runOn(grant, request, onToken)
        } finally {
            grant.release()
        }
    }

    private suspend fun runOn(
        grant: EndpointGrant,
        request: ModelRequest,
        onToken: suspend (AnswerToken) -> Unit,
    ): Result<Completion, RequestFailure> {
        var outputTokens = 0
        var finishReason = "stop"
        val completion = EngineCompletion(
            requestId = request.requestId,
            attempt = 1,
            itemId = request.adapterId?.value ?: request.modelId.value,
            prompt = request.prompt,
            maxTokens = request.maxOutputTokens,
        )
        return engines.complete(grant.endpoint, completion) { token ->
            outputTokens++
            token.finishReason?.let { finishReason = it }
            onToken(AnswerToken(token.index, token.text))
        }.map { Completion(outputTokens, finishReason) }.mapError { it.toRequestFailure() }
    }
}

private fun EngineFailure.toRequestFailure(): RequestFailure = when (this) {
    is EngineFailure.NotSent, is EngineFailure.Refused ->
        RequestFailure.Unavailable(message, ExecutionStatus.NOT_RUN, retryAfterMs = 1_000)
    is EngineFailure.Broken -> RequestFailure.Unavailable(message, ExecutionStatus.UNKNOWN)
}

internal class DirectServiceDispatcher(
    private val configuration: ConfigurationView,
    private val services: ServiceClient,
) : ServiceDispatcher {
    override suspend fun run(call: ServiceCall): Result<ServiceAnswer, RequestFailure> =
        call.route.endpointIds.firstNotNullOfOrNull { configuration.current()?.endpoint(it) }
            .toResultOr { RequestFailure.NotFound("expected an endpoint of route `${call.route.name}`, got none") }
            .andThen { endpoint -> services.call(endpoint, call).mapError { it.toRequestFailure() } }
}

private fun ServiceFailure.toRequestFailure(): RequestFailure = when (this) {
    is ServiceFailure.NotSent -> RequestFailure.Unavailable(message, ExecutionStatus.NOT_RUN, retryAfterMs = 1_000)
    is ServiceFailure.Broken -> RequestFailure.Unavailable(message, ExecutionStatus.UNKNOWN)
}
