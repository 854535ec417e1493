package io.daisybend.serving.endpoint

import io.daisybend.serving.site.ClockReading
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** The bound for endpoints that leave, in milliseconds. */
private const val DRAIN_MS = 2_000L

private fun startedDomain() = SimulatedDomain(vmCount = 25).apply {
    run(6_000)
    resetCounts()
}

private fun SimulatedDomain.worstLagMs(without: Collection<SimulatedDomain.Vm> = emptyList()) =
    (vms - without.toSet()).maxOf { it.worstLagMs }

private fun SimulatedDomain.callsPerVmAndSecond(durationMs: Long) =
    vms.sumOf { it.calls } * 1_000.0 / durationMs / vms.size

private fun at(ms: Long) = ClockReading(ms, ms)

class ListRelayTest : FunSpec({
    // Each of 75 VMs read the list each 850 ms; the calls were a tenth of all that was earned.
    test("two readers of 25 VMs make nearly all calls, and nobody's list is old") {
        val domain = startedDomain()
        domain.run(30_000)
        println("steady: ${domain.callsPerVmAndSecond(30_000)} calls/s, worst lag ${domain.worstLagMs()} ms")
        domain.callsPerVmAndSecond(30_000) shouldBeLessThan 0.2
        domain.worstLagMs() shouldBeLessThan 1_400
    }

    test("lost datagrams cost calls, but no bound") {
        val domain = startedDomain()
        domain.lossShare = 0.2
        domain.run(30_000)
        println("loss: ${domain.callsPerVmAndSecond(30_000)} calls/s, worst lag ${domain.worstLagMs()} ms")
        domain.callsPerVmAndSecond(30_000) shouldBeLessThan 0.5
        domain.worstLagMs() shouldBeLessThan DRAIN_MS
    }

    test("the other VMs keep the bound while both readers are frozen, and after they wake") {
        val domain = startedDomain()
        val frozen = domain.readers()
        frozen.size shouldBe 2
        frozen.forEach { it.frozenUntilMs = domain.nowMs + 6_000 }
        domain.run(12_000)
        domain.worstLagMs(without = frozen) shouldBeLessThan DRAIN_MS
    }

    test("the other VMs keep the bound after a reader was killed or cut off from the store") {
        val domain = startedDomain()
        val (killed, cutOff) = domain.readers()
        killed.frozenUntilMs = Long.MAX_VALUE
        cutOff.hasStore = false
        domain.run(10_000)
        domain.worstLagMs(without = listOf(killed)) shouldBeLessThan DRAIN_MS
        domain.resetCounts()
        domain.run(10_000)
        domain.callsPerVmAndSecond(10_000) shouldBeLessThan 0.3
    }

    test("a VM that does not hear the readers keeps the bound by own reads") {
        val domain = startedDomain()
        val readers = domain.readers()
        val deaf = domain.vms.first { it !in readers }
        deaf.hears = { it !in readers }
        domain.run(10_000)
        deaf.worstLagMs shouldBeLessThan DRAIN_MS
        domain.worstLagMs() shouldBeLessThan DRAIN_MS
    }

    // The simulation fails if datagrams that waited unread during a standstill make a list appear new.
    test("a VM that wakes catches up at once and trusts no report that waited for it") {
        val domain = startedDomain()
        val readers = domain.readers()
        val frozen = domain.vms.first { it !in readers }
        frozen.frozenUntilMs = domain.nowMs + 5_000
        domain.run(5_300)
        domain.resetCounts()
        domain.run(5_000)
        frozen.worstLagMs shouldBeLessThan 1_400
    }

    test("all VMs have the list soon after the store was away, and from another era") {
        val domain = startedDomain()
        domain.isStoreUp = false
        domain.run(5_000)
        domain.era = 2
        domain.log = ArrayList(domain.log.take(20))
        domain.isStoreUp = true
        domain.run(1_500)
        domain.resetCounts()
        domain.run(5_000)
        domain.worstLagMs() shouldBeLessThan DRAIN_MS
        domain.callsPerVmAndSecond(5_000) shouldBeLessThan 0.3
    }

    test("an excerpt without a known delay, with missing records or of another era confirms nothing") {
        val relay = ListRelay()
        fun excerpt(from: Long, count: Int, end: Long, era: Long = 1) =
            ListExcerpt(era, from, List(count) { RelayedRecord("e", "v") }, end, readAgoMs = 50)
        relay.onExcerpt(excerpt(0, 1, 1), delayMs = 0, at(0)) shouldBe ExcerptUse.Unplaced
        relay.onOwnRead(ListPosition(era = 1, nextOffset = 10), at(100), at(150))
        relay.onExcerpt(excerpt(11, 2, 14), delayMs = 0, at(200)) shouldBe ExcerptUse.Gap
        relay.onExcerpt(excerpt(7, 2, 9), delayMs = 0, at(200)) shouldBe ExcerptUse.Outdated
        // What was missing arrives, and the excerpt after it is used too; the list is not complete yet.
        val first = relay.onExcerpt(excerpt(8, 4, 14), delayMs = 0, at(300)).shouldBeInstanceOf<ExcerptUse.Apply>()
        first.records.size shouldBe 3
        first.isConfirmed shouldBe false
        relay.onExcerpt(excerpt(12, 2, 14), delayMs = null, at(300))
        relay.confirmedAt shouldBe at(100)
        relay.onExcerpt(excerpt(14, 0, 14), delayMs = 70, at(400))
        relay.confirmedAt shouldBe at(280)
        relay.onExcerpt(excerpt(14, 0, 14, era = 2), delayMs = 0, at(500)) shouldBe ExcerptUse.Unplaced
        relay.readDueInMs(readerRank = null, at(500)) shouldBe 0
    }

    test("records are passed on once, in pieces, and the rest of a datagram repeats older ones") {
        val buffer = RelayBuffer()
        fun add(count: Int, next: Long) =
            buffer.add(List(count) { RelayedRecord("e", "v".repeat(75)) }, ListPosition(1, next))
        fun take(minBytes: Int) = buffer.take(maxBytes = 250, minBytes).map { it.from to it.records.size }
        add(5, next = 5)
        take(minBytes = 250) shouldBe listOf(0L to 2, 2L to 2, 4L to 1)
        add(1, next = 6)
        take(minBytes = 250) shouldBe listOf(4L to 2)
        // Another VM read on: what lies between is not here.
        add(1, next = 20)
        take(minBytes = 250) shouldBe listOf(19L to 1)
        add(1, next = 21)
        take(minBytes = 150) shouldBe listOf(20L to 1)
        add(2, next = 23)
        buffer.skip()
        take(minBytes = 100) shouldBe listOf(22L to 1)
    }

    test("a report that was sent late or waited in a buffer shows its delay") {
        val delays = SenderDelays()
        delays.onReport("a", sentMs = 0, nowMs = 10_020) shouldBe null
        delays.onReport("a", sentMs = 750, nowMs = 10_760) shouldBe null
        delays.onReport("a", sentMs = 1_600, nowMs = 11_640) shouldBe 30
        delays.onReport("a", sentMs = 2_400, nowMs = 17_410) shouldBe 5_000
        delays.onReport("b", sentMs = 2_400, nowMs = 17_410) shouldBe null
    }
})
