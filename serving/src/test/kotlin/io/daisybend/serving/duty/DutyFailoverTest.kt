package io.daisybend.serving.duty

import io.daisybend.serving.site.ClockReading
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

/** Returns the pairs of orders that break rule ONE. */
private fun breachesOfOne(orders: List<ArrivedOrder>): List<Any> {
    val counted = orders.filter { !it.isExcused }
    val sharedEpochs = counted.groupBy { it.epoch }.filterValues { of -> of.distinctBy { it.vm }.size > 1 }
    val lowerEpochs = counted.zipWithNext().filter { (before, after) -> after.epoch < before.epoch }
    val tooSoon = counted.groupBy { it.engine }.values.flatMap { it.zipWithNext() }
        .filter { (before, after) -> before.vm != after.vm && after.atMs - before.atMs < LEASE_GAP_MS }
    return sharedEpochs.values + lowerEpochs + tooSoon
}

/** Returns the most loads that began in any window of the ceiling. */
private fun mostLoadsInWindow(orders: List<ArrivedOrder>): Int {
    val begun = orders.filter { it.isAccepted }
    return begun.maxOf { end -> begun.count { it.atMs > end.atMs - WINDOW_MS && it.atMs <= end.atMs } }
}

private fun modelsLoadedTwice(orders: List<ArrivedOrder>): Set<String> =
    orders.filter { it.isAccepted && !it.isExcused }.groupBy { it.model }.filterValues { it.size > 1 }.keys

/** Runs a fleet, hurts it by [fault] at 10 s, and checks the rules, the time without a holder and its first order. */
private fun checkFailover(
    fleet: FailoverFleet = FailoverFleet(),
    maxUnheldMs: Long = 5_100,
    maxFirstOrderDelayMs: Long = MAX_FIRST_ORDER_DELAY_MS,
    fault: FailoverFleet.(FailoverVm) -> Unit,
) {
    fleet.runUntil(10_000)
    val first = fleet.holder()
    first shouldNotBe null
    fleet.fault(first!!)
    fleet.runUntil(30_000)
    breachesOfOne(fleet.orders).shouldBeEmpty()
    mostLoadsInWindow(fleet.orders) shouldBeLessThanOrEqualTo (LOADS_PER_S * WINDOW_MS / 1_000 * 1.1 + 3).toInt()
    modelsLoadedTwice(fleet.orders).shouldBeEmpty()
    fleet.longestUnheldMs shouldBeLessThanOrEqualTo maxUnheldMs
    fleet.firstOrderDelaysMs.last() shouldBeLessThanOrEqualTo maxFirstOrderDelayMs
    val loads = mostLoadsInWindow(fleet.orders)
    println("failover: ${fleet.longestUnheldMs} ms without a holder, at most $loads loads in 5 s")
}

/** Time from a takeover to the first load, in milliseconds: the rate left room for more. */
private const val MAX_FIRST_ORDER_DELAY_MS = 100L

class DutyFailoverTest : FunSpec({
    test("a holder that is frozen between two orders and thaws after its successor took over") {
        checkFailover { it.frozenUntilMs = nowMs + 6_000 }
    }

    test("a holder that is frozen for less than its lease goes on") {
        checkFailover(maxUnheldMs = 1_100) { it.frozenUntilMs = nowMs + 1_000 }
    }

    // Its peers append the renewals, so orders never stop.
    test("a holder that is isolated from the store only") {
        checkFailover(maxUnheldMs = 1_100) { it.storeCutUntilMs = nowMs + 12_000 }
    }

    // A new holder started no load for 5 s, and loaded what its predecessor was loading a second time.
    test("a holder that is killed with loads in progress") {
        val fleet = FailoverFleet(loadMs = 8_000, demandIntervalMs = 3_000)
        checkFailover(fleet) { it.isDead = true }
        fleet.vms.flatMap { it.inherits }.shouldNotBeEmpty()
    }

    test("the same check sees that a successor without the announced loads loads models a second time") {
        val fleet = FailoverFleet(loadMs = 8_000, inheritsLoads = false, demandIntervalMs = 3_000)
        fleet.runUntil(10_000)
        fleet.holder()!!.isDead = true
        fleet.runUntil(30_000)
        modelsLoadedTwice(fleet.orders).shouldNotBeEmpty()
    }

    test("a failure domain that is lost with the holder and the first candidate") {
        checkFailover(maxUnheldMs = 5_200) { holder ->
            holder.isDead = true
            vms.filter { it !== holder }.take(1).forEach { it.isDead = true }
        }
    }

    test("a store that is down as the lease ends") {
        checkFailover(maxUnheldMs = 8_200) { holder ->
            holder.isDead = true
            vms.forEach { it.storeCutUntilMs = nowMs + 8_000 }
        }
    }

    test("two candidates that append at the same moment") {
        checkFailover(FailoverFleet(ranks = { 0 })) { it.isDead = true }
    }

    test("a wall clock that jumps at the holder, and at a candidate while the duty is not held") {
        checkFailover { holder ->
            holder.isDead = true
            vms.filter { it !== holder }.forEach { it.wallOffsetMs = 20_000 }
        }
        checkFailover { it.wallOffsetMs = 20_000 }
    }

    // Candidates waited for the validity of the record of a process that had ended.
    test("a holder that stops in order hands over after the gap and the margins") {
        checkFailover(maxUnheldMs = 4_100) { it.lease.release(it.read(nowMs)) shouldBe true }
    }

    test("a holder that is cut off from the engines hands over after the gap and the margins") {
        checkFailover(maxUnheldMs = 4_100) { it.enginesCutUntilMs = nowMs + 12_000 }
    }

    test("a holder that is cut off from the engines while its reports are lost") {
        checkFailover(maxUnheldMs = 5_200) {
            it.enginesCutUntilMs = nowMs + 12_000
            it.reportsLostUntilMs = nowMs + 12_000
        }
    }

    test("a holder that reaches the engines again before its successor takes over goes on at once") {
        val fleet = FailoverFleet()
        var first: FailoverVm? = null
        checkFailover(fleet, maxUnheldMs = 1_600) {
            first = it
            it.enginesCutUntilMs = nowMs + 1_500
        }
        fleet.holder() shouldBe first
    }

    // The loads that the first successor started count in the window of the second one.
    test("the successor is cut off a moment later") {
        checkFailover(maxUnheldMs = 4_700, maxFirstOrderDelayMs = 400) { holder ->
            holder.enginesCutUntilMs = nowMs + 14_000
            runUntil(14_200)
            holder()!!.enginesCutUntilMs = 24_000
        }
    }

    test("a holder keeps the duty while no other VM reaches the engines either") {
        val fleet = FailoverFleet()
        var first: FailoverVm? = null
        checkFailover(fleet, maxUnheldMs = 8_100) { holder ->
            first = holder
            vms.forEach { it.enginesCutUntilMs = nowMs + 8_000 }
        }
        fleet.holder() shouldBe first
    }

    test("a holder whose links to the engines come and go keeps the duty for some seconds each time") {
        val fleet = FailoverFleet()
        fleet.runUntil(10_000)
        val flapping = fleet.holder()!!
        val turns = ArrayList<Int?>()
        for (startMs in 10_000L..38_000L step 400) {
            flapping.enginesCutUntilMs = startMs + 200
            fleet.runUntil(startMs + 400)
            turns.add(fleet.holder()?.index)
        }
        breachesOfOne(fleet.orders).shouldBeEmpty()
        turns.filterNotNull().distinct().size shouldBe 1
    }

    test("a holder that hands over takes the duty again with a higher epoch, and only once it held it for a while") {
        val settings = DutySettings()
        val lease = DutyLease(DutyHolder("a", "10.0.0.1", 1), settings, ClockReading(0, 0))
        fun at(nowMs: Long) = ClockReading(nowMs, nowMs)
        lease.onAppendSent(0, at(700))
        lease.onAppended(at(700), 0, epoch = 1)
        lease.handOver(at(1_200)) shouldBe false
        for (offset in 1L..6L) {
            lease.onAppendSent(offset, at(700 + offset * 500))
            lease.onAppended(at(700 + offset * 500), offset, epoch = 1) shouldBe false
        }
        lease.onAppendSent(7, at(4_200))
        lease.handOver(at(4_210)) shouldBe true
        lease.mustReportRelease(at(4_210)) shouldBe true
        lease.onAppended(at(4_200), 7, epoch = 1) shouldBe false
        lease.mayOrder(at(4_220)) shouldBe false
        lease.renewalToDelegate(at(4_720)) shouldBe null
        lease.mustReportRelease(at(4_220 + settings.validityMs)) shouldBe false
        lease.nextStep(at(4_720), rank = 3) shouldBe DutyStep.Append(8)
        lease.epochFor(8) shouldBe 9
        lease.onAppendSent(8, at(4_720))
        lease.onAppended(at(4_720), 8, epoch = 9) shouldBe true
        lease.mayOrder(at(4_730)) shouldBe true
        lease.mustReportRelease(at(4_730)) shouldBe false
    }

    test("a candidate that heard of a release waits in full for the record with which the holder took the duty back") {
        val holder = DutyHolder("a", "10.0.0.1", 1)
        val lease = DutyLease(DutyHolder("b", "10.0.0.2", 1), DutySettings(), ClockReading(0, 0))
        fun at(nowMs: Long) = ClockReading(nowMs, nowMs)
        lease.onPeerRecord(DutyRecord(holder, epoch = 1, offset = 6), at(4_000))
        lease.onReleased(1, at(4_200))
        lease.mayAppendFor(DutyRecord(holder, epoch = 1, offset = 7)) shouldBe false
        lease.onPeerRecord(DutyRecord(holder, epoch = 8, offset = 7), at(7_700))
        lease.nextStep(at(12_600), rank = 0) shouldBe DutyStep.Wait
        lease.nextStep(at(12_700), rank = 0) shouldBe DutyStep.Append(8)
    }

    test("a renewal that succeeds after the release gives no right to order") {
        val lease = DutyLease(DutyHolder("a", "10.0.0.1", 1), DutySettings(), ClockReading(0, 0))
        fun at(nowMs: Long) = ClockReading(nowMs, nowMs)
        lease.onAppendSent(0, at(700))
        lease.onAppended(at(700), 0, epoch = 1)
        lease.onAppendSent(1, at(1_200))
        lease.release(at(1_210)) shouldBe true
        lease.onAppended(at(1_200), 1, epoch = 1) shouldBe false
        lease.mayOrder(at(1_220)) shouldBe false
        lease.nextStep(at(60_000), rank = 0) shouldBe DutyStep.Wait
    }

    test("the check of rule ONE sees two holders, a lower epoch, and an order within the gap") {
        fun order(atMs: Long, vm: Int, epoch: Long) = ArrivedOrder(atMs, 0, vm, epoch, "m", false, true)
        breachesOfOne(listOf(order(0, 1, 1), order(9_000, 2, 1))).shouldNotBeEmpty()
        breachesOfOne(listOf(order(0, 1, 2), order(9_000, 2, 1))).shouldNotBeEmpty()
        breachesOfOne(listOf(order(0, 1, 1), order(2_999, 2, 2))).shouldNotBeEmpty()
        breachesOfOne(listOf(order(0, 1, 1), order(3_000, 2, 2))).shouldBeEmpty()
    }
})
