/*
 * Relays connections of peers that don't reach the endpoints themselves. Only bytes are moved, and only to endpoints in
 * this VM's own table, so the peer keeps all decisions and there is never a second hop.
 */
package io.daisybend.entry.relay

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.ChannelInput
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionBrokenException
import io.daisybend.entry.http.ConnectionPool
import io.daisybend.kernel.decodeCbor
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Relays for peers to the endpoints for which [mayRelayTo] returns true, while [mayHelp] does, within [limits]. */
internal class RelayServer(
    private val selector: SelectorManager,
    private val connectionPool: ConnectionPool,
    private val ownVm: String,
    private val limits: RelayLimits,
    private val mayRelayTo: (SocketAddress) -> Boolean,
    private val mayHelp: () -> Boolean,
    private val log: EventLog,
    metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    private val relays = ConcurrentHashMap.newKeySet<Relay>()
    private val openConnections = AtomicInteger()
    private val takenRelays = AtomicInteger()
    private val totals = RelayTotals()
    private val relayAdded = Channel<Unit>(Channel.CONFLATED)
    private lateinit var scope: CoroutineScope

    @Volatile
    private var isDraining = false

    /** Number of open relays; a peer closes those without an exchange under way when this VM stops. */
    val inProgress: Int get() = takenRelays.get()

    init {
        metrics.addGauge("daisybend_relays", "Connections to endpoints that are relayed for peers") {
            inProgress.toDouble()
        }
        metrics.addCounters("daisybend_relay_bytes_total", "Bytes relayed for peers, by receiver", "to") {
            mapOf(
                "endpoint" to totals.forwardedBytes.toDouble(),
                "peer" to totals.answeredBytes.toDouble(),
            )
        }
    }

    /** Accepts connections of peers at [host]:[port]. */
    suspend fun start(scope: CoroutineScope, host: String, port: Int) {
        this.scope = scope
        val server = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) {
            reuseAddress = true
            backlogSize = BACKLOG
        }
        scope.launch { accept(server) }
        scope.launch { checkRelays() }
    }

    /** Refuses new relays and tells the peers that the open ones may get no further requests. */
    fun startDraining() {
        isDraining = true
        relays.forEach { scope.launch { it.announceStop() } }
    }

    private suspend fun accept(server: ServerSocket) {
        while (true) {
            try {
                val socket = server.accept()
                scope.launch { serve(socket) }
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failed: IOException) {
                log.write("relay-accept-failed", "reason" to failed.message)
                delay(ACCEPT_RETRY_MS)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val hop = try {
            openHop(socket)
        } catch (ended: IOException) {
            log.write("relay-refused", "reason" to "connection ended: ${ended.message}")
            socket.close()
            return
        }
        try {
            // Beyond the relays there is room to read requests and to answer them with a refusal.
            if (openConnections.incrementAndGet() > limits.maxRelays + MAX_REFUSALS_UNDER_WAY) {
                log.write("relay-refused", "reason" to "more than ${limits.maxRelays} relays, request not read")
            } else {
                answer(hop)
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failed: Exception) {
            log.write("relay-refused", "reason" to (failed.message ?: failed.javaClass.simpleName))
        } finally {
            openConnections.decrementAndGet()
            hop.close()
        }
    }

    private fun openHop(socket: Socket): Connection {
        ((socket as Selectable).channel as SocketChannel).setOption(StandardSocketOptions.SO_KEEPALIVE, true)
        val remote = socket.remoteAddress as InetSocketAddress
        val source = ByteSource(ChannelInput(socket.openReadChannel()), limits.maxQueuedBytes)
        return Connection(socket, selector, SocketAddress(remote.hostname, remote.port), source = source)
    }

    private suspend fun answer(hop: Connection) {
        val request = withTimeoutOrNull(limits.requestTimeoutMs) { hop.source.readRequest() }
            ?: throw IOException("expected a request within ${limits.requestTimeoutMs} ms, got none")
        val target = SocketAddress(request.host, request.port)
        val refusal = refusalOf(request, target)
        when {
            refusal != null -> refuse(hop, request, RelayOutcome.REFUSED, refusal)
            takenRelays.incrementAndGet() > limits.maxRelays -> {
                takenRelays.decrementAndGet()
                refuse(hop, request, RelayOutcome.REFUSED, "busy with ${limits.maxRelays} relays")
            }
            else -> try {
                relay(hop, request, target)
            } finally {
                takenRelays.decrementAndGet()
            }
        }
    }

    private fun refusalOf(request: RelayRequest, target: SocketAddress): String? = when {
        request.version != RELAY_VERSION -> "expected relay version $RELAY_VERSION, got ${request.version}"
        isDraining -> "stopping"
        !mayHelp() -> "without a way to the endpoints"
        !mayRelayTo(target) -> "not listed"
        else -> null
    }

    private suspend fun relay(hop: Connection, request: RelayRequest, target: SocketAddress) {
        val timeoutMs = request.connectTimeoutMs.coerceIn(1, limits.maxConnectTimeoutMs)
        val endpoint = connectionPool.connect(target, timeoutMs, limits.maxQueuedBytes)
            ?: return refuse(hop, request, RelayOutcome.ENDPOINT_UNREACHABLE, "no connection within $timeoutMs ms")
        val relay = Relay(hop, endpoint, totals, steadyMs)
        var end: RelayEnd? = null
        try {
            log.write("relay-opened", "peer" to request.vm, "endpoint" to target.toString())
            reply(hop, RelayOutcome.CONNECTED)
            relays.add(relay)
            relayAdded.trySend(Unit)
            // The stop may have begun since the request was checked.
            if (isDraining) relay.announceStop()
            end = relay.run()
        } finally {
            endpoint.close()
            relays.remove(relay)
            log.write(
                "relay-ended",
                "peer" to request.vm,
                "endpoint" to target.toString(),
                "forwardedBytes" to relay.forwardedBytes,
                "answeredBytes" to relay.answeredBytes,
                "end" to (end?.name?.lowercase() ?: "failed"),
            )
        }
    }

    private suspend fun refuse(hop: Connection, request: RelayRequest, outcome: RelayOutcome, reason: String) {
        log.write(
            "relay-refused",
            "peer" to request.vm,
            "endpoint" to SocketAddress(request.host, request.port).toString(),
            "reason" to reason,
        )
        reply(hop, outcome, reason)
    }

    private suspend fun reply(hop: Connection, outcome: RelayOutcome, reason: String? = null) {
        val reply = RelayReply(RELAY_VERSION, ownVm, outcome, reason)
        hop.sink.writeAll(encodeRelayMessage(RelayReply.serializer(), reply))
    }

    private suspend fun checkRelays() {
        while (true) {
            if (relays.isEmpty()) relayAdded.receive()
            delay(CHECK_INTERVAL_MS)
            relays.forEach { it.check(scope, limits.idleTimeoutMs) }
        }
    }

    private companion object {
        /** Maximum number of connections that wait to be accepted. */
        const val BACKLOG = 512
        const val MAX_REFUSALS_UNDER_WAY = 64
        const val ACCEPT_RETRY_MS = 20L

        /** How often open relays are checked for idleness and stalled writes, in milliseconds. */
        const val CHECK_INTERVAL_MS = 25L
    }
}

private suspend fun ByteSource.readRequest(): RelayRequest {
    val length = ByteBuffer.wrap(readBytes(Int.SIZE_BYTES)).int
    if (length !in 1..RelayFrame.MAX_MESSAGE_BYTES) throw IOException("expected a relay request, got length $length")
    return decodeCbor(RelayRequest.serializer(), readBytes(length)).getOrElse { throw IOException(it.message) }
}

private suspend fun ByteSource.readBytes(count: Int): ByteArray {
    while (buffered < count) if (!fill()) throw ConnectionBrokenException(null)
    return take(count)
}
