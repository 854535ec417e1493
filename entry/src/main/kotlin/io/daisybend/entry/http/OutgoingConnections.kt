/*
 * The connections that a VM opens: to endpoints and engines for requests, reports and orders, and to the store. An
 * endpoint may write an answer once more where the next one is due. Only the answers to requests name what they belong
 * to, so reports use no connection of requests, and an order uses one of its own.
 */
package io.daisybend.entry.http

import io.daisybend.entry.path.EndpointConnector
import io.daisybend.platform.HttpClient
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager

/**
 * Opens connections with [selector] and [dialer], whose results [onDialed] gets; [steadyMs] reads the monotonic clock.
 */
internal class OutgoingConnections(
    selector: SelectorManager,
    dialer: Dialer = TcpDialer,
    onDialed: (Dialed) -> Unit = {},
    steadyMs: () -> Long,
) {
    /** Connections for requests. */
    val requests = ConnectionPool(selector, dialer, onDialed, steadyMs)

    /** Connections for calls. */
    val ofCalls = ConnectionPool(selector, dialer, onDialed, steadyMs)

    /** Makes calls to the store, and reads reports of engines. */
    val calls: HttpClient = PooledHttpClient(ofCalls)

    /** Sends orders to engines. */
    val orders: HttpClient = PooledHttpClient(ofCalls, keepsConnections = false)

    /** Returns what makes calls over connections that [connector] opens among those of calls. */
    fun callsOver(connector: EndpointConnector): HttpClient =
        PooledHttpClient(ofCalls) { address, timeoutMs -> connector.open(address, requestId = null, timeoutMs) }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: SocketAddress) = pools.forEach { it.closeIdle(address) }

    /** Closes the idle connections through the peer [vm]. */
    fun closeIdleRelayedBy(vm: String) = pools.forEach { it.closeIdleRelayedBy(vm) }

    /** Closes idle connections that may not be reused any more. */
    fun closeExpired() = pools.forEach { it.closeExpired() }

    private val pools get() = listOf(requests, ofCalls)
}
