/*
 * Calls between the daemons of a system. A connection to a peer is opened on the first call, carries concurrent calls
 * and is reopened by the next call after it closes. There is no full mesh: a daemon connects only to the peers that it
 * calls.
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

/** Resolves a VM to the address on which its daemon listens for peers. */
public fun interface PeerAddressResolver {
    /** Returns the address of [vmId], or null if it is not known. */
    public fun addressOf(vmId: VmId): HostAndPort?
}

/** Connects the daemon of [vmId] to the daemons that have the same [secret]. */
public class PeerNetwork(
    private val vmId: VmId,
    secret: ByteArray,
    private val addressResolver: PeerAddressResolver,
    private val limits: PeerLimits = PeerLimits(),
) {
    private val handshake = Handshake(secret.copyOf())
    private val handlers = PeerHandlers()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val connections = ConcurrentHashMap<VmId, PeerConnection>()
    private val connectMutexes = ConcurrentHashMap<VmId, Mutex>()
    private val handshakePermits = Semaphore(limits.maxConcurrentHandshakes)
    private var server: ServerSocket? = null

    /** Registers [handler] for calls on [channel]; throws if the channel already has a handler. */
    public fun registerHandler(channel: String, handler: PeerHandler): Unit = handlers.register(channel, handler)

    /** Starts accepting connections at [address]; throws if the address cannot be bound. */
    public suspend fun listen(address: HostAndPort) {
        val serverSocket = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        server = serverSocket
        scope.launch { acceptFrom(serverSocket) }
    }

    private suspend fun acceptFrom(serverSocket: ServerSocket) {
        try {
            while (true) {
                val socket = serverSocket.accept()
                if (handshakePermits.tryAcquire()) scope.launch { serve(socket) } else socket.close()
            }
        } catch (_: java.nio.channels.ClosedChannelException) {
            log.debug("stopped listening for peers")
        }
    }

    /**
     * Calls [channel] of the VM [to] with [payload] and returns the response. Fails with a [PeerFailure], whose
     * [PeerFailure.mayHaveHandled] states whether the peer may have handled the call.
     */
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

    /** Closes all connections and stops listening. */
    public fun close() {
        server?.close()
        connections.values.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private suspend fun connectionTo(peer: VmId): Result<PeerConnection, PeerFailure> {
        connections[peer]?.takeIf { it.isOpen }?.let { return Ok(it) }
        return connectMutexes.computeIfAbsent(peer) { Mutex() }.withLock {
            connections[peer]?.takeIf { it.isOpen }?.let { Ok(it) } ?: connect(peer)
        }
    }

    private suspend fun connect(peer: VmId): Result<PeerConnection, PeerFailure> {
        val address = addressResolver.addressOf(peer) ?: return Err(PeerFailure.UnknownPeer(peer))
        return try {
            withTimeout(limits.connectTimeoutMs) { open(peer, address) }
        } catch (_: kotlinx.coroutines.TimeoutCancellationException) {
            Err(PeerFailure.NotConnected(peer, "no connection within ${limits.connectTimeoutMs} ms"))
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (exception: Exception) {
            Err(PeerFailure.NotConnected(peer, exception.javaClass.simpleName))
        }
    }

    private suspend fun open(peer: VmId, address: HostAndPort): Result<PeerConnection, PeerFailure> {
        val socket = aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
        val connection = try {
            authenticateListener(peer, socket)
        } catch (exception: Exception) {
            socket.close()
            throw exception
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
        val nonce = handshake.newNonce()
        output.writeFrame(Frame.Hello(vmId, peer, nonce).encode())
        val challenge = input.readFrame(MAX_HANDSHAKE_BYTES) as? Frame.Challenge ?: return null
        val expected = handshake.listenerProof(vmId, peer, nonce, challenge.nonce)
        if (!handshake.matches(expected, challenge.proof)) return null
        output.writeFrame(Frame.Proof(handshake.dialerProof(vmId, peer, nonce, challenge.nonce)).encode())
        return PeerConnection(peer, socket, input, output, limits, handlers)
    }

    private suspend fun serve(socket: Socket) {
        try {
            val connection = withTimeoutOrNull(limits.connectTimeoutMs) { authenticateDialer(socket) }
            if (connection == null) {
                log.warn("rejected a connection from {}: handshake invalid or timed out", socket.remoteAddress)
                socket.close()
            } else {
                connection.start(scope)
            }
        } catch (exception: java.io.IOException) {
            log.warn("rejected a connection from {}: {}", socket.remoteAddress, exception.message)
            socket.close()
        } finally {
            handshakePermits.release()
        }
    }

    private suspend fun authenticateDialer(socket: Socket): PeerConnection? {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val hello = (input.readFrame(MAX_HANDSHAKE_BYTES) as? Frame.Hello)?.takeIf { it.to == vmId } ?: return null
        val nonce = handshake.newNonce()
        val ownProof = handshake.listenerProof(hello.from, vmId, hello.nonce, nonce)
        output.writeFrame(Frame.Challenge(nonce, ownProof).encode())
        val proof = input.readFrame(MAX_HANDSHAKE_BYTES) as? Frame.Proof ?: return null
        val expected = handshake.dialerProof(hello.from, vmId, hello.nonce, nonce)
        val isAuthenticated = handshake.matches(expected, proof.proof)
        return if (isAuthenticated) PeerConnection(hello.from, socket, input, output, limits, handlers) else null
    }

    private companion object {
        const val MAX_HANDSHAKE_BYTES = 1_024
        const val FRAME_OVERHEAD_BYTES = 512
        val log = LoggerFactory.getLogger(PeerNetwork::class.java)
    }
}
