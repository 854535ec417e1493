/*
 * Opens the sockets of outgoing connections.
 */
package io.daisybend.entry.http

import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket

/** Opens sockets to addresses. */
internal fun interface Dialer {
    /** Returns a socket that is connected to [address]; throws an exception if that fails. */
    suspend fun dial(selector: SelectorManager, address: SocketAddress): Socket
}

/** The result of an attempt to open a connection to [address]: whether it [worked], or else whether its time ended. */
internal data class Dialed(
    val address: SocketAddress,
    val worked: Boolean,
    val isTimeout: Boolean,
    val timeoutMs: Long,
    val tookMs: Long,
)

/** Connects directly. */
internal object TcpDialer : Dialer {
    override suspend fun dial(selector: SelectorManager, address: SocketAddress): Socket = openSocket(selector, address)
}
