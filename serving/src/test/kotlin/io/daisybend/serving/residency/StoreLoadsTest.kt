package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.Incarnation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private fun engine(id: String) = EngineTracker(Incarnation(id, 1), EngineHoldings(0, emptyMap()), engineSpec)

private fun EngineTracker.load() = onSent(EngineOrder.LoadModel("m1", WeightSource.STORE))

class StoreLoadsTest : FunSpec({
    test("services share the loads that may be under way together") {
        val loads = StoreLoads(windowMs = 5_000)
        val others = listOf(engine("a"), engine("b"), engine("c")).onEach { it.load() }
        loads.allowance(others, loadsPerSecond = 10.0, nowMs = 0) shouldBe StoreLoadAllowance(50, concurrent = 1)
        val more = others + listOf(engine("d"), engine("e")).onEach { it.load() }
        loads.allowance(more, loadsPerSecond = 10.0, nowMs = 0) shouldBe StoreLoadAllowance(50, concurrent = 0)
    }

    test("a load counts itself, and its number is not known while an engine executes an unknown order") {
        val loads = StoreLoads(windowMs = 5_000)
        val engines = listOf(engine("a"), engine("b"))
        loads.onSent(engines, nowMs = 0) shouldBe 1
        engines[0].load()
        loads.onSent(engines, nowMs = 0) shouldBe 2
        engines[1].onReport(EngineHoldings(0, emptyMap(), busy = true), nowMs = 0)
        loads.onSent(engines, nowMs = 0) shouldBe 0
        loads.allowance(emptyList(), loadsPerSecond = 1.0, nowMs = 0).starts shouldBe 2
    }

    test("a new holder that heard nothing starts no load for one window from the end of the last right to order") {
        val loads = StoreLoads(windowMs = 5_000)
        val slowed = RunningLoad("m1", 8_000, startedAtMs = 0, isPredictable = false, concurrentStoreLoads = 4)
        repeat(2) { loads.onEnded(slowed, coldLoadMs = 8_000, nowMs = 16_300) }
        loads.succeed(PredecessorLoads(rightEndedAtMs = 20_000))
        loads.allowance(emptyList(), 10.0, nowMs = 24_999) shouldBe StoreLoadAllowance(starts = 0, concurrent = 2)
        loads.allowance(emptyList(), 10.0, nowMs = 25_000) shouldBe StoreLoadAllowance(starts = 50, concurrent = 2)
    }

    // A new holder started no load for 5 s from its takeover, although its predecessor had hardly started any.
    test("a new holder counts the loads that it knows, what may have started unheard, and its own earlier ones") {
        val loads = StoreLoads(windowMs = 5_000)
        loads.onSent(emptyList(), nowMs = 19_000)
        loads.succeed(PredecessorLoads(20_000, startedAtMs = listOf(16_000, 19_500), unheardStarts = 16, limit = 3))
        loads.limit shouldBe 3
        // At a low rate the predecessor can't have started more than the rate allowed.
        loads.allowance(emptyList(), 2.0, nowMs = 20_500).starts shouldBe 0
        loads.allowance(emptyList(), 10.0, nowMs = 20_500).starts shouldBe 50 - 1 - 2 - 16
        loads.allowance(emptyList(), 10.0, nowMs = 23_300).starts shouldBe 50 - 1 - 1 - 16
        loads.allowance(emptyList(), 10.0, nowMs = 24_999).starts shouldBe 50 - 16
        loads.allowance(emptyList(), 10.0, nowMs = 25_000).starts shouldBe 50
    }
})
