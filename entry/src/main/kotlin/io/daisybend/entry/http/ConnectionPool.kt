/*
 * Connections that this process opens: to endpoints, engines and the platform's store. A connection is kept only after
 * a whole exchange, with nothing left to read and within the time that the peer keeps it.
 */
package io.daisybend.entry.http

import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** An open connection. */
internal class Connection(private val socket: Socket, val address: SocketAddress) {
    /** The reading side. */
    val source = ByteSource(socket.openReadChannel())

    /** The writing side. */
    val sink: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Whether an exchange went over this connection before. */
    var wasUsed: Boolean = false

    /** Until when the connection may be used again, in milliseconds of the steady clock. */
    var reusableUntilMs: Long = 0

    /** Closes the connection; a peer that still works on its request is told so by that. */
    fun close() = socket.close()
}

/** Opens and keeps connections; [steadyMs] is the steady clock. */
internal class ConnectionPool(private val selector: SelectorManager, private val steadyMs: () -> Long) {
    private val idle = ConcurrentHashMap<SocketAddress, ArrayDeque<Connection>>()

    /** Returns a kept connection to [address], or null. */
    fun takeIdle(address: SocketAddress): Connection? {
        val connections = idle[address] ?: return null
        synchronized(connections) {
            while (true) {
                val connection = connections.removeLastOrNull() ?: return null
                if (connection.reusableUntilMs > steadyMs() && !connection.source.hasPendingInput) return connection
                connection.close()
            }
        }
    }

    /** Opens a connection to [address]; returns null when none can be had within [timeoutMs]. */
    suspend fun connect(address: SocketAddress, timeoutMs: Long): Connection? = try {
        withTimeoutOrNull(timeoutMs) {
            val socket = aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port)) {
                noDelay = true
                keepAlive = true
            }
            Connection(socket, address)
        }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (expectedRefusal: Exception) {
        null
    }

    /** Keeps [connection] for another exchange; the peer closes it after [peerKeepsMs], when it said so. */
    fun release(connection: Connection, peerKeepAliveMs: Long?) {
        val reusableMs = peerKeepAliveMs?.let { it - it / KEEP_ALIVE_MARGIN_DIVISOR - KEEP_ALIVE_MARGIN_MS }
            ?: DEFAULT_KEEP_ALIVE_MS
        if (reusableMs <= 0 || connection.source.hasPendingInput) {
            connection.close()
            return
        }
        connection.wasUsed = true
        connection.reusableUntilMs = steadyMs() + reusableMs
        val connections = idle.computeIfAbsent(connection.address) { ArrayDeque() }
        synchronized(connections) { connections.addLast(connection) }
    }

    /** Closes kept connections that may not be used again. */
    fun closeExpired() {
        val now = steadyMs()
        idle.values.forEach { connections ->
            synchronized(connections) {
                connections.filter { it.reusableUntilMs <= now || it.source.hasPendingInput }.forEach {
                    connections.remove(it)
                    it.close()
                }
            }
        }
    }

    private companion object {
        /** How long a connection is kept whose peer says nothing of it, in milliseconds: below one second. */
        const val DEFAULT_KEEP_ALIVE_MS = 500L

        /** The part of the peer's time that is left unused, and the time besides: a way there and a slow timer. */
        const val KEEP_ALIVE_MARGIN_DIVISOR = 5
        const val KEEP_ALIVE_MARGIN_MS = 150L
    }
}
