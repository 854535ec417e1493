package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

internal val modelNames = (1..9).map { "m$it" }

internal val engineSpec = EngineSpec(
    slots = 64,
    kvCapacityTokens = 200_000,
    weightMemoryMb = 200.0,
    adapterSlots = 8,
    hostCacheMb = 150.0,
    diskCacheMb = 700.0,
    loadsPerSecond = 1.6,
    models = modelNames.associateWith {
        ModelSpec(it, weightsMb = 70.0, coldLoadMs = 6_000, diskLoadMs = 1_000, memoryLoadMs = 400, adapterMb = 0.1)
    },
)

private const val ANY_ORDER_COUNT = -1L

/** Simulates an engine that loses answers, executes some orders late and reports an earlier state. */
private class SimulatedEngine(private val random: Random) {
    private var orderCount = 0L
    private var models = LinkedHashSet(listOf("m1", "m2"))
    private var loading: String? = null
    private var busyUntilMs = 0L
    private val lateOrders = ArrayList<Triple<Long, Long, EngineOrder>>()
    private val pastReports = ArrayDeque<Pair<Long, EngineHoldings>>()
    var isOverfilled = false
        private set

    fun advance(nowMs: Long) {
        if (nowMs >= busyUntilMs) {
            loading?.let { models.add(it) }
            loading = null
        }
        lateOrders.filter { it.first <= nowMs }.forEach { (_, expected, order) -> execute(expected, order, nowMs) }
        lateOrders.removeAll { it.first <= nowMs }
        pastReports.addLast(
            nowMs to
                EngineHoldings(
                    orderCount,
                    models.associateWith { HeldModel(it, emptySet()) },
                    busy =
                    nowMs < busyUntilMs,
                ),
        )
        while (pastReports.size > 2 && pastReports[1].first <= nowMs - 200) pastReports.removeFirst()
    }

    fun report(): EngineHoldings = pastReports.first().second

    fun order(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer = when (random.nextInt(10)) {
        0 -> {
            lateOrders.add(Triple(nowMs + random.nextLong(2_000, 12_000), expected, order))
            OrderAnswer.None
        }
        1 -> {
            execute(expected, order, nowMs)
            OrderAnswer.None
        }
        else -> execute(expected, order, nowMs)
    }

    private fun execute(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer {
        if ((expected != ANY_ORDER_COUNT && expected != orderCount) || nowMs < busyUntilMs) return OrderAnswer.Conflict
        when (order) {
            is EngineOrder.LoadModel -> {
                if (order.model in models) return OrderAnswer.AlreadyHolds
                if ((models.size + 1) * 70.0 > engineSpec.weightMemoryMb) isOverfilled = true
                loading = order.model
                // A copy may come from a slower source than the order duty holder assumes.
                busyUntilMs = nowMs + random.nextLong(300, 3_000)
            }
            is EngineOrder.UnloadModel -> {
                if (!models.remove(order.model)) return OrderAnswer.AlreadyHolds
                busyUntilMs = nowMs + random.nextLong(0, 900)
            }
            else -> return OrderAnswer.AlreadyHolds
        }
        orderCount++
        return OrderAnswer.Accepted
    }
}

/** Simulates one schedule and returns whether the engine was overfilled; [isNaive] orders name no order count. */
private fun overfills(seed: Int, isNaive: Boolean): Boolean {
    val random = Random(seed)
    val engine = SimulatedEngine(random)
    var tracker = newTracker()
    var nextReportAtMs = 0L
    var noOrdersUntilMs = 0L
    for (nowMs in 0L until 60_000L step 20) {
        engine.advance(nowMs)
        if (random.nextInt(700) == 0) {
            // The lease guarantees this gap between the orders of two holders.
            noOrdersUntilMs = nowMs + 3_000
            tracker = newTracker()
        }
        if (nowMs < noOrdersUntilMs) continue
        tracker.completeDueLoad(nowMs)
        if (tracker.shouldReadReport(nowMs) && nowMs >= nextReportAtMs) {
            nextReportAtMs = nowMs + 120
            if (random.nextInt(5) > 0) tracker.onReport(engine.report(), nowMs)
        }
        if (!tracker.acceptsOrders(nowMs) || random.nextInt(3) > 0) continue
        val reserved = tracker.reservedModels()
        val model = modelNames.random(random)
        if (model in reserved) continue
        val hasMemory = (reserved.size + 1) * 70.0 <= engineSpec.weightMemoryMb
        val victim = tracker.holdings.models.keys.randomOrNull(random)
        val order = when {
            hasMemory -> EngineOrder.LoadModel(model, WeightSource.entries.random(random))
            victim != null -> EngineOrder.UnloadModel(victim, waitsForRuns = random.nextBoolean())
            else -> continue
        }
        val expected = tracker.onSent(order)
        tracker.onAnswer(engine.order(if (isNaive) ANY_ORDER_COUNT else expected, order, nowMs), nowMs, nowMs + 400)
    }
    return engine.isOverfilled
}

private fun newTracker() = EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap()), engineSpec).also {
    it.requireReport()
}

class EngineTrackerTest : FunSpec({
    test(
        "an engine is never overfilled in 2,000 schedules of lost answers, late orders, stale reports and new holders",
    ) {
        (0 until 2_000).filter { overfills(it, isNaive = false) } shouldBe emptyList()
    }

    test("a disk copy left by a recent load is known before the platform's list includes it") {
        val tracker =
            EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap(), onDisk = setOf("m1")), engineSpec)
        tracker.onSent(EngineOrder.LoadModel("m2", WeightSource.STORE))
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 1_000, expectedAtMs = 7_000)
        tracker.onReport(EngineHoldings(1, mapOf("m2" to HeldModel("m2", emptySet()))), nowMs = 7_100)
        tracker.onSent(EngineOrder.UnloadModel("m2", waitsForRuns = false))
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 7_900, expectedAtMs = 7_900)
        tracker.onListEntry(EngineHoldings(1, emptyMap(), onDisk = setOf("m1")), nowMs = 8_500)
        tracker.holdings.onDisk shouldBe setOf("m1", "m2")
        tracker.onListEntry(EngineHoldings(2, emptyMap(), onDisk = setOf("m1")), nowMs = 12_000)
        tracker.holdings.onDisk shouldBe setOf("m1")
    }

    test("an engine accepts no order while it unloads a model") {
        val held = mapOf("m1" to HeldModel("m1", emptySet()))
        val tracker = EngineTracker(Incarnation("e", 1), EngineHoldings(0, held), engineSpec)
        tracker.onSent(EngineOrder.UnloadModel("m1", waitsForRuns = false))
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 1_000, expectedAtMs = 1_050)
        tracker.acceptsOrders(1_049) shouldBe false
        tracker.acceptsOrders(1_050) shouldBe true
    }

    // An engine that had carried out a load without an answer was sent the same load again and again.
    test("a load without an answer is not pending any more once the engine holds its model") {
        fun unanswered() = EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap()), engineSpec).apply {
            onSent(EngineOrder.LoadModel("m1", WeightSource.STORE))
            onAnswer(OrderAnswer.None, nowMs = 1_000, expectedAtMs = 7_000)
        }
        val reported = unanswered()
        reported.pendingModel shouldBe "m1"
        reported.onReport(EngineHoldings(1, mapOf("m1" to HeldModel("m1", emptySet()))), nowMs = 7_200)
        reported.pendingModel shouldBe null
        val answered = unanswered()
        answered.onSent(EngineOrder.LoadModel("m1", WeightSource.STORE))
        answered.onAnswer(OrderAnswer.AlreadyHolds, nowMs = 7_200, expectedAtMs = 7_200)
        answered.pendingModel shouldBe null
    }

    // Engines whose loads took longer than expected seemed free at any moment, so others were not used.
    test("an overdue load is expected to take as long again as it is overdue") {
        val tracker = EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap()), engineSpec)
        tracker.onSent(EngineOrder.LoadModel("m1", WeightSource.STORE), concurrentStoreLoads = 2)
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 1_000, expectedAtMs = 7_000)
        tracker.busyForMs(3_000) shouldBe 4_000
        tracker.busyForMs(10_000) shouldBe 3_000
        tracker.runningLoad?.concurrentStoreLoads shouldBe 2
    }

    test("a load from the store counts until it ends, or until it should long have ended") {
        val tracker = EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap()), engineSpec)
        tracker.mayLoadFromStore(0) shouldBe false
        tracker.onSent(EngineOrder.LoadModel("m1", WeightSource.STORE))
        tracker.mayLoadFromStore(500) shouldBe true
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 1_000, expectedAtMs = 7_000)
        tracker.mayLoadFromStore(18_000) shouldBe true
        tracker.mayLoadFromStore(19_000) shouldBe false
    }

    test("an order of another VM counts as a load from the store while its engine is busy") {
        val tracker = EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap()), engineSpec)
        tracker.onReport(EngineHoldings(0, emptyMap(), busy = true), nowMs = 1_000)
        tracker.mayLoadFromStore(2_000) shouldBe true
        tracker.onReport(EngineHoldings(1, emptyMap()), nowMs = 5_000)
        tracker.mayLoadFromStore(5_000) shouldBe false
    }

    // An engine was ordered to load a ninth adapter into eight places while an unload waited for its runs.
    test("an adapter takes its place until a report shows that its accepted unload is done") {
        fun holdings(orderCount: Long, vararg adapters: String) =
            EngineHoldings(orderCount, mapOf("m1" to HeldModel("m1", adapters.toSet())))
        val tracker = EngineTracker(Incarnation("e", 1), holdings(0, "a1", "a2"), engineSpec)
        tracker.onSent(EngineOrder.UnloadAdapter("m1", "a1"))
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 1_000, expectedAtMs = 1_010)
        tracker.holdings.models.getValue("m1").adapters shouldBe setOf("a2")
        tracker.reservedAdapters() shouldBe setOf(AdapterKey("m1", "a1"), AdapterKey("m1", "a2"))
        tracker.shouldReadReport(1_100) shouldBe true
        tracker.onReport(holdings(1, "a1", "a2"), nowMs = 1_300)
        tracker.holdings.models.getValue("m1").adapters shouldBe setOf("a2")
        tracker.reservedAdapters().size shouldBe 2
        tracker.onReport(holdings(1, "a2"), nowMs = 3_000)
        tracker.reservedAdapters() shouldBe setOf(AdapterKey("m1", "a2"))
        tracker.shouldReadReport(3_100) shouldBe false
    }

    test("an adapter that was unloaded at once takes no place any more") {
        val held = mapOf("m1" to HeldModel("m1", setOf("a1")))
        val tracker = EngineTracker(Incarnation("e", 1), EngineHoldings(0, held), engineSpec)
        tracker.onSent(EngineOrder.UnloadAdapter("m1", "a1"))
        tracker.onAnswer(OrderAnswer.AlreadyHolds, nowMs = 1_000, expectedAtMs = 1_010)
        tracker.reservedAdapters() shouldBe emptySet()
    }

    test("the same check detects naive orders that do not name the order count of the engine") {
        (0 until 300).count { overfills(it, isNaive = true) } shouldBeGreaterThan 0
    }
})

class StoreLoadLimiterTest : FunSpec({
    test("loads stay within the rate in every window, and a new holder that heard nothing starts none at first") {
        val random = Random(4)
        val limiter = StoreLoadLimiter(windowMs = 5_000)
        limiter.inherit(PredecessorLoads(rightEndedAtMs = 0))
        val startedAtMs = ArrayList<Long>()
        for (nowMs in 0L until 60_000L step 50) {
            if (limiter.availableLoads(nowMs, 1.6) > 0 && random.nextBoolean()) {
                limiter.onLoadStarted(nowMs)
                startedAtMs.add(nowMs)
            }
        }
        (startedAtMs.first() >= 5_000) shouldBe true
        startedAtMs.all { end -> startedAtMs.count { it > end - 5_000 && it <= end } <= 8 } shouldBe true
    }
})
