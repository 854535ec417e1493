/*
 * Calls model engines over HTTP with JSON and server-sent events; docs/STANDINS.md specifies the protocol.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.kernel.RequestId
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLineStrict
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.net.ConnectException

@Serializable
private data class EngineCancellation(val requestId: RequestId)

@Serializable
private data class EngineFence(val fence: Long)

internal class HttpEngineClient(private val client: HttpClient, private val controlTimeoutMs: Long) : EngineClient {
    override suspend fun complete(
        endpoint: EndpointSpec,
        completion: EngineCompletion,
        onToken: suspend (EngineToken) -> Unit,
    ): Result<Unit, EngineFailure> = catchFailures(endpoint) {
        val body = json.encodeToString(EngineCompletion.serializer(), completion)
        client.preparePost(endpoint.url("/completions")) { jsonBody(body) }.execute { response ->
            if (response.status.isSuccess()) response.readTokens(endpoint, onToken) else response.toRefusal(endpoint)
        }
    }

    override suspend fun cancel(endpoint: EndpointSpec, requestId: RequestId): Result<Unit, EngineFailure> =
        catchFailures(endpoint) {
            val body = json.encodeToString(EngineCancellation.serializer(), EngineCancellation(requestId))
            client.post(endpoint.url("/cancel")) { jsonBody(body) }
            Ok(Unit)
        }

    override suspend fun sendOrder(
        endpoint: EndpointSpec,
        order: EngineOrder,
    ): Result<EngineOrderAnswer, EngineFailure> =
        catchFailures(endpoint) {
            val body = json.encodeToString(EngineOrder.serializer(), order)
            client.post(endpoint.url("/control/orders")) { jsonBody(body) }.parse(endpoint, orderAnswerSerializer)
        }

    override suspend fun raiseFence(endpoint: EndpointSpec, fence: Long): Result<EngineOrderAnswer, EngineFailure> =
        catchFailures(endpoint) {
            val body = json.encodeToString(EngineFence.serializer(), EngineFence(fence))
            val response = client.post(endpoint.url("/control/fence")) {
                jsonBody(body)
                controlTimeout()
            }
            response.parse(endpoint, orderAnswerSerializer)
        }

    override suspend fun readState(endpoint: EndpointSpec): Result<EngineState, EngineFailure> =
        catchFailures(endpoint) {
            client.get(endpoint.url("/control/state")) { controlTimeout() }.parse(endpoint, EngineState.serializer())
        }

    private fun HttpRequestBuilder.controlTimeout() = timeout { requestTimeoutMillis = controlTimeoutMs }

    private suspend fun HttpResponse.readTokens(
        endpoint: EndpointSpec,
        onToken: suspend (EngineToken) -> Unit,
    ): Result<Unit, EngineFailure> {
        val channel = bodyAsChannel()
        var isFinished = false
        while (!isFinished) {
            val line = channel.readLineStrict(MAX_LINE_CHARS)
                ?: return Err(
                    EngineFailure.OutcomeUnknown("expected a last token from ${endpoint.endpointId}, the stream ended"),
                )
            if (line.startsWith(DATA_PREFIX)) {
                val token = json.decodeFromString(EngineToken.serializer(), line.removePrefix(DATA_PREFIX))
                onToken(token)
                isFinished = token.finishReason != null
            }
        }
        return Ok(Unit)
    }

    private companion object {
        const val DATA_PREFIX = "data: "
        const val MAX_LINE_CHARS = 1L shl 20
        val orderAnswerSerializer = EngineOrderAnswer.serializer()
    }
}

private val json = Json { ignoreUnknownKeys = true }

private fun EndpointSpec.url(path: String) = "http://$address$path"

private fun HttpRequestBuilder.jsonBody(body: String) {
    contentType(ContentType.Application.Json)
    setBody(body)
}

private suspend fun <T> catchFailures(
    endpoint: EndpointSpec,
    block: suspend () -> Result<T, EngineFailure>,
): Result<T, EngineFailure> = try {
    block()
} catch (cancelled: CancellationException) {
    throw cancelled
} catch (exception: ConnectException) {
    Err(EngineFailure.NotSent("expected a connection to ${endpoint.endpointId}, got ${exception.javaClass.simpleName}"))
} catch (exception: Exception) {
    Err(
        EngineFailure.OutcomeUnknown(
            "expected an answer from ${endpoint.endpointId}, got ${exception.javaClass.simpleName}",
        ),
    )
}

private suspend fun <T> HttpResponse.parse(
    endpoint: EndpointSpec,
    serializer: KSerializer<T>,
): Result<T, EngineFailure> =
    if (status.isSuccess()) {
        Ok(json.decodeFromString(serializer, bodyAsText()))
    } else {
        Err(EngineFailure.OutcomeUnknown("expected a success from ${endpoint.endpointId}, got status ${status.value}"))
    }

private fun HttpResponse.toRefusal(endpoint: EndpointSpec): Result<Unit, EngineFailure> =
    if (status.value == CONFLICT_STATUS) {
        Err(EngineFailure.Refused("expected ${endpoint.endpointId} to hold the model, it does not"))
    } else {
        Err(EngineFailure.OutcomeUnknown("expected a success from ${endpoint.endpointId}, got status ${status.value}"))
    }

private const val CONFLICT_STATUS = 409
