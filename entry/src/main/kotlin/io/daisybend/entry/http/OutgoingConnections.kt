/*
 * The connections that a VM opens: to endpoints and engines for requests, reports and orders, and to the store. An
 * endpoint may write an answer once more where the next one is due. Only the answers to requests name what they belong
 * to, so reports use no connection of requests, and an order uses one of its own.
 */
package io.daisybend.entry.http

import io.daisybend.platform.HttpClient
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager

/** Opens connections with [selector]; [steadyMs] reads the monotonic clock. */
internal class OutgoingConnections(selector: SelectorManager, steadyMs: () -> Long) {
    /** Connections for requests. */
    val requests = ConnectionPool(selector, steadyMs)

    private val callPool = ConnectionPool(selector, steadyMs)

    /** Makes calls to the store, and reads reports of engines. */
    val calls: HttpClient = PooledHttpClient(callPool)

    /** Sends orders to engines. */
    val orders: HttpClient = PooledHttpClient(callPool, keepsConnections = false)

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: SocketAddress) = pools.forEach { it.closeIdle(address) }

    /** Closes idle connections that may not be reused any more. */
    fun closeExpired() = pools.forEach { it.closeExpired() }

    private val pools get() = listOf(requests, callPool)
}
