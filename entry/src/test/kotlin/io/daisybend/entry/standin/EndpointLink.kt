/*
 * The network between one VM and the endpoints, which can be cut for this VM alone.
 */
package io.daisybend.entry.standin

import io.daisybend.entry.http.Dialer
import io.daisybend.entry.http.TcpDialer
import io.daisybend.entry.soak.SoakProxy
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.awaitCancellation
import java.net.ConnectException

/** What becomes of connections while a link is cut. */
internal enum class Cut {
    /** All connections hang, new ones too. */
    HANGING,

    /** Open connections are reset when they are used, new ones are refused. */
    RESET,

    /** Open connections go on, new ones are refused. */
    LIVE_ONES_GO_ON,
}

/** Leads the connections of one VM to [endpoints] through proxies. */
internal class EndpointLink(endpoints: List<FakeEndpoint>) :
    Dialer,
    AutoCloseable {
    private val proxies = endpoints.associate { it.port to SoakProxy(it.port) }

    /** How the link is cut, or null. */
    @Volatile
    var cut: Cut? = null
        private set

    override suspend fun dial(selector: SelectorManager, address: SocketAddress): Socket {
        val proxy = proxies[address.port] ?: return TcpDialer.dial(selector, address)
        return when (cut) {
            null -> TcpDialer.dial(selector, address.copy(port = proxy.port))
            Cut.HANGING -> awaitCancellation()
            Cut.RESET, Cut.LIVE_ONES_GO_ON -> throw ConnectException("the link is cut")
        }
    }

    /** Cuts the link as [cut] says, or ends its cut if that is null. */
    fun setCut(cut: Cut?) {
        this.cut = cut
        proxies.values.forEach {
            it.isSilent = cut == Cut.HANGING
            it.resetsOnUse = cut == Cut.RESET
        }
    }

    /** Number of pieces that the link has passed on to [endpoint]. */
    fun piecesTo(endpoint: FakeEndpoint): Int = proxies.getValue(endpoint.port).piecesToTarget.get()

    override fun close() = proxies.values.forEach { it.close() }
}
