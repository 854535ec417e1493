/*
 * Pool of outgoing connections: to endpoints, engines and the platform's store. A connection is reused only after a
 * complete exchange, without unread input and before the peer's keep-alive timeout.
 */
package io.daisybend.entry.http

import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap

/** An open connection to [address], directly or through the VM [relayedBy]. */
internal class Connection(
    private val socket: Socket,
    selector: SelectorManager,
    val address: SocketAddress,
    val relayedBy: String? = null,
    /** Output to the peer. */
    val sink: SocketOutput = SocketOutput(socket as Selectable, selector),
    /** Bytes received from the peer. */
    val source: ByteSource = ByteSource(socket.openReadChannel()),
    private val mayGoOn: () -> Boolean = { true },
) {
    /** Number of exchanges after which the connection was returned to the pool. */
    var completedExchanges: Int = 0

    private val refusedIds = ConcurrentHashMap.newKeySet<String>()

    /** Whether the connection may get further requests: it remembers only so many refusals, and a relay may stop. */
    val isReusable: Boolean get() = refusedIds.size < MAX_REFUSED_IDS && mayGoOn()

    /** Time until which the connection may be reused, in milliseconds of the monotonic clock. */
    var reusableUntilMs: Long = 0

    /** Records that the peer refused [requestId] on this connection, and may write that refusal once more. */
    fun onRefused(requestId: String) {
        refusedIds.add(requestId)
    }

    /** Returns whether the peer refused [requestId] on this connection. */
    fun hasRefused(requestId: String): Boolean = requestId in refusedIds

    /**
     * Closes the connection and drops what is not sent yet; a peer that still processes a request treats this as a
     * cancellation.
     */
    fun close() {
        socket.close()
        // The socket alone keeps its channel open until the peer has read the rest.
        (socket as Selectable).channel.close()
    }

    /** Closes the connection so that what the peer has not received, also what the system keeps for it, is dropped. */
    fun abort() {
        try {
            ((socket as Selectable).channel as? SocketChannel)?.setOption(StandardSocketOptions.SO_LINGER, 0)
        } catch (expectedClosed: IOException) {
            // Nothing is left to drop.
        }
        close()
    }

    private companion object {
        const val MAX_REFUSED_IDS = 64
    }
}

/** Opens a socket that is connected to [address]. */
internal suspend fun openSocket(selector: SelectorManager, address: SocketAddress): Socket =
    aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port)) {
        noDelay = true
        keepAlive = true
    }

/** Opens connections by [dialer], tells [onDialed], and keeps idle ones; [steadyMs] reads the monotonic clock. */
internal class ConnectionPool(
    private val selector: SelectorManager,
    private val dialer: Dialer = TcpDialer,
    private val onDialed: (Dialed) -> Unit = {},
    private val steadyMs: () -> Long,
) {
    private val idle = ConcurrentHashMap<SocketAddress, ArrayDeque<Connection>>()

    /**
     * Returns a reusable idle connection to [address] on which [requestId] was not refused and that [isFit] accepts, by
     * default a direct one; null if there is none. A refusal that comes once more looks like the response to the same
     * request.
     */
    fun takeIdle(
        address: SocketAddress,
        requestId: String? = null,
        isFit: (Connection) -> Boolean = { it.relayedBy == null },
    ): Connection? {
        val connections = idle[address] ?: return null
        synchronized(connections) {
            val (open, ended) = connections.partition(::isUsable)
            ended.forEach { it.close() }
            connections.removeAll(ended)
            return open.lastOrNull { isFit(it) && (requestId == null || !it.hasRefused(requestId)) }
                ?.also(connections::remove)
        }
    }

    /**
     * Opens a connection to [address], which queues up to [maxQueuedBytes]; returns null if that fails or takes longer
     * than [timeoutMs].
     */
    suspend fun connect(
        address: SocketAddress,
        timeoutMs: Long,
        maxQueuedBytes: Int = ByteSource.MAX_QUEUED_BYTES,
    ): Connection? {
        val startedAtMs = steadyMs()
        // A cancellation or the timeout may drop the result of the block.
        var opened: Connection? = null
        var isReturned = false
        try {
            val connection = withTimeoutOrNull(timeoutMs) { open(address, maxQueuedBytes).also { opened = it } }
            onDialed(Dialed(address, connection != null, connection == null, timeoutMs, steadyMs() - startedAtMs))
            isReturned = connection != null
            return connection
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (expectedRefusal: Exception) {
            onDialed(Dialed(address, worked = false, isTimeout = false, timeoutMs, steadyMs() - startedAtMs))
            return null
        } finally {
            if (!isReturned) opened?.close()
        }
    }

    private suspend fun open(address: SocketAddress, maxQueuedBytes: Int): Connection {
        val socket = dialer.dial(selector, address)
        val source = ByteSource(ChannelInput(socket.openReadChannel()), maxQueuedBytes)
        return Connection(socket, selector, address, source = source)
    }

    /**
     * Returns [connection] to the pool. The peer closes it after [peerKeepAliveMs], or at an unknown time if that is
     * null.
     */
    fun release(connection: Connection, peerKeepAliveMs: Long?) {
        val reusableMs = peerKeepAliveMs?.let { it - it / KEEP_ALIVE_MARGIN_DIVISOR - KEEP_ALIVE_MARGIN_MS }
            ?: DEFAULT_KEEP_ALIVE_MS
        if (reusableMs <= 0 || connection.source.hasPendingInput || !connection.isReusable) {
            connection.close()
            return
        }
        connection.completedExchanges++
        connection.reusableUntilMs = steadyMs() + reusableMs
        val connections = idle.computeIfAbsent(connection.address) { ArrayDeque() }
        synchronized(connections) { connections.addLast(connection) }
    }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: SocketAddress) {
        val connections = idle[address] ?: return
        synchronized(connections) {
            connections.forEach { it.close() }
            connections.clear()
        }
    }

    /** Closes idle connections that may not be reused any more. */
    fun closeExpired() {
        closeIdle { !isUsable(it) }
    }

    /** Closes the idle connections that go through [vm]. */
    fun closeIdleRelayedBy(vm: String) = closeIdle { it.relayedBy == vm }

    private fun closeIdle(mustClose: (Connection) -> Boolean) = idle.values.forEach { connections ->
        synchronized(connections) {
            connections.filter(mustClose).forEach {
                connections.remove(it)
                it.close()
            }
        }
    }

    private fun isUsable(connection: Connection) =
        connection.reusableUntilMs > steadyMs() && !connection.source.hasPendingInput && connection.isReusable

    private companion object {
        /**
         * How long a connection is kept if the peer states no keep-alive timeout, in milliseconds: below one second.
         */
        const val DEFAULT_KEEP_ALIVE_MS = 500L

        /**
         * The peer's keep-alive timeout is reduced by one part in this many, and by a fixed margin for the network
         * delay and a late timer.
         */
        const val KEEP_ALIVE_MARGIN_DIVISOR = 5
        const val KEEP_ALIVE_MARGIN_MS = 150L
    }
}
