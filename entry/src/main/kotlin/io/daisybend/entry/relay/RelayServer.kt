/*
 * Relays connections of peers that don't reach the endpoints themselves. Only bytes are moved, and only to endpoints in
 * this VM's own table, so the peer keeps all decisions and there is never a second hop.
 */
package io.daisybend.entry.relay

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionBrokenException
import io.daisybend.entry.http.ConnectionPool
import io.daisybend.kernel.decodeCbor
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope

/**
 * Accepts relays to the endpoints for which [mayRelayTo] returns true, while [mayHelp] does, at most [maxRelays] at a
 * time.
 */
internal class RelayServer(
    private val selector: SelectorManager,
    private val connectionPool: ConnectionPool,
    private val ownVm: String,
    private val maxRelays: Int,
    private val mayRelayTo: (SocketAddress) -> Boolean,
    private val mayHelp: () -> Boolean,
    private val log: EventLog,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    /** Number of open relays; idle ones are closed by the peer when this VM stops. */
    val inProgress: Int get() = 0

    /** Accepts connections of peers at [host]:[port]. */
    suspend fun start(scope: CoroutineScope, host: String, port: Int) = Unit

    /** Tells the peers that their relays may get no further requests. */
    fun startDraining() = Unit
}
