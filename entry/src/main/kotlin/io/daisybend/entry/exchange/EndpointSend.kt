/*
 * One send of a request to one endpoint: opens or reuses a connection, writes the request, reads the answer's head and
 * checks that it belongs to the request.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.BodyReader
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionBroken
import io.daisybend.entry.http.Dialer
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.http.ResponseHead
import io.daisybend.entry.http.headBytes
import io.daisybend.entry.http.parseResponseHead
import io.daisybend.entry.http.readAll
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.http.writeAll
import io.daisybend.platform.EndpointResponseHeaders
import io.daisybend.platform.Header
import io.daisybend.platform.SendHeaders
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.headersForEndpoint
import io.daisybend.platform.readEndpointResponseHeaders
import io.daisybend.serving.endpoint.Endpoint
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.IOException

/** A request with its whole body, ready to be sent. */
internal class ReadyRequest(val head: RequestHead, val body: ByteArray, val attemptId: String)

/** How the start of a send ended. */
internal sealed interface SendStart {
    /** No byte of the request was written. */
    data class NotSent(val reason: String) : SendStart

    /** The request was written, and no answer to it can be read. */
    data class NoAnswer(val reason: String) : SendStart

    /** The head of the answer is there; its body follows. */
    class Answered(
        val head: ResponseHead,
        val meaning: EndpointResponseHeaders,
        val exchange: EndpointExchange,
    ) : SendStart
}

/** An exchange under way on one connection. */
internal class EndpointExchange(
    private val dialer: Dialer,
    private val connection: Connection,
    private val head: ResponseHead,
    private val writing: Job,
) {
    /** The answer's body. */
    val body = BodyReader(connection.source, head.framing)

    /** Ends the exchange; the connection is kept only when the exchange was whole. */
    fun finish() {
        val isWhole = body.isComplete && writing.isCompleted && !writing.isCancelled && head.keepAlive
        if (isWhole) dialer.keep(connection, head.keepAliveMs) else abort()
    }

    /** Ends the exchange and tells the endpoint to stop work. */
    fun abort() {
        writing.cancel()
        connection.close()
    }
}

/** Sends [request] to [endpoint]; the writing of a long body goes on in [scope]. */
internal suspend fun startSend(
    dialer: Dialer,
    scope: CoroutineScope,
    request: ReadyRequest,
    endpoint: Endpoint,
    headers: SendHeaders,
    connectTimeoutMs: Long,
): SendStart {
    val address = SocketAddress(endpoint.entry.host, endpoint.entry.port)
    val connection = dialer.takeIdle(address) ?: dialer.connect(address, connectTimeoutMs)
        ?: return SendStart.NotSent("no connection to $address within $connectTimeoutMs ms")
    val writing = scope.launch { writeRequest(connection, request, headers) }
    return try {
        readAnswerHead(dialer, connection, request, writing)
    } catch (cancelled: CancellationException) {
        connection.close()
        throw cancelled
    } catch (broken: IOException) {
        abandon(connection, writing, broken.message.orEmpty())
    } catch (malformed: MalformedMessageException) {
        abandon(connection, writing, "an answer that is not in the protocol: ${malformed.problem.reason}")
    }
}

private fun abandon(connection: Connection, writing: Job, reason: String): SendStart {
    writing.cancel()
    connection.close()
    return SendStart.NoAnswer(reason)
}

private suspend fun writeRequest(connection: Connection, request: ReadyRequest, send: SendHeaders) {
    val head = request.head
    val hasBody = request.body.isNotEmpty() || head.method !in bodilessMethods
    val length = if (hasBody) listOf(Header("Content-Length", request.body.size.toString())) else emptyList()
    val bytes = headBytes("${head.method} ${head.target} HTTP/1.1", headersForEndpoint(head.headers, send) + length)
    try {
        connection.sink.writeAll(bytes, request.body)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (expectedBreak: IOException) {
        // The reading side says whether an answer came before the connection broke.
        return
    }
}

private suspend fun readAnswerHead(
    dialer: Dialer,
    connection: Connection,
    request: ReadyRequest,
    writing: Job,
): SendStart {
    repeat(MAX_FOREIGN_ANSWERS + 1) {
        val lines = connection.source.readHeadLines(MAX_ANSWER_HEAD_BYTES) ?: throw ConnectionBroken(null)
        val head = parseResponseHead(lines, request.head.method)
        if (head.status < FIRST_FINAL_STATUS) return@repeat
        val meaning = readEndpointResponseHeaders(head.status, head.headers)
        val isOwn = meaning.attemptId == request.attemptId || (meaning.attemptId == null && meaning.didNotRun)
        if (isOwn) return SendStart.Answered(head, meaning, EndpointExchange(dialer, connection, head, writing))
        if (meaning.attemptId == null) return abandon(connection, writing, "an answer without the request's id")
        BodyReader(connection.source, head.framing).readAll(MAX_FOREIGN_BYTES)
    }
    return abandon(connection, writing, "only answers to other requests")
}

private val bodilessMethods = setOf("GET", "HEAD", "DELETE", "OPTIONS")
private const val FIRST_FINAL_STATUS = 200
private const val MAX_ANSWER_HEAD_BYTES = 32_768
private const val MAX_FOREIGN_ANSWERS = 3
private const val MAX_FOREIGN_BYTES = 1_048_576
