package io.daisybend.entry.relay

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionPool
import io.daisybend.entry.peers.Peer
import io.daisybend.entry.standin.ListenerPorts
import io.daisybend.platform.SocketAddress
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runInterruptible
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/** A VM that relays within [limits], another one that asks for relays, and an endpoint that tests speak for. */
internal class RelayRig(limits: RelayLimits = RelayLimits()) : AutoCloseable {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val log = EventLog("vm-2")
    private val endpoint = ServerSocket(0, 500, InetAddress.getLoopbackAddress())
    val target = SocketAddress("127.0.0.1", endpoint.localPort)
    val listed = hashSetOf(target)
    var mayHelp = true
    val pool = ConnectionPool(selector, steadyMs = ::nowMs)
    private val peerPool = ConnectionPool(selector, steadyMs = ::nowMs)
    val metrics = Metrics()
    val server =
        RelayServer(selector, peerPool, "vm-2", limits, { it in listed }, { mayHelp }, log, metrics, ::nowMs)
    val client = RelayClient(selector, "vm-1", EventLog("vm-1"), ::nowMs)
    val peer = peerAt(ListenerPorts.next())

    suspend fun start() = apply { server.start(scope, "127.0.0.1", peer.address.port) }

    fun peerAt(port: Int) = Peer("vm-2", SocketAddress("127.0.0.1", port), 0)

    suspend fun connect(to: SocketAddress = target, peer: Peer = this.peer, timeoutMs: Long = 1_000) =
        client.connect(peer, to, timeoutMs)

    /** Opens a relay; returns both ends. */
    suspend fun open(): Pair<Connection, Socket> {
        val connection = connect().shouldBeInstanceOf<RelayResult.Connected>().connection
        return connection to runInterruptible(Dispatchers.IO) { endpoint.accept() }
    }

    override fun close() {
        endpoint.close()
        scope.cancel()
        selector.close()
    }
}

internal fun nowMs() = System.nanoTime() / 1_000_000

internal suspend fun withRelay(limits: RelayLimits = RelayLimits(), check: suspend RelayRig.() -> Unit) =
    RelayRig(limits).use { it.start().check() }

/** Reads all bytes until the orderly end of the input. */
internal suspend fun ByteSource.readToEnd(): ByteArray {
    val bytes = java.io.ByteArrayOutputStream()
    do bytes.write(take(buffered)) while (fill())
    return bytes.toByteArray()
}
