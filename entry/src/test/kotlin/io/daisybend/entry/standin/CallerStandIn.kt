package io.daisybend.entry.standin

import io.daisybend.entry.http.BodyReader
import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.ResponseHead
import io.daisybend.entry.http.headBytes
import io.daisybend.entry.http.parseResponseHead
import io.daisybend.entry.http.readAll
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.http.writeAll
import io.daisybend.platform.Header
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/** An answer as a caller reads it. */
internal class Answer(val head: ResponseHead, val body: String) {
    val status get() = head.status
}

/** One caller's connection. */
internal class CallerStandIn(private val socket: Socket) {
    private val source = ByteSource(socket.openReadChannel())
    private val sink = socket.openWriteChannel()

    suspend fun send(method: String, path: String, body: String = "", key: String? = "k1", id: String = nextId()) {
        val headers = listOfNotNull(
            Header("Host", "site.example"),
            Header("X-Daisybend-Attempt-Id", id),
            key?.let { Header("X-Api-Key", it) },
            Header("Content-Length", body.length.toString()),
        )
        sink.writeAll(headBytes("$method $path HTTP/1.1", headers), body.encodeToByteArray())
    }

    suspend fun read(): Answer {
        val head = parseResponseHead(source.readHeadLines(8_192) ?: throw IOException("closed"), "GET")
        return Answer(head, BodyReader(source, head.framing).readAll(100_000).decodeToString())
    }

    suspend fun call(method: String, path: String, body: String = "", key: String? = "k1"): Answer {
        send(method, path, body, key)
        return read()
    }

    fun close() = socket.close()

    companion object {
        private val ids = AtomicInteger()

        fun nextId() = "id-${ids.incrementAndGet()}"
    }
}
