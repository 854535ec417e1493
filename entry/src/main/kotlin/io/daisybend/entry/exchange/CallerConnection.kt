/*
 * One connection of a caller: reads requests, watches for the caller's leaving and writes answers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.encodeChunk
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.reasonPhrase
import io.daisybend.entry.http.writeAll
import io.daisybend.entry.http.writeLastChunk
import io.daisybend.platform.Header
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel

/** A caller's connection. */
internal class CallerConnection(private val socket: Socket, private val isStopping: () -> Boolean) {
    /** The reading side. */
    val source = ByteSource(socket.openReadChannel())

    private val sink: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Whether no further request may come over this connection. */
    var mustClose: Boolean = false

    /** Whether the head of an answer to the current request was written. */
    var headWritten: Boolean = false
        private set

    private var isChunked = false

    /** Prepares for the next request. */
    fun startRequest() {
        headWritten = false
        isChunked = false
    }

    /** Writes a whole answer. */
    suspend fun writeResponse(
        status: Int,
        headers: List<Header>,
        body: ByteArray,
        reason: String = reasonPhrase(status),
    ) {
        val framedHeaders = headers + Header("Content-Length", body.size.toString()) + connectionHeaders()
        headWritten = true
        sink.writeAll(encodeHead("HTTP/1.1 $status $reason", framedHeaders), body)
    }

    /** Writes the head of an answer whose body follows piece by piece. */
    suspend fun startResponse(status: Int, reason: String, headers: List<Header>) {
        val framedHeaders = headers + Header("Transfer-Encoding", "chunked") + connectionHeaders()
        headWritten = true
        isChunked = true
        sink.writeAll(encodeHead("HTTP/1.1 $status $reason", framedHeaders))
    }

    /** Writes a piece of the body. */
    suspend fun writeChunk(bytes: ByteArray) {
        if (bytes.isNotEmpty()) sink.writeAll(encodeChunk(bytes))
    }

    /** Ends the body. */
    suspend fun endResponse() = sink.writeLastChunk()

    /** Tells the caller to go on with the body. */
    suspend fun sendContinue() = sink.writeAll(encodeHead("HTTP/1.1 100 Continue", emptyList()))

    /** Waits until the caller leaves; bytes of a next request are kept. */
    suspend fun awaitDisconnect() {
        while (source.buffered < MAX_READ_AHEAD_BYTES) {
            if (!source.fill()) return
        }
        kotlinx.coroutines.awaitCancellation()
    }

    /** Reads and drops what the caller still sends, so that it gets the answer before the connection ends. */
    suspend fun drainInput() {
        var droppedBytes = 0
        while (droppedBytes < MAX_DRAIN_BYTES) {
            droppedBytes += source.buffered
            source.skip(source.buffered)
            if (!source.fill()) return
        }
    }

    fun close() = socket.close()

    private fun connectionHeaders(): List<Header> {
        if (isStopping()) mustClose = true
        return if (mustClose) listOf(Header("Connection", "close")) else emptyList()
    }

    private companion object {
        const val MAX_READ_AHEAD_BYTES = 65_536
        const val MAX_DRAIN_BYTES = 1_048_576
    }
}
