package io.daisybend.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private val settings = StopSettings(addressLifetimeMs = 10_000, maxListLagMs = 2_000)

class StopStateMachineTest : FunSpec({
    test("a planned stop cuts and refuses no request, for any cached addresses and stream durations") {
        checkAll(PropTestConfig(seed = 1, iterations = 2_000), Arb.long()) { seed ->
            val outcome = stopUnderTraffic(seed, waitsForAddresses = true)
            withClue("schedule $seed: $outcome") {
                outcome.requestsCut shouldBe 0
                outcome.requestsRefused shouldBe 0
                outcome.phase shouldBe StopPhase.STOPPED
            }
        }
    }

    test("the check finds refused requests when a stop does not wait until the addresses expire") {
        (1L..50L).sumOf { stopUnderTraffic(it, waitsForAddresses = false).requestsRefused } shouldNotBe 0
    }

    test("a stop that cannot register waits longer before it refuses requests") {
        val stateMachine = StopStateMachine(settings)
        stateMachine.handle(StopEvent.StopRequested, nowMs = 0)
        val refusedAtMs = (0L..60_000L step 100).first {
            StopAction.RefuseNewRequests in stateMachine.handle(StopEvent.Tick(0), it)
        }
        refusedAtMs shouldBeGreaterThanOrEqual settings.addressLifetimeMs + 3 * settings.maxListLagMs
    }

    test("ownerships are released only after the last request has ended") {
        val stateMachine = StopStateMachine(settings.copy(addressLifetimeMs = 0, maxListLagMs = 0))
        stateMachine.handle(StopEvent.StopRequested, nowMs = 0)
        stateMachine.handle(StopEvent.RegisteredAsLeaving, nowMs = 0)
        stateMachine.handle(StopEvent.Tick(1), nowMs = 1) shouldBe listOf(StopAction.RefuseNewRequests)
        stateMachine.handle(StopEvent.Tick(1), nowMs = 100) shouldBe emptyList()
        stateMachine.handle(StopEvent.Tick(0), nowMs = 200) shouldBe listOf(StopAction.Release)
        stateMachine.handle(StopEvent.Released, nowMs = 300) shouldBe listOf(StopAction.Exit(requestsCut = 0))
    }
})

private data class StopOutcome(val requestsCut: Int, val requestsRefused: Int, val phase: StopPhase)

/** Stops a VM under random traffic; callers use its address for the lifetime after the other VMs see that it leaves. */
private fun stopUnderTraffic(seed: Long, waitsForAddresses: Boolean): StopOutcome {
    val random = Random(seed)
    val stateMachine = StopStateMachine(if (waitsForAddresses) settings else settings.copy(addressLifetimeMs = 0))
    val registersAtMs = random.nextLong(5_000)
    val seenByAllMs = registersAtMs + random.nextLong(settings.maxListLagMs)
    val lastArrivalMs = seenByAllMs + settings.addressLifetimeMs
    val requestEndsMs = ArrayList<Long>()
    var refused = 0
    var cut = 0
    var isRefusing = false
    stateMachine.handle(StopEvent.StopRequested, nowMs = 0)
    for (nowMs in 0L..120_000L step 50) {
        if (nowMs < lastArrivalMs && random.nextInt(4) == 0) {
            if (isRefusing) refused++ else requestEndsMs += nowMs + random.nextLong(60_000)
        }
        requestEndsMs.removeIf { it <= nowMs }
        if (nowMs >= registersAtMs) stateMachine.handle(StopEvent.RegisteredAsLeaving, nowMs)
        stateMachine.handle(StopEvent.Tick(requestEndsMs.size), nowMs).forEach { action ->
            when (action) {
                StopAction.RefuseNewRequests -> isRefusing = true
                StopAction.Release -> stateMachine.handle(StopEvent.Released, nowMs)
                is StopAction.Exit -> cut += action.requestsCut
                StopAction.RegisterAsLeaving -> Unit
            }
        }
        if (stateMachine.phase == StopPhase.STOPPED) cut += requestEndsMs.size
        if (stateMachine.phase == StopPhase.STOPPED) break
    }
    return StopOutcome(cut, refused, stateMachine.phase)
}
