/*
 * Opens connections to endpoints through a peer that reaches them.
 */
package io.daisybend.entry.relay

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.SocketOutput
import io.daisybend.entry.http.openSocket
import io.daisybend.entry.peers.Peer
import io.daisybend.kernel.decodeCbor
import io.daisybend.platform.SocketAddress
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Asks peers, on behalf of [ownVm], for connections to endpoints. */
internal class RelayClient(
    private val selector: SelectorManager,
    private val ownVm: String,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    /** Opens a connection to [target] through [peer]; gives up after [timeoutMs]. */
    suspend fun connect(peer: Peer, target: SocketAddress, timeoutMs: Long): RelayResult {
        val startedAtMs = steadyMs()
        var socket: Socket? = null
        val result = try {
            withTimeoutOrNull(timeoutMs) {
                val opened = openSocket(selector, peer.address).also { socket = it }
                val remainingMs = timeoutMs - (steadyMs() - startedAtMs)
                open(opened, peer, target, remainingMs - remainingMs / REPLY_SHARE)
            } ?: RelayResult.PeerUnavailable("no answer within $timeoutMs ms")
        } catch (cancelled: CancellationException) {
            socket?.close()
            throw cancelled
        } catch (failed: Exception) {
            RelayResult.PeerUnavailable(failed.message ?: failed.javaClass.simpleName)
        }
        if (result !is RelayResult.Connected) socket?.close()
        write(result, peer, target, startedAtMs)
        return result
    }

    private suspend fun open(socket: Socket, peer: Peer, target: SocketAddress, connectTimeoutMs: Long): RelayResult {
        val channel = socket.openReadChannel()
        val sink = SocketOutput(socket as Selectable, selector)
        val request = RelayRequest(RELAY_VERSION, ownVm, target.host, target.port, connectTimeoutMs)
        sink.writeAll(encodeRelayMessage(RelayRequest.serializer(), request))
        val reply = channel.readReply()
        return when {
            reply.version != RELAY_VERSION ->
                RelayResult.PeerUnavailable("expected relay version $RELAY_VERSION, got ${reply.version}")
            reply.outcome == RelayOutcome.REFUSED -> RelayResult.PeerUnavailable(reply.reason ?: "refused")
            reply.outcome == RelayOutcome.ENDPOINT_UNREACHABLE -> RelayResult.EndpointUnreachable
            else -> RelayResult.Connected(relayed(socket, channel, sink, peer, target))
        }
    }

    private fun relayed(
        socket: Socket,
        channel: ByteReadChannel,
        sink: SocketOutput,
        peer: Peer,
        target: SocketAddress,
    ): Connection {
        val requestBytes = sink.begunBytes
        val input = RelayInput(channel) { sink.begunBytes - requestBytes }
        val source = ByteSource(input)
        socket.socketContext.invokeOnCompletion {
            log.write(
                "relay-ended",
                "peer" to peer.vm,
                "endpoint" to target.toString(),
                "sentBytes" to sink.begunBytes - requestBytes,
                "receivedBytes" to source.receivedBytes,
                "end" to (input.end ?: "closed"),
            )
        }
        return Connection(socket, selector, target, peer.vm, sink, source, mayGoOn = { !input.isPeerStopping })
    }

    private fun write(result: RelayResult, peer: Peer, target: SocketAddress, startedAtMs: Long) {
        val reason = when (result) {
            is RelayResult.Connected -> null
            RelayResult.EndpointUnreachable -> "the peer can't reach the endpoint"
            is RelayResult.PeerUnavailable -> result.reason
        }
        log.write(
            if (reason == null) "relay-opened" else "relay-refused",
            "peer" to peer.vm,
            "endpoint" to target.toString(),
            "reason" to reason,
            "tookMs" to steadyMs() - startedAtMs,
        )
    }

    private companion object {
        /** One part in this many of the time for a connection is kept for the peer's reply. */
        const val REPLY_SHARE = 4
    }
}

private suspend fun ByteReadChannel.readReply(): RelayReply {
    val length = readInt()
    if (length !in 1..RelayFrame.MAX_MESSAGE_BYTES) throw IOException("expected a reply of a relay, got length $length")
    val bytes = ByteArray(length)
    readFully(bytes)
    return decodeCbor(RelayReply.serializer(), bytes).getOrElse { throw IOException(it.message) }
}
