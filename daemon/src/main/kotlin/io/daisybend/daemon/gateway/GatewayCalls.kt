/*
 * Helpers that read callers' HTTP requests, with limits on body size and timeout, and send responses.
 */
package io.daisybend.daemon.gateway

import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.RequestId
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import java.util.UUID

/** Limits of the caller interface. */
public data class GatewayLimits(
    val maxBodyBytes: Long,
    val maxBufferedTokens: Int = 1_024,
    val maxConcurrentRequests: Int,
    val defaultTimeoutMs: Long,
    val maxTimeoutMs: Long,
)

internal const val REQUEST_ID_HEADER = "X-Request-Id"
internal const val EXECUTION_HEADER = "X-Execution-Status"
internal const val EARLIER_CALLS_HEADER = "X-Earlier-Calls"
internal const val TIMEOUT_HEADER = "X-Request-Timeout-Ms"
internal const val IDEMPOTENCY_HEADER = "Idempotency-Key"
private const val BEARER_PREFIX = "Bearer "
private const val MILLIS_PER_SECOND = 1_000L

internal fun ApplicationCall.newRequestId(): RequestId = RequestId(UUID.randomUUID().toString())

internal fun ApplicationCall.bearerKey(): String? =
    request.header(HttpHeaders.Authorization)?.takeIf { it.startsWith(BEARER_PREFIX) }?.removePrefix(BEARER_PREFIX)

internal fun ApplicationCall.requestedTimeoutMs(limits: GatewayLimits): Long =
    request.header(TIMEOUT_HEADER)?.toLongOrNull()?.coerceIn(1, limits.maxTimeoutMs) ?: limits.defaultTimeoutMs

/** Reads the body; returns null if it is larger than [maxBytes]. */
internal suspend fun ApplicationCall.readBounded(maxBytes: Long): ByteArray? {
    if ((request.contentLength() ?: 0) > maxBytes) return null
    val bytes = receiveChannel().readRemaining(maxBytes + 1).readByteArray()
    return bytes.takeIf { it.size <= maxBytes }
}

internal suspend fun ApplicationCall.refuse(requestId: RequestId, failure: RequestFailure) {
    response.header(REQUEST_ID_HEADER, requestId.value)
    response.header(EXECUTION_HEADER, failure.execution.wireValue)
    if (failure.earlierCallsMayHaveRun) response.header(EARLIER_CALLS_HEADER, ExecutionStatus.UNKNOWN.wireValue)
    failure.retryAfterMs?.let { retryAfterMs ->
        val retryAfterSeconds = (retryAfterMs + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
        response.header(HttpHeaders.RetryAfter, retryAfterSeconds.toString())
    }
    val status = HttpStatusCode.fromValue(failure.httpStatus)
    respondJson(status, ErrorBody.serializer(), failure.toBody(requestId.value))
}

internal suspend fun <T> ApplicationCall.respondJson(status: HttpStatusCode, type: KSerializer<T>, body: T) =
    respondText(gatewayJson.encodeToString(type, body), ContentType.Application.Json, status)
