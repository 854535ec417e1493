/*
 * A test server that accepts TCP connections and runs a script on each.
 */
package io.daisybend.daemon.endpoint

import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

internal class ScriptedServer(private val script: ScriptedConnection.(connectionIndex: Int) -> Unit) : Closeable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val acceptedCount = AtomicInteger()
    val address = "127.0.0.1:${server.localPort}"
    val connectionCount: Int get() = acceptedCount.get()

    init {
        thread(isDaemon = true) { acceptConnections() }
    }

    private fun acceptConnections() {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return
            val connectionIndex = acceptedCount.getAndIncrement()
            thread(isDaemon = true) { runCatching { ScriptedConnection(socket).use { it.script(connectionIndex) } } }
        }
    }

    override fun close() = server.close()
}

internal class ScriptedConnection(private val socket: Socket) : Closeable {
    private val input = socket.getInputStream().buffered()

    fun readByte(): Int = input.read()

    fun readHead(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val nextByte = input.read()
            if (nextByte < 0) return head.toString()
            head.append(nextByte.toChar())
        }
        return head.toString()
    }

    /** Reads a complete request and returns its body. */
    fun readRequest(): String {
        val bodyLength = Regex("(?i)content-length: (\\d+)").find(readHead())?.groupValues?.get(1)?.toInt() ?: 0
        return input.readNBytes(bodyLength).decodeToString()
    }

    fun write(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    fun writeChunk(text: String) = write("${text.length.toString(radix = 16)}\r\n$text\r\n")

    fun stall() = Thread.sleep(STALL_MS)

    /** Resets the connection. */
    override fun close() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Sends the end of the stream, then waits until the peer closes the connection. */
    fun closeGracefully() {
        socket.shutdownOutput()
        runCatching { while (input.read() >= 0) Unit }
    }

    private companion object {
        const val STALL_MS = 20_000L
    }
}
