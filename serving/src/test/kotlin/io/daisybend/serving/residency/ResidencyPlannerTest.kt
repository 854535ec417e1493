package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

private fun engine(
    id: String,
    models: Set<String>,
    disk: Set<String> = emptySet(),
    runs: Map<String, Int> = emptyMap(),
    adapters: Map<String, Set<String>> = emptyMap(),
    runsEndInMs: Map<String, Long> = emptyMap(),
): EngineSnapshot {
    val holdings = EngineHoldings(3, models.associateWith { HeldModel(it, adapters[it].orEmpty()) }, onDisk = disk)
    return EngineSnapshot(
        tracker = EngineTracker(Incarnation(id, 1), holdings, engineClass),
        isUsable = true,
        runsByModel = runs,
        runsEndInMs = runsEndInMs,
        runsByAdapter = emptyMap(),
        inFlight = runs.values.sum(),
        pendingPromptTokens = 0,
        kvTokens = 0,
    )
}

private fun want(model: String, adapter: String? = null, urgency: Int = 1) =
    QueuedDemand(model, adapter, 1, urgency, 10)

class ResidencyPlannerTest : FunSpec({
    val planner = ResidencyPlanner(engineClass)

    fun plan(engines: List<EngineSnapshot>, wants: List<QueuedDemand>, storeLoads: Int = 4, prefetch: Boolean = false) =
        planner.plan(engines, wants, UsageHistory(), storeLoads, prefetch, nowMs = 10_000)

    test("a wanted model is loaded where a copy is at hand") {
        val orders =
            plan(listOf(engine("a", emptySet()), engine("b", emptySet(), disk = setOf("m5"))), listOf(want("m5")))
        orders.single().engine.tracker.incarnation.id shouldBe "b"
        orders.single().order shouldBe EngineOrder.LoadModel("m5", WeightSource.DISK)
    }

    test("a model that several wants name is planned once") {
        plan(List(4) { engine("e$it", emptySet()) }, listOf(want("m5"), want("m5", urgency = 2))) shouldHaveSize 1
    }

    test("weights without requests make way, and the load follows on the same engine") {
        val full = engine("a", setOf("m1", "m2"), disk = setOf("m5"), runs = mapOf("m1" to 3))
        plan(listOf(full), listOf(want("m5"))).single().order shouldBe
            EngineOrder.UnloadModel("m2", waitsForRuns = false)
        full.tracker.pendingModel shouldBe "m5"
        full.tracker.onSent(EngineOrder.UnloadModel("m2", false))
        full.tracker.onAnswer(OrderAnswer.Accepted, 9_000, 9_000)
        plan(listOf(full), emptyList()).single().order shouldBe EngineOrder.LoadModel("m5", WeightSource.DISK)
    }

    test("of models with runs the one whose runs end first makes way, and the load is expected after that") {
        val full = engine(
            "a",
            setOf("m1", "m2"),
            disk = setOf("m5"),
            runs = mapOf("m1" to 1, "m2" to 3),
            runsEndInMs = mapOf("m1" to 3_000L, "m2" to 400L),
        )
        plan(listOf(full), listOf(want("m5"))).single().order shouldBe
            EngineOrder.UnloadModel("m2", waitsForRuns = true)
        full.tracker.pendingLoad shouldBe PendingLoad("m5", readyAtMs = 10_000 + 400 + 50 + 1_000)
    }

    test("a wanted model never makes way") {
        val full = engine("a", setOf("m1", "m2"), disk = setOf("m5"))
        plan(listOf(full), listOf(want("m5"), want("m1"), want("m2"))).shouldBeEmpty()
    }

    test("no load from the store begins without a permit") {
        plan(listOf(engine("a", emptySet())), listOf(want("m5")), storeLoads = 0).shouldBeEmpty()
        plan(listOf(engine("a", emptySet())), emptyList(), storeLoads = 0, prefetch = true).shouldBeEmpty()
    }

    test("a load that is under way, awaits its answer or is decided is not planned again") {
        val loading = engine("a", emptySet())
        loading.tracker.onSent(EngineOrder.LoadModel("m5", WeightSource.STORE))
        plan(listOf(loading, engine("b", emptySet())), listOf(want("m5"))).shouldBeEmpty()
        val decided = engine("a", setOf("m1"), runs = mapOf("m1" to 1))
        decided.tracker.pendingLoad = PendingLoad("m5", 10_000)
        plan(listOf(decided, engine("b", emptySet())), listOf(want("m5"))).map {
            it.engine.tracker.incarnation.id
        } shouldBe
            listOf("a")
    }

    test("a load without an answer is sent again to the same engine, and its memory is counted once") {
        val engine = engine("a", setOf("m1"), disk = setOf("m5"))
        engine.tracker.onSent(EngineOrder.LoadModel("m5", WeightSource.DISK))
        engine.tracker.onAnswer(OrderAnswer.None, 9_000, 9_000)
        engine.tracker.onReport(engine.tracker.holdings, 9_300)
        plan(listOf(engine, engine("b", emptySet())), listOf(want("m5"))).single().order shouldBe
            EngineOrder.LoadModel("m5", WeightSource.DISK)
        engine.tracker.reservedModels() shouldBe setOf("m1", "m5")
    }

    test("a copy on an engine that is about to load something else is waited for, rather than the store") {
        val copy = engine("a", setOf("m1"), disk = setOf("m5"))
        copy.tracker.pendingLoad = PendingLoad("m6", 10_000)
        val orders = plan(listOf(copy, engine("b", emptySet())), listOf(want("m5")))
        orders.none { it.order == EngineOrder.LoadModel("m5", WeightSource.STORE) } shouldBe true
    }

    test("a copy on an engine whose models must stay a moment longer is waited for, rather than the store") {
        val copy = engine("a", setOf("m1"), disk = setOf("m5"))
        copy.tracker.onSent(EngineOrder.LoadModel("m2", WeightSource.MEMORY))
        copy.tracker.onAnswer(OrderAnswer.Accepted, 9_500, 9_800)
        copy.tracker.completeDueLoad(9_900)
        val elsewhere = engine("b", setOf("m3"))
        plan(listOf(copy, elsewhere), listOf(want("m5"), want("m1"))).shouldBeEmpty()
    }

    test("a copy on an engine that is loading what must make way for it is waited for, rather than the store") {
        val copy = engine("a", setOf("m1"), disk = setOf("m2", "m5"))
        copy.tracker.onSent(EngineOrder.LoadModel("m2", WeightSource.DISK))
        plan(listOf(copy, engine("b", emptySet())), listOf(want("m5"), want("m1"))).shouldBeEmpty()
        copy.tracker.onAnswer(OrderAnswer.Accepted, 9_900, 10_700)
        plan(listOf(copy, engine("b", emptySet())), listOf(want("m5"), want("m1"))).shouldBeEmpty()
        plan(listOf(copy, engine("b", emptySet())), listOf(want("m5"), want("m1"), want("m2"))).shouldBeEmpty()
    }

    test("a copy on an engine whose models are all waited for is waited for too, rather than the store") {
        val full = engine("a", setOf("m1", "m2"), disk = setOf("m5"))
        plan(listOf(full, engine("b", emptySet())), listOf(want("m5"), want("m1", "a1"), want("m2", "a1")))
            .none { it.order is EngineOrder.LoadModel } shouldBe true
    }

    test("a model on no disk is fetched ahead while nothing waits") {
        val all = modelNames.toSet()
        val order = plan(
            listOf(engine("a", emptySet(), disk = all - "m7")),
            emptyList(),
            prefetch = true,
        ).single().order
        order shouldBe EngineOrder.LoadModel("m7", WeightSource.STORE)
    }

    test("a wanted adapter is loaded beside its model, and one that nobody uses makes way") {
        val eight = (1..8).mapTo(HashSet()) { "a$it" }
        plan(listOf(engine("a", setOf("m1"))), listOf(want("m1", "a9"))).single().order shouldBe
            EngineOrder.LoadAdapter("m1", "a9")
        val full = engine("a", setOf("m1"), adapters = mapOf("m1" to eight))
        (plan(listOf(full), listOf(want("m1", "a9"))).single().order is EngineOrder.UnloadAdapter) shouldBe true
    }

    test("an adapter that is held already is not ordered again") {
        val holder = engine("a", setOf("m1"), adapters = mapOf("m1" to setOf("a1")))
        holder.tracker.reservedAdapters() shouldBe setOf(AdapterKey("m1", "a1"))
        plan(listOf(holder), listOf(want("m1", "a1"))).shouldBeEmpty()
    }
})
