/*
 * Sends the reports of this VM to its peers, at the interval of the schedule and early when requested, and receives
 * their reports.
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
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

/** What a report is for, which decides what it contains. */
internal enum class ReportPurpose {
    /** Tells all peers what changed since the last reports. */
    BROADCAST,

    /** Tells one peer the complete state. */
    COMPLETE,

    /** Tells the holder of the order duty the changed demand. */
    DEMAND,

    /** Passes on records of the list of endpoints. */
    RELAY,
}

/** Exchanges reports with the peers by UDP. */
internal class PeerLink(
    private val selector: SelectorManager,
    private val peers: PeerTable,
    private val schedule: ReportSchedule,
    private val log: EventLog,
    private val load: LoadMonitor,
    private val steadyMs: () -> Long,
    private val buildReport: (ReportPurpose) -> PeerReport,
    private val onReport: (PeerReport) -> Unit,
) {
    private val broadcastRequested = Channel<Unit>(Channel.CONFLATED)
    private val demandChanged = Channel<Unit>(Channel.CONFLATED)
    private val uninformedPeers = Channel<String>(Channel.UNLIMITED)

    /** Peers ignore a report that overtakes a later one, so reports are built and sent one after the other. */
    private val sending = Mutex()

    @Volatile
    private var boundSocket: BoundDatagramSocket? = null

    /** Sends a report to all peers before the next regular one is due. */
    fun reportSoon() {
        broadcastRequested.trySend(Unit)
    }

    /** Sends a report to the holder of the order duty before the next regular one is due. */
    fun reportDemandSoon() {
        demandChanged.trySend(Unit)
    }

    /** Sends a complete report to the peer [vm], which may know nothing of this VM. */
    fun reportCompletelyTo(vm: String) {
        uninformedPeers.trySend(vm)
    }

    /** Sends a report with each of [relays], which are called when it is built, to [recipients]. */
    suspend fun relay(relays: List<() -> EndpointRelayReport>, recipients: List<Peer>) {
        val socket = boundSocket ?: return
        val (holders, others) = recipients.partition { it.holdsDuty }
        relays.forEach { relay ->
            sending.withLock {
                val report = buildReport(ReportPurpose.RELAY).copy(endpointRecords = relay())
                load.measure(Activity.SEND_REPORTS) {
                    holders.forEach { send(socket, report, listOf(it)) }
                    if (others.isNotEmpty()) send(socket, report.withoutDemand(), others)
                }
            }
        }
    }

    /** Sends a report to all peers at once, for a VM that is about to end; gives up after [LAST_REPORT_MS]. */
    suspend fun reportNow() {
        val socket = boundSocket ?: return
        withTimeoutOrNull(LAST_REPORT_MS) { broadcast(socket) }
    }

    /** Starts sending and receiving at [host]:[port]. */
    suspend fun start(scope: CoroutineScope, host: String, port: Int) {
        val socket = aSocket(selector).udp().bind(InetSocketAddress(host, port))
        boundSocket = socket
        scope.launch { receiveLoop(socket) }
        scope.launch { broadcastLoop(socket) }
        scope.launch {
            while (true) {
                demandChanged.receive()
                load.measure(Activity.SEND_REPORTS) {
                    send(socket, ReportPurpose.DEMAND, peers.all.filter { it.holdsDuty })
                }
                delay(schedule.demandPauseMs(peers.vmCount))
            }
        }
        scope.launch {
            while (true) {
                val peer = peers.find(uninformedPeers.receive()) ?: continue
                load.measure(Activity.SEND_REPORTS) { send(socket, ReportPurpose.COMPLETE, listOf(peer)) }
            }
        }
    }

    private suspend fun broadcastLoop(socket: BoundDatagramSocket) {
        var sentAtMs = steadyMs()
        while (true) {
            val dueMs = sentAtMs + schedule.intervalMs(peers.vmCount)
            withTimeoutOrNull(dueMs - steadyMs()) { broadcastRequested.receive() }
            sentAtMs = steadyMs()
            val sentBytes = load.measure(Activity.SEND_REPORTS) { broadcast(socket) }
            delay(schedule.pauseMs(peers.vmCount, sentBytes, steadyMs() - sentAtMs))
        }
    }

    private suspend fun broadcast(socket: BoundDatagramSocket): Long = sending.withLock {
        val complete = buildReport(ReportPurpose.BROADCAST)
        val brief = complete.withoutDemand()
        val (holders, others) = peers.all.partition { it.holdsDuty }
        // Each group has its own encoding, which tells its members alone that the sender receives their reports.
        holders.sumOf { send(socket, complete, listOf(it)) } +
            others.chunked(GROUP_SIZE).sumOf { send(socket, brief, it) }
    }

    private suspend fun send(socket: BoundDatagramSocket, purpose: ReportPurpose, recipients: List<Peer>) {
        if (recipients.isEmpty()) return
        sending.withLock { send(socket, buildReport(purpose), recipients) }
    }

    /** Sends [report] to [recipients]; returns the number of bytes sent. */
    private suspend fun send(socket: BoundDatagramSocket, report: PeerReport, recipients: List<Peer>): Long {
        val now = steadyMs()
        val alive = recipients.filter { peers.isAlive(it, now) }.map { it.vm }
        val bytes = encodeCbor(PeerReport.serializer(), report.copy(alivePeers = alive))
        recipients.forEach { peer ->
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
        return bytes.size.toLong() * recipients.size
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
                delay(RECEIVE_RETRY_MS)
            }
        }
    }

    private companion object {
        /** Recipients that share one encoding of a report. */
        const val GROUP_SIZE = 8

        /** Time for the last report of a VM that ends, in milliseconds: it adds to the time of a stop. */
        const val LAST_REPORT_MS = 100L

        /** Pause after a failed receive, in milliseconds. */
        const val RECEIVE_RETRY_MS = 8L
    }
}
