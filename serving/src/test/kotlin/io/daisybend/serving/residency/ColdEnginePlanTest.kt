package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.Incarnation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private fun engine(id: String, coldLeftMs: Long, isUsable: Boolean = true) = EngineSnapshot(
    tracker = EngineTracker(Incarnation(id, 1), EngineHoldings(3, emptyMap()), engineSpec),
    isUsable = isUsable,
    runsByModel = emptyMap(),
    runsEndInMs = emptyMap(),
    runsByAdapter = emptyMap(),
    inFlight = 0,
    pendingPromptTokens = 0,
    kvTokens = 0,
    coldLeftMs = coldLeftMs,
)

class ColdEnginePlanTest : FunSpec({
    fun enginesOf(vararg engines: EngineSnapshot) = ResidencyPlanner(engineSpec).plan(
        engines.toList(),
        listOf(QueuedDemand("m1", null, 1, 1, 10)),
        UsageHistory(),
        StoreLoadAllowance(4, 4),
        prefetch = false,
        nowMs = 1_000,
    ).map { it.engine.tracker.incarnation.id }

    // Requests for a model on a cold engine would wait for its few requests a second.
    test("a model is loaded on a warm engine rather than on a cold one, and on a cold one if there is no other") {
        enginesOf(engine("a", coldLeftMs = 3_000), engine("b", coldLeftMs = 0)) shouldBe listOf("b")
        enginesOf(engine("a", coldLeftMs = 0), engine("b", coldLeftMs = 3_000)) shouldBe listOf("a")
        enginesOf(engine("a", coldLeftMs = 3_000)) shouldBe listOf("a")
        enginesOf(engine("a", coldLeftMs = 0, isUsable = false), engine("b", coldLeftMs = 3_000)) shouldBe listOf("b")
    }
})
