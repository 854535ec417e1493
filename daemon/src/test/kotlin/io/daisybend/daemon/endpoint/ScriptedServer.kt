/*
 * Accepts real connections and treats each as its script says.
 */
package io.daisybend.daemon.endpoint

import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

internal class ScriptedServer(private val script: ScriptedConnection.(number: Int) -> Unit) : Closeable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val accepted = AtomicInteger()
    val address = "127.0.0.1:${server.localPort}"
    val connections: Int get() = accepted.get()

    init {
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return
            val number = accepted.getAndIncrement()
            thread(isDaemon = true) { runCatching { ScriptedConnection(socket).use { it.script(number) } } }
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
            val next = input.read()
            if (next < 0) return head.toString()
            head.append(next.toChar())
        }
        return head.toString()
    }

    /** Reads a whole request and returns its body. */
    fun readRequest(): String {
        val length = Regex("(?i)content-length: (\\d+)").find(readHead())?.groupValues?.get(1)?.toInt() ?: 0
        return input.readNBytes(length).decodeToString()
    }

    fun write(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    fun writeChunk(text: String) = write("${text.length.toString(radix = 16)}\r\n$text\r\n")

    fun staySilent() = Thread.sleep(SILENCE_MS)

    /** Resets the connection. */
    override fun close() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Ends the connection in order, after everything written has been taken. */
    fun finish() {
        socket.shutdownOutput()
        runCatching { while (input.read() >= 0) Unit }
    }

    private companion object {
        const val SILENCE_MS = 20_000L
    }
}
