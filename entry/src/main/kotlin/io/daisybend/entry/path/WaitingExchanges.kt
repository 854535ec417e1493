/*
 * Exchanges under way on direct connections. An endpoint from which nothing arrives on any connection, while an
 * exchange waits there, may be silent or out of reach. Exchanges that have received nothing can go on through a peer.
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

/** The exchanges under way on direct connections. */
internal class WaitingExchanges(private val steadyMs: () -> Long) {
    private val exchanges = ConcurrentHashMap.newKeySet<WaitingExchange>()

    /** Begins an exchange on [connection]; null if that is relayed. */
    fun begin(connection: Connection, mayMove: Boolean): WaitingExchange? {
        if (connection.relayedBy != null) return null
        return WaitingExchange(connection, mayMove, steadyMs()).also(exchanges::add)
    }

    /** Ends [exchange]. */
    fun end(exchange: WaitingExchange?) {
        exchange?.let(exchanges::remove)
    }

    /** Returns the endpoints from which nothing has arrived for [silentMs] while exchanges wait there. */
    fun silentEndpoints(silentMs: Long): Set<SocketAddress> {
        val nowMs = steadyMs()
        exchanges.forEach { it.update(nowMs) }
        return exchanges.groupBy({ it.connection.address }, { it.heardAtMs })
            .filterValues { nowMs - it.max() >= silentMs }
            .keys
    }

    /** When bytes last arrived on any direct connection with an exchange, or null if there is none. */
    fun lastHeardAtMs(): Long? = exchanges.filter { !it.hasReceivedNothing }.maxOfOrNull { it.heardAtMs }

    /** Ends the exchanges that have received nothing for [silentMs] and may be sent again; returns how many. */
    fun moveSilent(silentMs: Long): Int {
        val nowMs = steadyMs()
        val silent = exchanges.filter {
            it.mayMove && !it.isMoved && it.hasReceivedNothing && nowMs - it.heardAtMs >= silentMs
        }
        silent.forEach { it.move() }
        return silent.size
    }
}
