/*
 * Sends a request to one endpoint: opens or reuses a connection, writes the request, reads the response head and checks
 * that the response belongs to the request.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.BodyReader
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionBrokenException
import io.daisybend.entry.http.ConnectionPool
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.http.ResponseHead
import io.daisybend.entry.http.discardAll
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.parseResponseHead
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.path.WaitingExchanges
import io.daisybend.platform.EndpointResponseHeaders
import io.daisybend.platform.Header
import io.daisybend.platform.SendHeaders
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.headersForEndpoint
import io.daisybend.platform.readEndpointResponseHeaders
import io.daisybend.serving.endpoint.Endpoint
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** A request whose body was read completely. */
internal class BufferedRequest(val head: RequestHead, val body: ByteArray, val attemptId: String)

/** Result of sending a request and waiting for the response head. */
internal sealed interface SendStart {
    /** No byte of the request was written; [isWithheld] if the endpoint wanted no request any more. */
    data class NotSent(val reason: String, val isWithheld: Boolean = false) : SendStart

    /** The request was written, but no valid response was received. */
    data class NoResponse(
        val reason: String,
        /** Whether the endpoint ended the connection. */
        val connectionEnded: Boolean = false,
        /** Whether this VM took the request back. */
        val withdrawn: Boolean = false,
        /** Whether the path to the endpoint is to blame. */
        val isPathLost: Boolean = false,
    ) : SendStart

    /** The response head was received; the body follows. */
    class HeadReceived(
        val head: ResponseHead,
        val headers: EndpointResponseHeaders,
        val exchange: EndpointExchange,
    ) : SendStart {
        /** Whether the response is a success that an endpoint has sealed. */
        val isAcceptance: Boolean get() = head.status in SUCCESS && headers.sealed && !headers.didNotRun
    }
}

/** A request and its response in progress on one connection. */
internal class EndpointExchange(
    private val connectionPool: ConnectionPool,
    private val connection: Connection,
    private val head: ResponseHead,
    private val writeJob: Deferred<Boolean>,
    private val onEnd: () -> Unit = {},
) {
    // An endpoint may answer, and reset the connection, before it has read the request; the reader may then see an
    // orderly end, which completes a response only once the whole request was sent.
    val body = BodyReader(connection.source, head.framing, mayEndWithConnection = ::awaitRequestSent)
    private var hasEnded = false

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun isRequestSent() = writeJob.isCompleted && !writeJob.isCancelled && writeJob.getCompleted()

    /** Waits for the writer, which may go on only after the endpoint has read, answered and closed. */
    private suspend fun awaitRequestSent(): Boolean {
        withTimeoutOrNull(WRITER_DELAY_MS) { writeJob.join() }
        return isRequestSent()
    }

    /**
     * Ends the exchange; returns the connection to the pool if request and response are complete, otherwise closes it.
     * Later calls have no effect: the connection may belong to another exchange by then.
     */
    fun finish() {
        if (hasEnded) return
        hasEnded = true
        val isReusable = body.isComplete && isRequestSent() && head.keepAlive
        if (isReusable) connectionPool.release(connection, head.keepAliveMs) else close()
        onEnd()
    }

    /** Ends the exchange by closing the connection, which makes the endpoint stop its work. */
    fun abort() {
        if (hasEnded) return
        hasEnded = true
        close()
        onEnd()
    }

    private fun close() {
        writeJob.cancel()
        connection.close()
    }

    private companion object {
        /** Longest delay of a writer that has sent everything, on a VM that has little processor time. */
        const val WRITER_DELAY_MS = 500L
    }
}

/** Watches over a send. */
internal interface SendGuard {
    /** Whether the request may be sent again if nothing of its response arrives. */
    val mayMove: Boolean

    /** Returns whether the request may still be sent, once there is a connection. */
    fun maySend(): Boolean

    /** Called before the request is written on [connection]. */
    fun onWriting(connection: Connection)

    /** Called for each head that the endpoint sends, also for interim ones and those of other requests. */
    fun onHead(headers: EndpointResponseHeaders)

    /** Called for a response with [status] and [headers] that does not belong to the request. */
    fun onUnrelated(status: Int, headers: EndpointResponseHeaders)
}

/**
 * Sends [request] to [endpoint] and waits for the response head; a long body may still be written in [scope] after the
 * return.
 */
internal suspend fun startSend(
    connections: EndpointConnections,
    scope: CoroutineScope,
    request: BufferedRequest,
    endpoint: Endpoint,
    headers: SendHeaders,
    connectTimeoutMs: Long,
    guard: SendGuard,
): SendStart {
    val address = SocketAddress(endpoint.entry.host, endpoint.entry.port)
    val connection = connections.open(address, request.attemptId, connectTimeoutMs)
        ?: return SendStart.NotSent("no connection to $address within $connectTimeoutMs ms")
    if (!guard.maySend()) {
        connection.close()
        return SendStart.NotSent("the endpoint wants no requests", isWithheld = true)
    }
    guard.onWriting(connection)
    val waiting = connections.exchanges.begin(connection, guard.mayMove)
    val writeJob = scope.async { writeRequest(connection, request, headers) }
    var start: SendStart? = null
    return try {
        readResponseHead(connection, request, writeJob, guard) { head ->
            EndpointExchange(connections.pool, connection, head, writeJob) { connections.exchanges.end(waiting) }
        }.also { start = it }
    } catch (cancelled: CancellationException) {
        connection.close()
        throw cancelled
    } catch (broken: IOException) {
        if (waiting.isMoved) return abandonForPeer(connection, writeJob)
        abandon(connection, writeJob, broken.message.orEmpty(), connectionEnded = true)
    } catch (malformed: MalformedMessageException) {
        abandon(connection, writeJob, "an answer that is not in the protocol: ${malformed.problem.reason}")
    } finally {
        if (start !is SendStart.HeadReceived) connections.exchanges.end(waiting)
    }
}

/** Connections to endpoints, which [open] returns for a request and a timeout, and the exchanges under way on them. */
internal class EndpointConnections(
    val pool: ConnectionPool,
    val open: suspend (address: SocketAddress, requestId: String?, timeoutMs: Long) -> Connection?,
    val exchanges: WaitingExchanges,
)

private fun abandonForPeer(connection: Connection, writeJob: Deferred<Boolean>): SendStart {
    abandon(connection, writeJob, "")
    return SendStart.NoResponse("nothing arrives, and the path to the endpoint is lost", isPathLost = true)
}

private fun abandon(
    connection: Connection,
    writeJob: Deferred<Boolean>,
    reason: String,
    connectionEnded: Boolean = false,
): SendStart {
    writeJob.cancel()
    connection.close()
    return SendStart.NoResponse(reason, connectionEnded)
}

/** Writes [request]; returns false if the connection broke before the whole request was sent. */
private suspend fun writeRequest(connection: Connection, request: BufferedRequest, send: SendHeaders): Boolean {
    val head = request.head
    val hasBody = request.body.isNotEmpty() || head.method !in methodsWithoutBody
    val lengthHeader = if (hasBody) listOf(Header("Content-Length", request.body.size.toString())) else emptyList()
    val bytes =
        encodeHead("${head.method} ${head.target} HTTP/1.1", headersForEndpoint(head.headers, send) + lengthHeader)
    return try {
        connection.sink.writeAll(bytes, request.body)
        true
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (expectedBreak: IOException) {
        // The reader determines whether a response arrived before the connection broke.
        false
    }
}

private suspend fun readResponseHead(
    connection: Connection,
    request: BufferedRequest,
    writeJob: Deferred<Boolean>,
    guard: SendGuard,
    exchangeOf: (ResponseHead) -> EndpointExchange,
): SendStart {
    // A refusal without an id may answer an earlier request of a kept connection.
    val wasKept = connection.completedExchanges > 0
    repeat(MAX_UNRELATED_RESPONSES + 1) {
        val headLines = connection.source.readHeadLines(MAX_RESPONSE_HEAD_BYTES)
            ?: throw ConnectionBrokenException(null)
        val head = parseResponseHead(headLines, request.head.method)
        val headers = readEndpointResponseHeaders(head.status, head.headers)
        guard.onHead(headers)
        if (head.isInterim) return@repeat
        val isUnnamedRefusal = headers.attemptId == null && headers.didNotRun
        val isOwn = headers.attemptId == request.attemptId || (isUnnamedRefusal && !wasKept)
        if (isOwn && head.status !in SUCCESS) connection.onRefused(request.attemptId)
        if (isOwn) return SendStart.HeadReceived(head, headers, exchangeOf(head))
        guard.onUnrelated(head.status, headers)
        if (headers.attemptId == null) return abandon(connection, writeJob, "an answer without the request's id")
        BodyReader(connection.source, head.framing).discardAll(MAX_UNRELATED_BODY_BYTES)
    }
    return abandon(connection, writeJob, "only answers to other requests")
}

private val methodsWithoutBody = setOf("GET", "HEAD", "DELETE", "OPTIONS")
private val SUCCESS = 200..299
private const val MAX_RESPONSE_HEAD_BYTES = 32_768
private const val MAX_UNRELATED_RESPONSES = 3
private const val MAX_UNRELATED_BODY_BYTES = 1_048_576
