package io.daisybend.entry.peers

import io.daisybend.platform.SocketAddress
import io.kotest.core.spec.style.FunSpec
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
