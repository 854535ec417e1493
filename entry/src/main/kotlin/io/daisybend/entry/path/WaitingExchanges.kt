/*
 * Exchanges under way at endpoints. An endpoint from which nothing arrives on any direct connection, while an exchange
 * waits there, may be silent or out of reach. Exchanges that have received nothing can go on through a peer, or through
 * another one if theirs is lost.
 */
package io.daisybend.entry.path

import io.daisybend.entry.http.Connection
import io.daisybend.platform.SocketAddress
import java.util.concurrent.ConcurrentHashMap

/** An exchange on [connection]; it can be sent again if [mayMove]. */
internal class WaitingExchange(val connection: Connection, val mayMove: Boolean, var heardAtMs: Long) {
    private val receivedAtStart = connection.source.receivedBytes
    private var receivedBytes = receivedAtStart

    /** Whether the exchange was ended so that it goes on through a peer. */
    @Volatile
    var isMoved = false
        private set

    /** Whether nothing of the response has arrived. */
    val hasReceivedNothing: Boolean get() = connection.source.receivedBytes == receivedAtStart

    /** Notes at [nowMs] whether bytes have arrived. */
    fun update(nowMs: Long) {
        val received = connection.source.receivedBytes
        if (received != receivedBytes) heardAtMs = nowMs
        receivedBytes = received
    }

    /** Ends the exchange; its reader then finds [isMoved]. */
    fun move() {
        isMoved = true
        connection.close()
    }
}

/** The exchanges under way. */
internal class WaitingExchanges(private val steadyMs: () -> Long) {
    private val exchanges = ConcurrentHashMap.newKeySet<WaitingExchange>()

    private val direct get() = exchanges.filter { it.connection.relayedBy == null }

    /** Begins an exchange on [connection]. */
    fun begin(connection: Connection, mayMove: Boolean): WaitingExchange =
        WaitingExchange(connection, mayMove, steadyMs()).also(exchanges::add)

    /** Ends [exchange]. */
    fun end(exchange: WaitingExchange) {
        exchanges.remove(exchange)
    }

    /** Returns the endpoints from which nothing has arrived for [silentMs] while exchanges wait there. */
    fun silentEndpoints(silentMs: Long): Set<SocketAddress> {
        val nowMs = steadyMs()
        exchanges.forEach { it.update(nowMs) }
        return direct.groupBy({ it.connection.address }, { it.heardAtMs })
            .filterValues { nowMs - it.max() >= silentMs }
            .keys
    }

    /** When bytes last arrived on any direct connection with an exchange, or null if there is none. */
    fun lastHeardAtMs(): Long? = direct.filter { !it.hasReceivedNothing }.maxOfOrNull { it.heardAtMs }

    /**
     * Ends the exchanges that have received nothing for [silentMs], may be sent again and whose connection [isLost];
     * returns how many.
     */
    fun moveSilent(silentMs: Long, isLost: (Connection) -> Boolean): Int {
        val nowMs = steadyMs()
        val silent = exchanges.filter {
            it.mayMove &&
                !it.isMoved &&
                it.hasReceivedNothing &&
                nowMs - it.heardAtMs >= silentMs &&
                isLost(it.connection)
        }
        silent.forEach { it.move() }
        return silent.size
    }
}
