/*
 * Minimal HTTP/1.1 server for the fakes of the platform. The handler gets access to the connection, so that it can also
 * violate the protocol.
 */
package io.daisybend.entry.standin

import io.daisybend.entry.http.BodyReader
import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.parseRequestHead
import io.daisybend.entry.http.readAll
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.http.writeAll
import io.daisybend.platform.Header
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap

/** One request to a fake server, with the means to respond. */
internal class FakeServerCall(
    val head: RequestHead,
    val body: ByteArray,
    val sink: ByteWriteChannel,
    val source: ByteSource,
    private val socket: Socket,
    private val wakeSelector: () -> Unit,
    /** Whether the call is the first one on its connection. */
    val isFirst: Boolean,
) {
    /** Writes a whole response. */
    suspend fun respond(status: Int, body: ByteArray = ByteArray(0), headers: List<Header> = emptyList()) {
        val framedHeaders = headers + Header("Content-Length", body.size.toString()) + Header("Keep-Alive", "timeout=5")
        sink.writeAll(encodeHead("HTTP/1.1 $status X", framedHeaders), body)
    }

    fun closeConnection() = socket.close()

    /** Closes the connection with a reset instead of an orderly end. */
    fun resetConnection() {
        val channel = (socket as Selectable).channel as SocketChannel
        channel.setOption(StandardSocketOptions.SO_LINGER, 0)
        // Closing the socket would end its output in order first.
        channel.close()
        // The system sends the reset once the selector has let go of the channel, which may take it half a second.
        wakeSelector()
    }

    fun header(name: String): String? = head.headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** Listens on an unused port of the loopback address, after a crash on the same one. */
internal class FakeServer(private val scope: CoroutineScope, private val handle: suspend (FakeServerCall) -> Unit) {
    private lateinit var server: ServerSocket
    private lateinit var selector: SelectorManager
    private val connections = ConcurrentHashMap.newKeySet<Socket>()

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** The port of the server. */
    val port: Int get() = (server.localAddress as InetSocketAddress).port

    suspend fun start(selector: SelectorManager): FakeServer {
        this.selector = selector
        return listen(ListenerPorts.next())
    }

    /** Closes all connections and listens again after [downMs] milliseconds. */
    fun crash(downMs: Long) {
        val crashedPort = port
        server.close()
        scope.launch {
            // A selector closes its sockets late; the kernel of a process that ends closes all at once.
            withTimeoutOrNull(CLOSE_TIMEOUT_MS) { while (acceptsConnections(crashedPort)) delay(1) }
            connections.forEach { it.close() }
            delay(downMs)
            listen(crashedPort)
        }
    }

    private val wakeSelector: () -> Unit = { acceptsConnections(port) }

    private fun acceptsConnections(port: Int) = runCatching { java.net.Socket("127.0.0.1", port).close() }.isSuccess

    /** Accepts no more connections; the open ones stay. */
    fun stopListening() = server.close()

    private suspend fun listen(port: Int): FakeServer {
        val listening = aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", port)) { reuseAddress = true }
        server = listening
        scope.launch {
            try {
                while (true) {
                    val socket = listening.accept()
                    scope.launch { serve(socket) }
                }
            } catch (expectedCrash: IOException) {
                listening.close()
            }
        }
        return this
    }

    private suspend fun serve(socket: Socket) {
        connections.add(socket)
        val source = ByteSource(socket.openReadChannel())
        val sink = socket.openWriteChannel()
        var isFirst = true
        try {
            while (true) {
                val head = parseRequestHead(source.readHeadLines(MAX_HEAD_BYTES) ?: return)
                val body = BodyReader(source, head.framing).readAll(MAX_BODY_BYTES)
                handle(FakeServerCall(head, body, sink, source, socket, wakeSelector, isFirst))
                isFirst = false
            }
        } catch (expectedEnd: IOException) {
            return
        } finally {
            connections.remove(socket)
            socket.close()
        }
    }

    private companion object {
        const val CLOSE_TIMEOUT_MS = 1_000L
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_BODY_BYTES = 1_048_576
    }
}
