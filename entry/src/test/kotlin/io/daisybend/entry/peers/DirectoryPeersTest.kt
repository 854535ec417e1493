package io.daisybend.entry.peers

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeLessThan
import kotlin.random.Random

/** Least time after its end for which the directory may name a VM, in milliseconds: `stableMs` and 3 s. */
private const val MAX_NAMED_MS = 6_000L

/** The peers of "vm-0" in a fleet of [vmCount] at its regular reports, which take up to 300 ms. */
private class ReportedFleet(private val vmCount: Int) {
    private val schedule = ReportSchedule(linkMbps = 1_000.0)
    private val random = Random(vmCount)
    private val peers = PeerTable("vm-0", schedule)
    private val arrivals = ArrayList<Pair<Long, PeerReport>>()

    fun report(vm: Int, atMs: Long, stopping: Boolean = false, startedAtMs: Long = 1, sequence: Long = atMs + 1) =
        peerReport("vm-$vm", sequence, peerPort = vm)
            .copy(startedAtMs = startedAtMs, uptimeMs = atMs, stopping = stopping)

    /** Lets the VMs report until [untilMs], and the last one only until [endMs]. */
    fun send(untilMs: Long, endMs: Long) {
        val intervalMs = schedule.intervalMs(vmCount)
        for (vm in 1 until vmCount) {
            val lastMs = if (vm == vmCount - 1) endMs else untilMs
            var atMs = random.nextLong(intervalMs)
            while (atMs < lastMs) {
                arrivals.add(atMs + random.nextLong(300) to report(vm, atMs))
                atMs += intervalMs
            }
        }
        arrivals.sortBy { it.first }
    }

    /** Reads the reports that arrive until [nowMs]. */
    fun read(nowMs: Long, readAtMs: (Long) -> Long = { it }) {
        while (arrivals.isNotEmpty() && readAtMs(arrivals.first().first) <= nowMs) {
            val (atMs, report) = arrivals.removeFirst()
            peers.onReport(report, readAtMs(atMs))
        }
    }

    fun receive(report: PeerReport, nowMs: Long) = peers.onReport(report, nowMs)

    fun named(nowMs: Long) = peers.directoryReports(nowMs).map { it.vm }
}

class DirectoryPeersTest : FunSpec({
    listOf(8, 75, 360).forEach { vmCount ->
        test("an ended VM is named for less than 6 s, and the running ones all the while, with $vmCount VMs") {
            val fleet = ReportedFleet(vmCount)
            val endMs = 20_000L
            fleet.send(untilMs = 32_000, endMs)
            for (nowMs in 0L..30_000L step 50) {
                fleet.read(nowMs)
                if (nowMs < 15_000) continue
                val named = fleet.named(nowMs)
                withClue("at $nowMs ms") {
                    val isNamed = "vm-${vmCount - 1}" in named
                    if (nowMs < endMs) named shouldHaveSize vmCount - 1
                    if (isNamed) nowMs shouldBeLessThan endMs + MAX_NAMED_MS
                    if (!isNamed) named shouldHaveSize vmCount - 2
                }
            }
        }

        // The reports of the ended VM are in the buffer of the VM that stood still, which reads them as if they were
        // new.
        test("a VM that stood still while another one ended does not name that one later, with $vmCount VMs") {
            val fleet = ReportedFleet(vmCount)
            fleet.send(untilMs = 40_000, endMs = 22_000)
            fun readAtMs(atMs: Long) = if (atMs in 20_500 until 28_500) 28_500L else atMs
            for (nowMs in 0L..32_000L step 50) fleet.read(nowMs, ::readAtMs)
            fleet.named(28_500) shouldNotContain "vm-${vmCount - 1}"
            fleet.named(32_000) shouldHaveSize vmCount - 2
        }
    }

    test(
        "a VM that said that it stops is left out although a late report without that arrives, until it starts again",
    ) {
        val fleet = ReportedFleet(vmCount = 8)
        fleet.receive(fleet.report(1, atMs = 1_000), nowMs = 1_000)
        fleet.named(1_000) shouldContain "vm-1"
        fleet.receive(fleet.report(1, atMs = 1_100, stopping = true, sequence = 10), nowMs = 1_100)
        fleet.named(1_100) shouldNotContain "vm-1"
        // Two reports that are built at the same time may read the flag in the other order than their numbers.
        fleet.receive(fleet.report(1, atMs = 1_090, sequence = 11_000), nowMs = 1_150)
        fleet.named(1_150) shouldNotContain "vm-1"
        fleet.receive(fleet.report(1, atMs = 5, startedAtMs = 2, sequence = 1), nowMs = 1_800)
        fleet.named(1_800) shouldContain "vm-1"
        fleet.receive(fleet.report(1, atMs = 1_200, sequence = 12_000), nowMs = 1_900)
        fleet.named(1_900) shouldContain "vm-1"
    }
})
