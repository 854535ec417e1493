/*
 * Sends the report of this VM to all peers, at a fixed interval and early when requested, and receives their reports.
 */
package io.daisybend.entry.peers

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.daisybend.entry.Activity
import io.daisybend.entry.EventLog
import io.daisybend.entry.LoadMonitor
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

/** Exchanges reports with the peers by UDP. */
internal class PeerLink(
    private val selector: SelectorManager,
    private val peers: PeerTable,
    private val log: EventLog,
    private val load: LoadMonitor,
    private val buildReport: () -> PeerReport,
    private val onReport: (PeerReport) -> Unit,
) {
    private val reportRequested = Channel<Unit>(Channel.CONFLATED)

    /** Sends a report before the next regular one is due. */
    fun reportSoon() {
        reportRequested.trySend(Unit)
    }

    /** Starts sending and receiving at [host]:[port]. */
    suspend fun start(scope: CoroutineScope, host: String, port: Int) {
        val socket = aSocket(selector).udp().bind(InetSocketAddress(host, port))
        scope.launch { receiveLoop(socket) }
        scope.launch {
            while (true) {
                withTimeoutOrNull(PeerTimeouts.REPORT_INTERVAL_MS) { reportRequested.receive() }
                load.measure(Activity.SEND_REPORTS) { sendToAllPeers(socket) }
                delay(MIN_SEND_INTERVAL_MS)
            }
        }
    }

    private suspend fun sendToAllPeers(socket: BoundDatagramSocket) {
        val bytes = encodeCbor(PeerReport.serializer(), buildReport())
        peers.all.forEach { peer ->
            try {
                load.countBytes(Activity.SEND_REPORTS, bytes.size)
                val packet = Buffer().apply { write(bytes) }
                socket.send(Datagram(packet, InetSocketAddress(peer.address.host, peer.address.port)))
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failed: Exception) {
                log.write("peer-send-failed", "peer" to peer.vm, "reason" to failed.message)
            }
        }
    }

    private suspend fun receiveLoop(socket: BoundDatagramSocket) {
        while (true) {
            try {
                val bytes = socket.receive().packet.readByteArray()
                load.countBytes(Activity.APPLY_REPORT, bytes.size)
                load.measure(Activity.APPLY_REPORT) {
                    decodeCbor(PeerReport.serializer(), bytes)
                        .onSuccess(onReport)
                        .onFailure { log.write("peer-report-unreadable", "reason" to it.message) }
                }
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failed: Exception) {
                log.write("peer-receive-failed", "reason" to failed.message)
                delay(MIN_SEND_INTERVAL_MS)
            }
        }
    }

    private companion object {
        /** Minimum interval between two reports, in milliseconds. */
        const val MIN_SEND_INTERVAL_MS = 8L
    }
}
