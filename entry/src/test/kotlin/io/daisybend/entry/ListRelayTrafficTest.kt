package io.daisybend.entry

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.peers.EndpointRecordReport
import io.daisybend.entry.peers.EndpointRelayReport
import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.peerReport
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.daisybend.serving.endpoint.ListRelay
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.seconds

private const val ENDPOINTS_TOPIC = "keyed.servers"
private const val REPORT_INTERVAL_MS = 250L
private const val MAX_DATAGRAM_BYTES = 65_536

/** More VMs than a fleet may have in which each one follows the store by itself. */
private const val FLEET_SIZE = 18

/** Peers of one VM in its failure domain that share a socket; [relay] is in the reports of the first one. */
private class DomainPeers(private val site: Site, private val names: List<String>) {
    private val socket = DatagramSocket(0, InetAddress.getLoopbackAddress()).apply { soTimeout = 100 }
    private val startedAtNanos = System.nanoTime()

    /** Parts of the list that the VM passed on. */
    val received = ConcurrentLinkedQueue<EndpointRelayReport>()

    @Volatile
    var relay: EndpointRelayReport? = null

    fun start() {
        site.scope.launch(Dispatchers.IO) {
            val packet = DatagramPacket(ByteArray(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES)
            while (isActive) {
                try {
                    socket.receive(packet)
                    val bytes = packet.data.copyOf(packet.length)
                    val report = decodeCbor(PeerReport.serializer(), bytes).getOrElse { error(it.message) }
                    report.endpointRecords?.let(received::add)
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
                names.forEach { send(it, sequence, relay.takeIf { _ -> it == names.first() }) }
                delay(REPORT_INTERVAL_MS)
            }
        }
    }

    private fun send(vm: String, sequence: Long, relay: EndpointRelayReport?) {
        val report = peerReport(vm, sequence, socket.localPort, alivePeers = listOf("vm-1"))
            .copy(uptimeMs = (System.nanoTime() - startedAtNanos) / 1_000_000, endpointRecords = relay)
        val bytes = encodeCbor(PeerReport.serializer(), report)
        socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), site.peerPort))
    }
}

/** Returns peers in a fleet in which vm-1 reads the list for others, or does not. */
private fun peersOf(isReader: Boolean): List<String> = generateSequence(0) { it + 1 }
    .map { attempt -> List(FLEET_SIZE - 1) { "peer-$attempt-$it" } }
    .first { names -> (ListRelay.readerRank("north", "vm-1", names) != null) == isReader }

private suspend fun Site.statusOf(path: String) = connect().call("GET", path).status

class ListRelayTrafficTest : FunSpec({
    test("a VM that does not read the list uses what it is told, and reads the list when it is told nothing") {
        withSite {
            configure()
            val peers = DomainPeers(this, peersOf(isReader = false))
            fun relay(from: Int, records: List<EndpointRecordReport>) =
                EndpointRelayReport(1, from.toLong(), from.toLong() + records.size, readAgoMs = 20, records)
            val end = store.endOf(ENDPOINTS_TOPIC)
            peers.relay = relay(end, emptyList())
            peers.start()
            delay(3_000)
            val readsBefore = store.readCount(ENDPOINTS_TOPIC)
            delay(2_500)
            store.readCount(ENDPOINTS_TOPIC) - readsBefore shouldBeLessThan 2
            // The store does not say so: only the peer does.
            peers.relay = relay(end, listOf(EndpointRecordReport("e-1"), EndpointRecordReport("e-2")))
            eventually(2.seconds) { statusOf("/safe/x") shouldBe 503 }
            peers.relay = null
            eventually(4.seconds) { statusOf("/safe/x") shouldBe 200 }
        }
    }

    // Entries expire while the store is unavailable to endpoints, and come back within two seconds.
    test("entries that a peer misses after the store was away stay in use for a while") {
        withSite {
            configure()
            val peers = DomainPeers(this, peersOf(isReader = false))
            val end = store.endOf(ENDPOINTS_TOPIC).toLong()
            val none = EndpointRelayReport(1, end, end, readAgoMs = 20)
            peers.relay = none
            peers.start()
            delay(3_000)
            val missing = listOf(EndpointRecordReport("e-1"), EndpointRecordReport("e-2"))
            peers.relay = none.copy(end = end + 2, records = missing, regainedAgoMs = 0)
            repeat(5) {
                delay(300)
                statusOf("/safe/x") shouldBe 200
            }
            eventually(3.seconds) { statusOf("/safe/x") shouldBe 503 }
        }
    }

    test("a VM that reads the list passes new records on to its failure domain") {
        withSite {
            configure()
            val peers = DomainPeers(this, peersOf(isReader = true))
            peers.start()
            eventually(4.seconds) { peers.received.isEmpty() shouldBe false }
            val end = store.endOf(ENDPOINTS_TOPIC).toLong()
            endpoints[0].register()
            store.put(ENDPOINTS_TOPIC, "e-2", null)
            eventually(4.seconds) {
                val part = peers.received.lastOrNull { it.end == end + 2 && it.records.isNotEmpty() }.shouldNotBeNull()
                val records = part.records.drop((end - part.from).toInt())
                // The entry of the first says the same as before, the second is gone.
                records shouldBe listOf(EndpointRecordReport("e-1", same = true), EndpointRecordReport("e-2"))
            }
        }
    }
})
