/*
 * Calls between the daemons of one system. A connection is opened when it is first needed, carries any number of calls
 * at once, and is replaced after it ends. There is no full mesh: a daemon connects only to the peers that it calls.
 */
package io.daisybend.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.daisybend.kernel.VmId
import io.daisybend.kernel.settings.HostAndPort
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Finds the address on which a VM's daemon listens for peers. */
public fun interface PeerAddressResolver {
    /** Returns the address of [vmId], or null when it is not known. */
    public fun addressOf(vmId: VmId): HostAndPort?
}

/** Connects the daemon of [vmId] with the daemons that share its [secret]. */
public class PeerNetwork(
    private val vmId: VmId,
    secret: ByteArray,
    private val addresses: PeerAddressResolver,
    private val limits: PeerLimits = PeerLimits(),
) {
    private val handshake = Handshake(secret.copyOf())
    private val handlers = PeerHandlers()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val connections = ConcurrentHashMap<VmId, PeerConnection>()
    private val connecting = ConcurrentHashMap<VmId, Mutex>()
    private val incoming = Semaphore(limits.maxIncomingConnections)
    private var server: ServerSocket? = null

    /** Answers calls on [channel] with [handler]; throws when the channel already has a handler. */
    public fun registerHandler(channel: String, handler: PeerHandler): Unit = handlers.add(channel, handler)

    /** Accepts connections at [address]; throws when the address cannot be bound. */
    public suspend fun listen(address: HostAndPort) {
        val bound = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        server = bound
        scope.launch { acceptFrom(bound) }
    }

    private suspend fun acceptFrom(bound: ServerSocket) {
        try {
            while (true) {
                val socket = bound.accept()
                if (incoming.tryAcquire()) scope.launch { serve(socket) } else socket.close()
            }
        } catch (_: java.nio.channels.ClosedChannelException) {
            log.debug("stopped listening for peers")
        }
    }

    /** Sends [payload] to [to] and returns its answer; fails with a [PeerFailure] that says whether it was handled. */
    public suspend fun call(
        to: VmId,
        channel: String,
        payload: ByteArray,
        timeoutMs: Long,
    ): Result<ByteArray, PeerFailure> {
        val maxPayloadBytes = limits.maxFrameBytes - FRAME_OVERHEAD_BYTES
        if (payload.size > maxPayloadBytes) return Err(PeerFailure.TooLarge(to, payload.size, maxPayloadBytes))
        return connectionTo(to).andThen { it.call(channel, payload, timeoutMs) }
    }

    /** Ends all connections and stops listening. */
    public fun close() {
        server?.close()
        connections.values.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private suspend fun connectionTo(peer: VmId): Result<PeerConnection, PeerFailure> {
        connections[peer]?.takeIf { it.isOpen }?.let { return Ok(it) }
        return connecting.computeIfAbsent(peer) { Mutex() }.withLock {
            connections[peer]?.takeIf { it.isOpen }?.let { Ok(it) } ?: connect(peer)
        }
    }

    private suspend fun connect(peer: VmId): Result<PeerConnection, PeerFailure> {
        val address = addresses.addressOf(peer) ?: return Err(PeerFailure.UnknownPeer(peer))
        return try {
            withTimeout(limits.connectTimeoutMs) { open(peer, address) }
        } catch (_: kotlinx.coroutines.TimeoutCancellationException) {
            Err(PeerFailure.NotConnected(peer, "no answer within ${limits.connectTimeoutMs} ms"))
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failed: Exception) {
            Err(PeerFailure.NotConnected(peer, failed.javaClass.simpleName))
        }
    }

    private suspend fun open(peer: VmId, address: HostAndPort): Result<PeerConnection, PeerFailure> {
        val socket = aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
        val connection = try {
            authenticateListener(peer, socket)
        } catch (failed: Exception) {
            socket.close()
            throw failed
        }
        if (connection == null) {
            socket.close()
            return Err(PeerFailure.NotAuthenticated(peer))
        }
        connections[peer] = connection
        connection.start(scope)
        return Ok(connection)
    }

    private suspend fun authenticateListener(peer: VmId, socket: Socket): PeerConnection? {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val nonce = handshake.nonce()
        output.writeFrame(Frame.Hello(vmId, peer, nonce).encode())
        val challenge = input.readFrame(MAX_HANDSHAKE_BYTES) as? Frame.Challenge ?: return null
        val expected = handshake.listenerProof(vmId, peer, nonce, challenge.nonce)
        if (!handshake.matches(expected, challenge.proof)) return null
        output.writeFrame(Frame.Proof(handshake.openerProof(vmId, peer, nonce, challenge.nonce)).encode())
        return PeerConnection(peer, socket, input, output, limits, handlers)
    }

    private suspend fun serve(socket: Socket) {
        try {
            val connection = withTimeoutOrNull(limits.connectTimeoutMs) { authenticateOpener(socket) }
            if (connection == null) {
                log.warn("refused a connection from {}: it did not prove the system's secret", socket.remoteAddress)
                socket.close()
            } else {
                connection.start(scope)
            }
        } catch (failed: java.io.IOException) {
            log.warn("refused a connection from {}: {}", socket.remoteAddress, failed.message)
            socket.close()
        } finally {
            incoming.release()
        }
    }

    private suspend fun authenticateOpener(socket: Socket): PeerConnection? {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val hello = (input.readFrame(MAX_HANDSHAKE_BYTES) as? Frame.Hello)?.takeIf { it.to == vmId } ?: return null
        val nonce = handshake.nonce()
        val ownProof = handshake.listenerProof(hello.from, vmId, hello.nonce, nonce)
        output.writeFrame(Frame.Challenge(nonce, ownProof).encode())
        val proof = input.readFrame(MAX_HANDSHAKE_BYTES) as? Frame.Proof ?: return null
        val expected = handshake.openerProof(hello.from, vmId, hello.nonce, nonce)
        val proven = handshake.matches(expected, proof.proof)
        return if (proven) PeerConnection(hello.from, socket, input, output, limits, handlers) else null
    }

    private companion object {
        const val MAX_HANDSHAKE_BYTES = 1_024
        const val FRAME_OVERHEAD_BYTES = 512
        val log = LoggerFactory.getLogger(PeerNetwork::class.java)
    }
}
