package io.daisybend.entry

import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.peerReport
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.daisybend.kernel.encodeCbor
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicLong

private const val FLEET_SIZE = 65
private const val LINK_MBPS = 7.0
private const val MAX_LINK_SHARE = 0.2
private const val MEASURED_MS = 4_000L
private const val REQUEST_INTERVAL_MS = 20L
private const val MODELS = 300

/** Peers of one VM that share a socket; they report themselves and count the bytes that the VM sends to them. */
private class CountingPeers(private val site: Site) {
    private val socket = DatagramSocket(0, InetAddress.getLoopbackAddress()).apply {
        soTimeout = 100
        receiveBufferSize = 4_000_000
    }
    val receivedBytes = AtomicLong()

    fun start() {
        site.scope.launch(Dispatchers.IO) {
            val packet = DatagramPacket(ByteArray(65_536), 65_536)
            while (isActive) {
                try {
                    socket.receive(packet)
                    receivedBytes.addAndGet(packet.length.toLong())
                } catch (expectedSilence: SocketTimeoutException) {
                    continue
                }
            }
            socket.close()
        }
        site.scope.launch(Dispatchers.IO) {
            var sequence = 0L
            while (true) {
                sequence++
                (2..FLEET_SIZE).forEach { send(report("vm-$it", sequence)) }
                delay(250)
            }
        }
    }

    private fun send(report: PeerReport) {
        val bytes = encodeCbor(PeerReport.serializer(), report)
        socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), site.peerPort))
    }

    private fun report(vm: String, sequence: Long) =
        peerReport(vm, sequence, socket.localPort, alivePeers = listOf("vm-1"), holdsDuty = vm == "vm-2")
}

class PeerTrafficTest : FunSpec({
    // Reports to 64 peers filled the 7 Mbit/s links of the smallest VMs, and then requests and store reads came late.
    test("reports to the peers of a large fleet leave four fifths of the smallest link to the requests") {
        withSite("limits.linkMbps=$LINK_MBPS") {
            configure()
            val peers = CountingPeers(this)
            peers.start()
            val caller = connect()
            var requests = 0
            suspend fun request() {
                caller.send("GET", "/safe/x", model = "model-${requests++ % MODELS}")
                caller.read()
                delay(REQUEST_INTERVAL_MS)
            }
            repeat(MODELS) { request() }
            val bytesBefore = peers.receivedBytes.get()
            val startedAtMs = System.nanoTime() / 1_000_000
            while (System.nanoTime() / 1_000_000 - startedAtMs < MEASURED_MS) request()
            val sentBytes = peers.receivedBytes.get() - bytesBefore
            val sentMbps = sentBytes * 8 / 1_000.0 / MEASURED_MS
            sentMbps shouldBeLessThan LINK_MBPS * MAX_LINK_SHARE
        }
    }
})
