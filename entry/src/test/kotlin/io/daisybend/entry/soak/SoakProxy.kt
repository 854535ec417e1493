/*
 * A link of the site that can be delayed, silenced and reset.
 */
package io.daisybend.entry.soak

import io.daisybend.entry.standin.ListenerPorts
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Passes the bytes of all connections to [targetPort] on the loopback address. */
internal class SoakProxy(private val targetPort: Int) : AutoCloseable {
    val port = ListenerPorts.next()
    private val listening = ServerSocket().apply {
        reuseAddress = true
        bind(InetSocketAddress(HOST, this@SoakProxy.port), BACKLOG)
    }
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    private val refusedPorts = ConcurrentHashMap.newKeySet<Int>()

    /** Whether the target did not take the connection that came from [port]: a caller of it has reached nothing. */
    fun hasRefused(port: Int) = port in refusedPorts

    /** Delay of each piece, in milliseconds. */
    @Volatile
    var delayMs = 0L

    /** Whether bytes wait until the link speaks again. */
    @Volatile
    var isSilent = false

    /** Whether a connection is reset when the next bytes come. */
    @Volatile
    var resetsOnUse = false

    /** Number of pieces that were passed on to the target. */
    val piecesToTarget = AtomicInteger()

    init {
        thread(isDaemon = true, name = "proxy-$targetPort") { accept() }
    }

    private fun accept() {
        while (true) {
            val near = try {
                listening.accept()
            } catch (closed: IOException) {
                return
            }
            thread(isDaemon = true) { connect(near) }
        }
    }

    private fun connect(near: Socket) {
        val far = Socket()
        sockets.add(near)
        sockets.add(far)
        refusedPorts.add(near.port)
        try {
            far.connect(InetSocketAddress(HOST, targetPort), CONNECT_TIMEOUT_MS)
            refusedPorts.remove(near.port)
            near.tcpNoDelay = true
            far.tcpNoDelay = true
            val back = thread(isDaemon = true) { pump(far, near) }
            pump(near, far, piecesToTarget)
            back.join()
        } catch (refused: IOException) {
            reset(near)
        } finally {
            listOf(near, far).forEach {
                sockets.remove(it)
                it.close()
            }
        }
    }

    private fun pump(from: Socket, to: Socket, pieces: AtomicInteger? = null) {
        val piece = ByteArray(PIECE_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(piece)
                while (isSilent) Thread.sleep(POLL_MS)
                if (delayMs > 0) Thread.sleep(delayMs)
                if (resetsOnUse) throw IOException("the link resets connections")
                if (count < 0) return to.shutdownOutput()
                pieces?.incrementAndGet()
                to.getOutputStream().write(piece, 0, count)
            }
        } catch (broken: IOException) {
            reset(from)
            reset(to)
        }
    }

    /** Resets all connections. */
    fun resetAll() = sockets.forEach(::reset)

    private fun reset(socket: Socket) {
        try {
            socket.setSoLinger(true, 0)
            socket.close()
        } catch (alreadyClosed: IOException) {
            return
        }
    }

    override fun close() {
        isSilent = false
        listening.close()
        resetAll()
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 512
        const val CONNECT_TIMEOUT_MS = 1_000
        const val PIECE_BYTES = 16_384
        const val POLL_MS = 5L
    }
}
