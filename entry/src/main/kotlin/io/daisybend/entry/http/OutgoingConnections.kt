/*
 * The connections that a VM opens: to endpoints and engines for requests, reports and orders, and to the store.
 */
package io.daisybend.entry.http

import io.daisybend.platform.HttpClient
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager

/** Opens connections with [selector]; [steadyMs] reads the monotonic clock. */
internal class OutgoingConnections(selector: SelectorManager, steadyMs: () -> Long) {
    /** Connections for requests. */
    val requests = ConnectionPool(selector, steadyMs)

    /** Makes calls to the store, and reads reports of engines. */
    val calls: HttpClient = PooledHttpClient(requests)

    /** Sends orders to engines. */
    val orders: HttpClient = calls

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: SocketAddress) = requests.closeIdle(address)

    /** Closes idle connections that may not be reused any more. */
    fun closeExpired() = requests.closeExpired()
}
