package io.daisybend.entry.peers

import com.github.michaelbull.result.get
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.daisybend.platform.SocketAddress
import io.daisybend.serving.residency.AcceptedLoad
import io.daisybend.serving.residency.AnnouncedLoad
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Returns a report of [vm] to the recipients [alivePeers], without any use. */
internal fun peerReport(
    vm: String,
    sequence: Long,
    peerPort: Int = 1,
    alivePeers: List<String> = emptyList(),
    holdsDuty: Boolean = false,
) = PeerReport(
    vm = vm,
    startedAtMs = 1,
    uptimeMs = 1,
    sequence = sequence,
    host = "127.0.0.1",
    peerPort = peerPort,
    callerPort = 1,
    failureDomain = "north",
    ready = true,
    stopping = false,
    storeAgeMs = 0,
    alivePeers = alivePeers,
    teams = emptyList(),
    duty = null,
    renewal = null,
    holdsDuty = holdsDuty,
    endpoints = emptyList(),
    queuedDemand = emptyList(),
    requests = emptyMap(),
    holdings = emptyList(),
)

class PeerTableTest : FunSpec({
    val schedule = ReportSchedule(linkMbps = 1_000.0)

    test("a peer that was silent is told everything again when both sides receive reports again") {
        val peers = PeerTable("vm-1", schedule)
        fun report(sequence: Long, alivePeers: List<String>, nowMs: Long) =
            peers.onReport(peerReport("vm-2", sequence, alivePeers = alivePeers), nowMs)
        report(1, emptyList(), 0) shouldBe ReportEffect.PROCESS_FOUND
        report(2, listOf("vm-1"), 250) shouldBe ReportEffect.CONTACT_GAINED
        report(3, listOf("vm-1"), 500) shouldBe ReportEffect.UPDATED
        report(3, listOf("vm-1"), 600) shouldBe ReportEffect.OUTDATED
        // Cut off for 5 s; the peer does not hear this VM yet when its first report arrives.
        report(20, emptyList(), 5_500) shouldBe ReportEffect.UPDATED
        report(21, listOf("vm-1"), 5_750) shouldBe ReportEffect.CONTACT_GAINED
    }

    test("only peers that were in contact count as lost") {
        val peers = PeerTable("vm-1", schedule)
        peers.discover("vm-2", SocketAddress("127.0.0.1", 2), 0)
        peers.onReport(peerReport("vm-3", 1, alivePeers = listOf("vm-1")), 0)
        peers.contact(100).unreachableShare shouldBe 1 / 3.0
        peers.contact(100).lostShare shouldBe 0.0
        val afterTimeoutMs = schedule.mutualTimeoutMs(vmCount = 3) + 1
        peers.contact(afterTimeoutMs).unreachableShare shouldBe 2 / 3.0
        peers.contact(afterTimeoutMs).lostShare shouldBe 1 / 3.0
    }

    test("a VM receives no more regular reports a second in a larger fleet") {
        fun receivedPerSecond(vmCount: Int) = vmCount * 1_000.0 / schedule.intervalMs(vmCount)
        listOf(26, 65, 88, 360).map(::receivedPerSecond).toSet() shouldBe setOf(100.0)
        schedule.intervalMs(vmCount = 9) shouldBe 250
    }

    test("early reports wait for the link, for the processor and for the fleet") {
        ReportSchedule(linkMbps = 7.0).pauseMs(vmCount = 65, sentBytes = 70_000, tookMs = 10) shouldBe 200
        schedule.pauseMs(vmCount = 65, sentBytes = 70_000, tookMs = 100) shouldBe 150
        schedule.pauseMs(vmCount = 65, sentBytes = 70_000, tookMs = 10) shouldBe 65
        schedule.pauseMs(vmCount = 2, sentBytes = 1_000, tookMs = 0) shouldBe 8
    }

    test("a forecast load is known until its end is announced or long overdue") {
        val forecast = LoadForecast(isListed = { true })
        fun holdings(loading: String?) = HoldingsReport("engine-1", 1, 1, emptyMap(), loading, loadedInMs = 2_000)
        forecast.onHoldings(listOf(holdings("model-1")), 1_000)
        forecast.loadedInMs("model-1", 1_500) shouldBe 1_500
        forecast.loadedInMs("model-1", 4_000) shouldBe 0
        forecast.loadedInMs("model-1", 6_000) shouldBe null
        forecast.onHoldings(listOf(holdings(null)), 4_500)
        forecast.loadedInMs("model-1", 4_500) shouldBe null
    }

    // Callers waited for a load whose order nobody could send any more.
    test("while no VM holds the duty, only loads that engines execute are forecast") {
        val forecast = LoadForecast(isListed = { true })
        val ordered = HoldingsReport("engine-1", 1, 1, emptyMap(), "model-1", 2_000, LoadReport(agoMs = 500))
        val pending = HoldingsReport("engine-2", 1, 1, emptyMap(), "model-2", 2_000)
        forecast.onHoldings(listOf(ordered, pending), 1_000)
        forecast.loadedInMs("model-1", 1_500, isDutyHeld = false) shouldBe 1_500
        forecast.loadedInMs("model-2", 1_500, isDutyHeld = false) shouldBe null
        forecast.loadedInMs("model-2", 1_500) shouldBe 1_500
    }

    test("a successor reads from a report since when a load runs and what it shows of the store") {
        val load = LoadReport(agoMs = 500, fromStore = true, concurrent = 2, limit = 3)
        val sent = HoldingsReport("engine-1", 1, 1, emptyMap(), "model-1", 2_000, load)
        val bytes = encodeCbor(HoldingsReport.serializer(), sent)
        val read = decodeCbor(HoldingsReport.serializer(), bytes).get()!!
        read.toAnnouncedLoad(10_000) shouldBe AnnouncedLoad("model-1", 12_000, AcceptedLoad(9_500, true, 2, 3))
        read.copy(loading = null).toAnnouncedLoad(10_000) shouldBe null
        // Every VM hears each report: a load in progress adds a bounded number of bytes, and no load adds none.
        val withoutLoad = encodeCbor(HoldingsReport.serializer(), sent.copy(load = null))
        (bytes.size - withoutLoad.size) shouldBeLessThan 60
    }

    // The load of an engine that had crashed stayed announced for a minute, and its model was refused meanwhile.
    test("a forecast load ends with its engine") {
        val listed = hashSetOf("engine-1")
        val forecast = LoadForecast(isListed = { it in listed })
        val holdings = HoldingsReport("engine-1", 1, 1, emptyMap(), "model-1", loadedInMs = 60_000)
        forecast.onHoldings(listOf(holdings), 1_000)
        forecast.loadedInMs("model-1", 2_000) shouldBe 59_000
        listed.clear()
        forecast.loadedInMs("model-1", 2_000) shouldBe null
        // The list of a VM may lag behind the one of the holder.
        forecast.removeOverdue(2_000)
        listed.add("engine-1")
        forecast.loadedInMs("model-1", 3_000) shouldBe 58_000
    }
})
