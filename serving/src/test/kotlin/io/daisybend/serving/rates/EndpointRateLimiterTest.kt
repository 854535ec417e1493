package io.daisybend.serving.rates

import io.daisybend.serving.endpoint.Incarnation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val WINDOW_MS = 4_000L
private const val SETTLE_MS = 3_000L
private const val ALLOWED_RATIO = 1.5
private const val ALLOWED_EXTRA = 5

/** A fleet whose VMs send requests to one endpoint that names its limit in each response. */
private data class LimitedFleetSettings(
    val vmCount: Int,
    val perSecond: Double,
    /** Requests that arrive for the endpoint, as a multiple of the limit. */
    val demandFactor: Double,
    val earlyPauseMs: Long,
    val intervalMs: Long,
    val lossPercent: Int = 2,
    val restartsEveryMs: Int = Int.MAX_VALUE,
    val cutsEveryMs: Int = Int.MAX_VALUE,
    val patienceMs: Long = 1_500,
    val isNaive: Boolean = false,
)

/** Simulates the fleet: requests wait for the endpoint for some time, and reports are late, lost or cut off. */
private class LimitedFleet(private val random: Random, private val settings: LimitedFleetSettings) {
    private inner class Vm(val index: Int) {
        var limiter = newLimiter()
        var startedAtMs = 0L
        var lastReportMs = 0L
        var wantsReport = false
        var cutUntilMs = 0L

        /** The rule does not count the requests of VMs that were restarted or cut off within the settling time. */
        var excusedUntilMs = 0L
        val waitingSinceMs = ArrayList<Long>()

        fun newLimiter() = EndpointRateLimiter(Random(random.nextLong()), { wantsReport = true })
    }

    private val endpoint = Incarnation("engine", 1)
    private val vms = List(settings.vmCount) { Vm(it) }
    private val responses = ArrayList<Pair<Long, Vm>>()
    private val sentMs = ArrayList<Long>()
    private var nowMs = 0L
    var sentCount = 0
        private set

    /** Simulates [durationMs]; returns the largest number of counted requests in a window. */
    fun simulate(durationMs: Long): Int {
        vms.forEach { it.limiter.setContact(FleetContact(settings.vmCount), 0) }
        while (nowMs < durationMs) {
            nowMs += STEP_MS
            disturb()
            var arrivals = settings.perSecond * settings.demandFactor * STEP_MS / 1_000
            while (random.nextDouble() < arrivals--) vms.random(random).waitingSinceMs.add(nowMs)
            vms.forEach(::send)
            responses.filter { it.first <= nowMs }.forEach { (_, vm) ->
                vm.limiter.onResponse(endpoint, settings.perSecond, nowMs)
            }
            responses.removeIf { it.first <= nowMs }
            vms.filter { nowMs - it.lastReportMs >= if (it.wantsReport) settings.earlyPauseMs else settings.intervalMs }
                .forEach(::report)
        }
        val counted = sentMs.filter { it > SETTLE_MS }
        return counted.maxOfOrNull { end -> counted.count { it in (end - WINDOW_MS + 1)..end } } ?: 0
    }

    private fun disturb() {
        if (happens(settings.restartsEveryMs)) {
            val vm = vms.random(random)
            vm.limiter = vm.newLimiter().also { it.setContact(FleetContact(settings.vmCount), nowMs) }
            vm.startedAtMs = nowMs
            vm.excusedUntilMs = nowMs + SETTLE_MS
        }
        if (happens(settings.cutsEveryMs)) {
            val untilMs = nowMs + random.nextLong(500, 6_000)
            vms.filter { random.nextInt(3) == 0 }.forEach {
                it.cutUntilMs = untilMs
                it.excusedUntilMs = untilMs + SETTLE_MS
            }
        }
        vms.forEach { vm ->
            val unreachable = vms.count { it !== vm && !areInContact(it, vm) } / settings.vmCount.toDouble()
            vm.limiter.setContact(
                FleetContact(settings.vmCount, unreachable, unreachable, settings.intervalMs * 3),
                nowMs,
            )
        }
    }

    private fun happens(everyMs: Int) = everyMs < Int.MAX_VALUE && random.nextInt(everyMs / STEP_MS.toInt()) == 0

    private fun areInContact(a: Vm, b: Vm) = maxOf(a.cutUntilMs, b.cutUntilMs) < nowMs

    private fun send(vm: Vm) {
        vm.waitingSinceMs.removeIf { nowMs - it > settings.patienceMs }
        while (vm.waitingSinceMs.isNotEmpty() && (settings.isNaive || vm.limiter.admit(endpoint, nowMs))) {
            vm.waitingSinceMs.removeFirst()
            sentCount++
            if (vm.excusedUntilMs < nowMs) sentMs.add(nowMs)
            responses.add(nowMs + random.nextLong(20, 400) to vm)
        }
    }

    private fun report(vm: Vm) {
        vm.lastReportMs = nowMs
        vm.wantsReport = false
        val changes = vm.limiter.reportChanges(nowMs)
        vms.filter { it !== vm && areInContact(it, vm) && random.nextInt(100) >= settings.lossPercent }.forEach {
            val isUninformed = nowMs - maxOf(it.cutUntilMs, vm.cutUntilMs, it.startedAtMs) < 2 * settings.intervalMs
            val uses = if (isUninformed) vm.limiter.uses(nowMs) else changes
            val isOlder = vm.startedAtMs + 1_000 < it.startedAtMs
            it.limiter.onPeerUses("vm-${vm.index}", vm.startedAtMs, uses, isOlder, nowMs)
        }
    }

    private companion object {
        const val STEP_MS = 10L
    }
}

class EndpointRateLimiterTest : FunSpec({
    val small =
        LimitedFleetSettings(vmCount = 9, perSecond = 1.0, demandFactor = 3.0, earlyPauseMs = 10, intervalMs = 250)
    val large = small.copy(vmCount = 65, earlyPauseMs = 160, intervalMs = 650)
    val engine = Incarnation("engine", 1)

    fun overshoots(settings: LimitedFleetSettings, seeds: Int): Int = (0 until seeds).count { seed ->
        val most = LimitedFleet(Random(seed), settings).simulate(30_000)
        most > ALLOWED_RATIO * settings.perSecond * WINDOW_MS / 1_000 + ALLOWED_EXTRA
    }

    test("fleets of 9, 65 and 88 VMs keep an endpoint to its limit at up to twenty times the demand") {
        listOf(0.4, 1.0, 3.4).forEach { perSecond ->
            listOf(1.2, 3.0, 20.0).forEach { factor ->
                overshoots(small.copy(perSecond = perSecond, demandFactor = factor), seeds = 12) shouldBe 0
                overshoots(large.copy(perSecond = perSecond, demandFactor = factor), seeds = 4) shouldBe 0
            }
        }
        overshoots(large.copy(vmCount = 88, earlyPauseMs = 230, intervalMs = 880), seeds = 4) shouldBe 0
    }

    test("the limit holds while VMs are restarted and cut off from their peers and reports are lost") {
        val disturbed = small.copy(restartsEveryMs = 3_000, cutsEveryMs = 6_000, lossPercent = 15)
        overshoots(disturbed, seeds = 40) shouldBe 0
        overshoots(disturbed.copy(perSecond = 3.4), seeds = 40) shouldBe 0
    }

    test("the same check detects VMs that ignore the limit") {
        overshoots(small.copy(isNaive = true), seeds = 5) shouldBeGreaterThan 0
    }

    test("the fleet uses most of the limit") {
        listOf(small, small.copy(perSecond = 3.4), large).forEach { settings ->
            val fleet = LimitedFleet(Random(1), settings)
            fleet.simulate(60_000)
            (fleet.sentCount > settings.perSecond * 60 * 0.8) shouldBe true
        }
    }

    test("a limit ends with a newer response without one, and a response that is hardly newer ends nothing") {
        val limiter = EndpointRateLimiter()
        limiter.onResponse(engine, 1.0, 0)
        limiter.onResponse(engine, null, 100)
        limiter.current.getValue(engine) shouldBe 1.0
        limiter.onResponse(engine, null, 1_000)
        limiter.current shouldBe emptyMap()
        repeat(10) { limiter.admit(engine, 1_000) shouldBe true }
    }

    test("a limit ends on the peers too, and another incarnation has none") {
        val limiter = EndpointRateLimiter()
        val peer = EndpointRateLimiter()
        limiter.onResponse(engine, 1.0, 0)
        peer.onPeerUses("vm-1", 1, limiter.reportChanges(10), isPeerOlder = false, 10)
        peer.current.getValue(engine) shouldBe 1.0
        // All VMs of a large fleet repeated what they had heard.
        peer.reportChanges(20) shouldBe emptyMap()
        peer.waitMs(Incarnation("engine", 2), 10) shouldBe 0
        limiter.onResponse(engine, null, 2_000)
        peer.onPeerUses("vm-1", 1, limiter.reportChanges(2_010), isPeerOlder = false, 2_010)
        peer.current shouldBe emptyMap()
    }

    test("a limit that is not named any more expires") {
        val limiter = EndpointRateLimiter()
        limiter.onResponse(engine, 1.0, 0)
        limiter.removeExpired(29_000)
        limiter.current.getValue(engine) shouldBe 1.0
        limiter.removeExpired(31_000)
        limiter.current shouldBe emptyMap()
    }

    test("an endpoint that takes nothing is tried every few seconds") {
        val limiter = EndpointRateLimiter()
        limiter.onResponse(engine, 0.0, 0)
        val sent = (0L..40_000L step 10).count { limiter.admit(engine, it) }
        (sent in 8..13) shouldBe true
    }

    test("a request that did not reach the endpoint is given back") {
        val limiter = EndpointRateLimiter()
        limiter.onResponse(engine, 1.0, 0)
        limiter.admit(engine, 0) shouldBe true
        limiter.admit(engine, 1) shouldBe false
        limiter.refund(engine)
        limiter.admit(engine, 2) shouldBe true
    }
})
