/*
 * Connection of a caller: provides the request bytes, detects a disconnect and writes responses.
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

/** A connection to a caller. */
internal class CallerConnection(private val socket: Socket, private val isStopping: () -> Boolean) {
    /** Bytes received from the caller. */
    val source = ByteSource(socket.openReadChannel())

    private val sink: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Whether the connection closes after the current response. */
    var mustClose: Boolean = false

    /** Whether the head of the response to the current request was written. */
    @Volatile
    var headWritten: Boolean = false
        private set

    private var isChunked = false
    private val lock = Any()
    private var isBusy = false
    private var wasClosedIdle = false

    /** How many bytes had arrived when this VM stopped to take requests; none of a connection that it met later. */
    @Volatile
    private var bytesBeforeDraining = 0L

    /** Resets the state of the response for the next request. */
    fun startRequest() {
        headWritten = false
        isChunked = false
    }

    /**
     * Marks the connection as busy once the first bytes of a request have arrived. Returns false if it was closed as
     * idle before: the request must not be passed on, since its caller can get no response.
     */
    fun beginRequest(): Boolean = synchronized(lock) {
        isBusy = !wasClosedIdle
        isBusy
    }

    /** Marks the connection as idle after a request. */
    fun endRequest() = synchronized(lock) { isBusy = false }

    /** Records that requests which arrive from now on come too late; those that have arrived completely do not. */
    fun startDraining() {
        bytesBeforeDraining = source.receivedBytes
    }

    /** Whether the request that was just read arrived completely before [startDraining]. */
    val hasArrivedBeforeDraining: Boolean get() = source.readBytes <= bytesBeforeDraining

    /** Closes the connection unless a request is in progress or its bytes have arrived. */
    fun closeIfIdle() = synchronized(lock) {
        if (isBusy || source.hasPendingInput) return
        wasClosedIdle = true
        close()
    }

    /** Writes a response with its whole body. */
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

    /** Writes the head of a response whose body follows in chunks. */
    suspend fun startResponse(status: Int, reason: String, headers: List<Header>) {
        val framedHeaders = headers + Header("Transfer-Encoding", "chunked") + connectionHeaders()
        headWritten = true
        isChunked = true
        sink.writeAll(encodeHead("HTTP/1.1 $status $reason", framedHeaders))
    }

    /** Writes one chunk of the body; does nothing if [bytes] is empty. */
    suspend fun writeChunk(bytes: ByteArray) {
        if (bytes.isNotEmpty()) sink.writeAll(encodeChunk(bytes))
    }

    /** Writes the last chunk. */
    suspend fun endResponse() = sink.writeLastChunk()

    /** Sends 100 Continue, so that the caller sends the body. */
    suspend fun sendContinue() = sink.writeAll(encodeHead("HTTP/1.1 100 Continue", emptyList()))

    /**
     * Suspends until the caller disconnects. Bytes of a pipelined request stay buffered; once 64 KiB are buffered, a
     * disconnect is no longer detected.
     */
    suspend fun awaitDisconnect() {
        while (source.buffered < MAX_READ_AHEAD_BYTES) {
            if (!source.fill()) return
        }
        kotlinx.coroutines.awaitCancellation()
    }

    /**
     * Reads and discards further input, up to 1 MiB, so that the caller receives the response before the connection
     * closes.
     */
    suspend fun drainInput() {
        var droppedBytes = 0
        while (droppedBytes < MAX_DRAIN_BYTES) {
            droppedBytes += source.buffered
            source.skip(source.buffered)
            if (!source.fill()) return
        }
    }

    /** Closes the connection once the system has taken what was written to it. */
    fun close() = socket.close()

    /** Calls [action] once the connection is closed. */
    fun onClosed(action: () -> Unit) {
        socket.socketContext.invokeOnCompletion { action() }
    }

    private fun connectionHeaders(): List<Header> {
        if (isStopping()) mustClose = true
        return if (mustClose) listOf(Header("Connection", "close")) else emptyList()
    }

    private companion object {
        const val MAX_READ_AHEAD_BYTES = 65_536
        const val MAX_DRAIN_BYTES = 1_048_576
    }
}
