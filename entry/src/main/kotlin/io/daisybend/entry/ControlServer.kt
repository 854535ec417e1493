/*
 * HTTP server for the directory, readiness and metrics. It handles one request at a time on each connection.
 */
package io.daisybend.entry

import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.parseRequestHead
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.http.reasonPhrase
import io.daisybend.entry.http.writeAll
import io.daisybend.platform.Header
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Response to a control request. */
internal data class ControlResponse(val status: Int, val contentType: String = "text/plain", val body: String = "")

/** Serves requests without a body by calling [respond]. */
internal class ControlServer(private val log: EventLog, private val respond: (RequestHead) -> ControlResponse) {
    /** Accepts connections until the coroutine is cancelled; pauses for [ACCEPT_RETRY_MS] after a failed accept. */
    suspend fun accept(server: ServerSocket, scope: CoroutineScope) {
        while (true) {
            try {
                val socket = server.accept()
                scope.launch { serve(socket) }
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failed: IOException) {
                log.write("control-accept-failed", "reason" to failed.message)
                delay(ACCEPT_RETRY_MS)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val source = ByteSource(socket.openReadChannel())
            val sink = socket.openWriteChannel(autoFlush = false)
            while (true) {
                val headLines = withTimeoutOrNull(IDLE_TIMEOUT_MS) { source.readHeadLines(MAX_HEAD_BYTES) } ?: return
                val head = parseRequestHead(headLines)
                val response = respond(head)
                val body = response.body.encodeToByteArray()
                val headers = listOf(
                    Header("Content-Type", response.contentType),
                    Header("Content-Length", body.size.toString()),
                )
                sink.writeAll(encodeHead("HTTP/1.1 ${response.status} ${reasonPhrase(response.status)}", headers), body)
                if (!head.keepAlive) return
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (expectedReset: IOException) {
            return
        } catch (malformed: MalformedMessageException) {
            log.write("control-request-unreadable", "reason" to malformed.message)
        } finally {
            socket.close()
        }
    }

    private companion object {
        const val IDLE_TIMEOUT_MS = 15_000L
        const val MAX_HEAD_BYTES = 8_192
        const val ACCEPT_RETRY_MS = 20L
    }
}
