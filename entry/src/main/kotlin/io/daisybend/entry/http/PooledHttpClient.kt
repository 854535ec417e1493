/*
 * HTTP calls over pooled connections: to the store, for engine reports and for orders.
 */
package io.daisybend.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.platform.Header
import io.daisybend.platform.HttpCallFailed
import io.daisybend.platform.HttpClient
import io.daisybend.platform.HttpResponse
import io.daisybend.platform.SocketAddress
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Makes HTTP calls over connections that [open] returns; each has one of its own unless [keepsConnections]. Aborts the
 * connection of a call that fails or times out: an order or an append that the system goes on sending while a link is
 * cut would arrive long after a later one.
 */
internal class PooledHttpClient(
    private val connectionPool: ConnectionPool,
    private val keepsConnections: Boolean = true,
    private val open: suspend (address: SocketAddress, timeoutMs: Long) -> Connection? = { address, timeoutMs ->
        (if (keepsConnections) connectionPool.takeIdle(address) else null) ?: connectionPool.connect(address, timeoutMs)
    },
) : HttpClient {
    override suspend fun call(
        address: SocketAddress,
        method: String,
        target: String,
        headers: List<Header>,
        body: ByteArray,
        timeoutMs: Long,
        maxResponseBytes: Int,
    ): Result<HttpResponse, HttpCallFailed> {
        var usedConnection: Connection? = null
        val response = try {
            withTimeoutOrNull(timeoutMs) {
                val connection =
                    open(address, timeoutMs.coerceAtMost(CONNECT_TIMEOUT_MS))
                        ?: return@withTimeoutOrNull Err(HttpCallFailed(target, "no connection to $address"))
                usedConnection = connection
                exchange(connection, address, method, target, headers, body, maxResponseBytes)
            }
        } catch (cancelled: CancellationException) {
            usedConnection?.abort()
            throw cancelled
        } catch (broken: Exception) {
            Err(HttpCallFailed(target, broken.message ?: broken.javaClass.simpleName))
        } ?: Err(HttpCallFailed(target, "no answer within $timeoutMs ms"))
        if (response.isErr) usedConnection?.abort()
        return response
    }

    private suspend fun exchange(
        connection: Connection,
        address: SocketAddress,
        method: String,
        target: String,
        headers: List<Header>,
        body: ByteArray,
        maxResponseBytes: Int,
    ): Result<HttpResponse, HttpCallFailed> {
        val framing = listOf(Header("Host", address.toString()), Header("Content-Length", body.size.toString()))
        connection.sink.writeAll(encodeHead("$method $target HTTP/1.1", framing + headers), body)
        val head = readFinalHead(connection, method)
        val reader = BodyReader(connection.source, head.framing)
        val responseBody = reader.readAll(maxResponseBytes)
        val isKept = keepsConnections && head.keepAlive
        if (isKept) connectionPool.release(connection, head.keepAliveMs) else connection.close()
        return Ok(HttpResponse(head.status, head.headers, responseBody))
    }

    /** Reads the head of the response; those before it are interim ones. */
    private suspend fun readFinalHead(connection: Connection, method: String): ResponseHead {
        repeat(MAX_INTERIM_HEADS + 1) {
            val headLines = connection.source.readHeadLines(MAX_HEAD_BYTES) ?: throw ConnectionBrokenException(null)
            val head = parseResponseHead(headLines, method)
            if (!head.isInterim) return head
        }
        throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
    }

    private companion object {
        /** Timeout for opening a connection, in milliseconds. A lost SYN is retransmitted only after one second. */
        const val CONNECT_TIMEOUT_MS = 500L
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_INTERIM_HEADS = 3
    }
}
