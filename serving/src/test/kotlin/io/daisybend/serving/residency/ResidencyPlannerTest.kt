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
    held: Set<String>,
    onDisk: Set<String> = emptySet(),
    runs: Map<String, Int> = emptyMap(),
    adapters: Map<String, Set<String>> = emptyMap(),
    runsEndInMs: Map<String, Long> = emptyMap(),
    limitPerSecond: Double? = null,
    isAtLimit: Boolean = false,
): EngineSnapshot {
    val holdings = EngineHoldings(3, held.associateWith { HeldModel(it, adapters[it].orEmpty()) }, onDisk = onDisk)
    return EngineSnapshot(
        tracker = EngineTracker(Incarnation(id, 1), holdings, engineSpec),
        isUsable = true,
        runsByModel = runs,
        runsEndInMs = runsEndInMs,
        runsByAdapter = emptyMap(),
        inFlight = runs.values.sum(),
        pendingPromptTokens = 0,
        kvTokens = 0,
        limitPerSecond = limitPerSecond,
        isAtLimit = isAtLimit,
    )
}

private fun demand(model: String, adapter: String? = null, urgency: Int = 1) =
    QueuedDemand(model, adapter, 1, urgency, 10)

class ResidencyPlannerTest : FunSpec({
    val planner = ResidencyPlanner(engineSpec)

    fun plan(
        engines: List<EngineSnapshot>,
        queued: List<QueuedDemand>,
        storeLoads: Int = 4,
        concurrentStoreLoads: Int = 4,
        prefetch: Boolean = false,
    ) =
        planner.plan(
            engines,
            queued,
            UsageHistory(),
            StoreLoadAllowance(starts = storeLoads, concurrent = concurrentStoreLoads),
            prefetch,
            nowMs = 10_000,
        )

    test("a requested model is loaded on the engine that has a copy") {
        val orders =
            plan(listOf(engine("a", emptySet()), engine("b", emptySet(), onDisk = setOf("m5"))), listOf(demand("m5")))
        orders.single().engine.tracker.incarnation.id shouldBe "b"
        orders.single().order shouldBe EngineOrder.LoadModel("m5", WeightSource.DISK)
    }

    test("the most requested model of an engine at its limit is loaded on an engine that has room for requests") {
        val limited = engine("a", setOf("m5"), limitPerSecond = 1.0, isAtLimit = true)
        val strained = engine("b", emptySet(), onDisk = setOf("m5"), limitPerSecond = 0.5, isAtLimit = true)
        val free = engine("c", emptySet(), onDisk = setOf("m5"))
        plan(listOf(limited, strained, free), listOf(demand("m5"))).single().engine.tracker.incarnation.id shouldBe "c"
        plan(listOf(engine("a", setOf("m5"), limitPerSecond = 1.0), free), listOf(demand("m5"))).shouldBeEmpty()
    }

    test("a model that several queued demands need is planned once") {
        plan(List(4) { engine("e$it", emptySet()) }, listOf(demand("m5"), demand("m5", urgency = 2))) shouldHaveSize 1
    }

    test("a model without runs is evicted, and the load follows on the same engine") {
        val fullEngine = engine("a", setOf("m1", "m2"), onDisk = setOf("m5"), runs = mapOf("m1" to 3))
        plan(listOf(fullEngine), listOf(demand("m5"))).single().order shouldBe
            EngineOrder.UnloadModel("m2", waitsForRuns = false)
        fullEngine.tracker.pendingModel shouldBe "m5"
        fullEngine.tracker.onSent(EngineOrder.UnloadModel("m2", false))
        fullEngine.tracker.onAnswer(OrderAnswer.Accepted, 9_000, 9_000)
        plan(listOf(fullEngine), emptyList()).single().order shouldBe EngineOrder.LoadModel("m5", WeightSource.DISK)
    }

    test("among models with runs, the one whose runs end first is evicted, and the load is expected after that") {
        val fullEngine = engine(
            "a",
            setOf("m1", "m2"),
            onDisk = setOf("m5"),
            runs = mapOf("m1" to 1, "m2" to 3),
            runsEndInMs = mapOf("m1" to 3_000L, "m2" to 400L),
        )
        plan(listOf(fullEngine), listOf(demand("m5"))).single().order shouldBe
            EngineOrder.UnloadModel("m2", waitsForRuns = true)
        fullEngine.tracker.pendingLoad shouldBe PendingLoad("m5", readyAtMs = 10_000 + 400 + 50 + 1_000)
    }

    test("a model that requests wait for is never evicted") {
        val fullEngine = engine("a", setOf("m1", "m2"), onDisk = setOf("m5"))
        plan(listOf(fullEngine), listOf(demand("m5"), demand("m1"), demand("m2"))).shouldBeEmpty()
    }

    test("no load from the store starts when none is available") {
        plan(listOf(engine("a", emptySet())), listOf(demand("m5")), storeLoads = 0).shouldBeEmpty()
        plan(listOf(engine("a", emptySet())), emptyList(), storeLoads = 0, prefetch = true).shouldBeEmpty()
    }

    test("a load from the store beyond those that may be under way waits, and no model is evicted for it") {
        val loading = (1..2).map { engine("loading-$it", emptySet()) }
        loading.forEachIndexed { index, snapshot ->
            snapshot.tracker.onSent(EngineOrder.LoadModel("m${index + 1}", WeightSource.STORE))
        }
        val full = engine("full", setOf("m7", "m8"))
        plan(loading + full, listOf(demand("m5")), concurrentStoreLoads = 2).shouldBeEmpty()
        full.tracker.pendingModel shouldBe null
        plan(loading + full, listOf(demand("m5")), concurrentStoreLoads = 3) shouldHaveSize 1
    }

    test("a load from the store whose engine makes room counts as under way") {
        val engines = listOf(engine("a", setOf("m7", "m8")), engine("b", setOf("m1", "m2")))
        val first = plan(engines, listOf(demand("m5")), concurrentStoreLoads = 1)
        first.single().order shouldBe EngineOrder.UnloadModel("m7", waitsForRuns = false)
        plan(engines, listOf(demand("m5"), demand("m6")), concurrentStoreLoads = 1)
            .none { it.engine.tracker.incarnation.id == "b" } shouldBe true
    }

    test("while the store is occupied, copies on disks are still loaded") {
        val loading = engine("loading", emptySet())
        loading.tracker.onSent(EngineOrder.LoadModel("m1", WeightSource.STORE))
        val withCopy = engine("copy", emptySet(), onDisk = setOf("m6"))
        val orders = plan(listOf(loading, withCopy), listOf(demand("m5"), demand("m6")), concurrentStoreLoads = 1)
        orders.single().order shouldBe EngineOrder.LoadModel("m6", WeightSource.DISK)
    }

    test("of the models that wait for the store, the one whose requests have waited most together is loaded first") {
        val waiting = listOf(
            QueuedDemand("m4", null, count = 1, urgency = 1, waitedMs = 900),
            QueuedDemand("m5", null, count = 2, urgency = 1, waitedMs = 400),
            QueuedDemand("m5", "a1", count = 2, urgency = 1, waitedMs = 300),
            QueuedDemand("m6", null, count = 9, urgency = 2, waitedMs = 900),
        )
        val orders = plan(List(3) { engine("e$it", emptySet()) }, waiting, concurrentStoreLoads = 1)
        orders.single().order shouldBe EngineOrder.LoadModel("m5", WeightSource.STORE)
    }

    test("a load from the store does not take the engine with the only copy of a requested model") {
        val history = UsageHistory()
        listOf("m1", "m2", "m3", "m4").forEach { history.recordUse(it, 4, 9_000) }
        val engines = listOf(engine("only-copies", setOf("m1", "m2")), engine("copied", setOf("m3", "m4"))) +
            engine("copies", emptySet(), onDisk = setOf("m3", "m4"), runs = mapOf("m9" to 2_000))
        val order = planner.plan(
            engines,
            listOf(demand("m5")),
            history,
            StoreLoadAllowance(starts = 1, concurrent = 1),
            prefetch = false,
            nowMs = 10_000,
        ).single()
        order.engine.tracker.incarnation.id shouldBe "copied"
    }

    test("a pending load that can't go on is given up, and its model is loaded elsewhere") {
        val stuck = engine("stuck", setOf("m7", "m8"))
        stuck.tracker.pendingLoad = PendingLoad("m5", readyAtMs = 6_000)
        val orders = plan(listOf(stuck, engine("b", emptySet())), listOf(demand("m5"), demand("m7"), demand("m8")))
        stuck.tracker.pendingModel shouldBe null
        orders.single().engine.tracker.incarnation.id shouldBe "b"
    }

    test("a pending load whose evictions are refused again and again is not expected ever later") {
        val full = engine("full", setOf("m7", "m8"))
        plan(listOf(full), listOf(demand("m5")))
        val readyAtMs = full.tracker.pendingLoad?.readyAtMs
        planner.plan(
            listOf(full),
            listOf(demand("m5")),
            UsageHistory(),
            StoreLoadAllowance(starts = 4, concurrent = 4),
            prefetch = false,
            nowMs = 12_000,
        ).single().order shouldBe EngineOrder.UnloadModel("m7", waitsForRuns = false)
        full.tracker.pendingLoad?.readyAtMs shouldBe readyAtMs
    }

    test("the last load that may be under way is expected to run at full speed") {
        val loading = (1..3).map { engine("loading-$it", emptySet()) }
        loading.forEachIndexed { index, snapshot ->
            snapshot.tracker.onSent(EngineOrder.LoadModel("m${index + 1}", WeightSource.STORE))
        }
        val engines = loading + engine("idle", emptySet())
        plan(engines, listOf(demand("m5")), concurrentStoreLoads = 4).single().durationMs shouldBe 6_000
    }

    test("a load that is outstanding or pending is not planned on another engine") {
        val loading = engine("a", emptySet())
        loading.tracker.onSent(EngineOrder.LoadModel("m5", WeightSource.STORE))
        plan(listOf(loading, engine("b", emptySet())), listOf(demand("m5"))).shouldBeEmpty()
        val pending = engine("a", setOf("m1"), runs = mapOf("m1" to 1))
        pending.tracker.pendingLoad = PendingLoad("m5", 10_000)
        plan(listOf(pending, engine("b", emptySet())), listOf(demand("m5"))).map {
            it.engine.tracker.incarnation.id
        } shouldBe
            listOf("a")
    }

    test("an unanswered load is sent again to the same engine, and its memory is reserved once") {
        val engine = engine("a", setOf("m1"), onDisk = setOf("m5"))
        engine.tracker.onSent(EngineOrder.LoadModel("m5", WeightSource.DISK))
        engine.tracker.onAnswer(OrderAnswer.None, 9_000, 9_000)
        engine.tracker.onReport(engine.tracker.holdings, 9_300)
        plan(listOf(engine, engine("b", emptySet())), listOf(demand("m5"))).single().order shouldBe
            EngineOrder.LoadModel("m5", WeightSource.DISK)
        engine.tracker.reservedModels() shouldBe setOf("m1", "m5")
    }

    test("a copy on an engine with a pending load is preferred to a load from the store") {
        val cached = engine("a", setOf("m1"), onDisk = setOf("m5"))
        cached.tracker.pendingLoad = PendingLoad("m6", 10_000)
        val orders = plan(listOf(cached, engine("b", emptySet())), listOf(demand("m5")))
        orders.none { it.order == EngineOrder.LoadModel("m5", WeightSource.STORE) } shouldBe true
    }

    test("a copy on an engine whose models may not be evicted yet is preferred to a load from the store") {
        val cached = engine("a", setOf("m1"), onDisk = setOf("m5"))
        cached.tracker.onSent(EngineOrder.LoadModel("m2", WeightSource.MEMORY))
        cached.tracker.onAnswer(OrderAnswer.Accepted, 9_500, 9_800)
        cached.tracker.completeDueLoad(9_900)
        val otherEngine = engine("b", setOf("m3"))
        plan(listOf(cached, otherEngine), listOf(demand("m5"), demand("m1"))).shouldBeEmpty()
    }

    test("a copy on an engine that is loading the model to evict is preferred to a load from the store") {
        val cached = engine("a", setOf("m1"), onDisk = setOf("m2", "m5"))
        cached.tracker.onSent(EngineOrder.LoadModel("m2", WeightSource.DISK))
        plan(listOf(cached, engine("b", emptySet())), listOf(demand("m5"), demand("m1"))).shouldBeEmpty()
        cached.tracker.onAnswer(OrderAnswer.Accepted, 9_900, 10_700)
        plan(listOf(cached, engine("b", emptySet())), listOf(demand("m5"), demand("m1"))).shouldBeEmpty()
        plan(listOf(cached, engine("b", emptySet())), listOf(demand("m5"), demand("m1"), demand("m2"))).shouldBeEmpty()
    }

    test("a copy on an engine whose models all have waiting requests is preferred to a load from the store") {
        val fullEngine = engine("a", setOf("m1", "m2"), onDisk = setOf("m5"))
        plan(listOf(fullEngine, engine("b", emptySet())), listOf(demand("m5"), demand("m1", "a1"), demand("m2", "a1")))
            .none { it.order is EngineOrder.LoadModel } shouldBe true
    }

    test("a model without a copy on any disk is prefetched while no requests wait") {
        val all = modelNames.toSet()
        val order = plan(
            listOf(engine("a", emptySet(), onDisk = all - "m7")),
            emptyList(),
            prefetch = true,
        ).single().order
        order shouldBe EngineOrder.LoadModel("m7", WeightSource.STORE)
    }

    test("a requested adapter is loaded on the engine of its model, and an unused adapter is evicted") {
        val eightAdapters = (1..8).mapTo(HashSet()) { "a$it" }
        plan(listOf(engine("a", setOf("m1"))), listOf(demand("m1", "a9"))).single().order shouldBe
            EngineOrder.LoadAdapter("m1", "a9")
        val fullEngine = engine("a", setOf("m1"), adapters = mapOf("m1" to eightAdapters))
        (plan(listOf(fullEngine), listOf(demand("m1", "a9"))).single().order is EngineOrder.UnloadAdapter) shouldBe true
    }

    test("an adapter that an engine already holds is not ordered again") {
        val holder = engine("a", setOf("m1"), adapters = mapOf("m1" to setOf("a1")))
        holder.tracker.reservedAdapters() shouldBe setOf(AdapterKey("m1", "a1"))
        plan(listOf(holder), listOf(demand("m1", "a1"))).shouldBeEmpty()
    }
})
