package io.daisybend.serving.residency

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

internal val engineClass = EngineSpec(
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

private const val ANY_COUNT = -1L

/** A model of an engine that takes orders, loses answers, carries orders out late and reports what was true before. */
private class ModelledEngine(private val random: Random) {
    private var orderCount = 0L
    private var models = LinkedHashSet(listOf("m1", "m2"))
    private var loading: String? = null
    private var busyUntilMs = 0L
    private val late = ArrayList<Triple<Long, Long, EngineOrder>>()
    private val past = ArrayDeque<Pair<Long, EngineHoldings>>()
    var overfilled = false
        private set

    fun advance(nowMs: Long) {
        if (nowMs >= busyUntilMs) {
            loading?.let { models.add(it) }
            loading = null
        }
        late.filter { it.first <= nowMs }.forEach { (_, expected, order) -> accept(expected, order, nowMs) }
        late.removeAll { it.first <= nowMs }
        past.addLast(
            nowMs to
                EngineHoldings(
                    orderCount,
                    models.associateWith { HeldModel(it, emptySet()) },
                    busy =
                    nowMs < busyUntilMs,
                ),
        )
        while (past.size > 2 && past[1].first <= nowMs - 200) past.removeFirst()
    }

    fun report(): EngineHoldings = past.first().second

    fun order(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer = when (random.nextInt(10)) {
        0 -> {
            late.add(Triple(nowMs + random.nextLong(2_000, 12_000), expected, order))
            OrderAnswer.None
        }
        1 -> {
            accept(expected, order, nowMs)
            OrderAnswer.None
        }
        else -> accept(expected, order, nowMs)
    }

    private fun accept(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer {
        if ((expected != ANY_COUNT && expected != orderCount) || nowMs < busyUntilMs) return OrderAnswer.Conflict
        when (order) {
            is EngineOrder.LoadModel -> {
                if (order.model in models) return OrderAnswer.AlreadyHolds
                if ((models.size + 1) * 70.0 > engineClass.weightMemoryMb) overfilled = true
                loading = order.model
                // Copies at hand may be further away than the holder of the duty believes.
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

/** Plays one seeded schedule; [naive] orders name no order count. Returns whether the engine was overfilled. */
private fun overfills(seed: Int, naive: Boolean): Boolean {
    val random = Random(seed)
    val engine = ModelledEngine(random)
    var tracker = newTracker()
    var reportDueMs = 0L
    var quietUntilMs = 0L
    for (nowMs in 0L until 60_000L step 20) {
        engine.advance(nowMs)
        if (random.nextInt(700) == 0) {
            // The lease keeps the orders of two holders this far apart.
            quietUntilMs = nowMs + 3_000
            tracker = newTracker()
        }
        if (nowMs < quietUntilMs) continue
        tracker.completeDueLoad(nowMs)
        if (tracker.shouldReadReport(nowMs) && nowMs >= reportDueMs) {
            reportDueMs = nowMs + 120
            if (random.nextInt(5) > 0) tracker.onReport(engine.report(), nowMs)
        }
        if (!tracker.acceptsOrders(nowMs) || random.nextInt(3) > 0) continue
        val counted = tracker.reservedModels()
        val wanted = modelNames.random(random)
        if (wanted in counted) continue
        val hasRoom = (counted.size + 1) * 70.0 <= engineClass.weightMemoryMb
        val victim = tracker.holdings.models.keys.randomOrNull(random)
        val order = when {
            hasRoom -> EngineOrder.LoadModel(wanted, WeightSource.entries.random(random))
            victim != null -> EngineOrder.UnloadModel(victim, waitsForRuns = random.nextBoolean())
            else -> continue
        }
        val expected = tracker.onSent(order)
        tracker.onAnswer(engine.order(if (naive) ANY_COUNT else expected, order, nowMs), nowMs, nowMs + 400)
    }
    return engine.overfilled
}

private fun newTracker() = EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap()), engineClass).also {
    it.requireReport()
}

class EngineTrackerTest : FunSpec({
    test(
        "an engine is never overfilled in 2,000 schedules of lost answers, late orders, lagging reports and new holders",
    ) {
        (0 until 2_000).filter { overfills(it, naive = false) } shouldBe emptyList()
    }

    test("a copy that a load has just left on the disk is known before the platform's list tells of it") {
        val tracker =
            EngineTracker(Incarnation("e", 1), EngineHoldings(0, emptyMap(), onDisk = setOf("m1")), engineClass)
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

    test("an engine takes no order while it drops weights") {
        val held = mapOf("m1" to HeldModel("m1", emptySet()))
        val tracker = EngineTracker(Incarnation("e", 1), EngineHoldings(0, held), engineClass)
        tracker.onSent(EngineOrder.UnloadModel("m1", waitsForRuns = false))
        tracker.onAnswer(OrderAnswer.Accepted, nowMs = 1_000, expectedAtMs = 1_050)
        tracker.acceptsOrders(1_049) shouldBe false
        tracker.acceptsOrders(1_050) shouldBe true
    }

    test("naive orders that do not name the engine's order count are caught by the same check") {
        (0 until 300).count { overfills(it, naive = true) } shouldBeGreaterThan 0
    }
})

class StoreLoadLimiterTest : FunSpec({
    test("loads stay below the rate in every window, and a new holder counts the window as used") {
        val random = Random(4)
        val pacer = StoreLoadLimiter(windowMs = 5_000)
        pacer.assumeWindowUsed(0)
        val begun = ArrayList<Long>()
        for (nowMs in 0L until 60_000L step 50) {
            if (pacer.availableLoads(nowMs, 1.6) > 0 && random.nextBoolean()) {
                pacer.onLoadStarted(nowMs)
                begun.add(nowMs)
            }
        }
        (begun.first() >= 5_000) shouldBe true
        begun.all { end -> begun.count { it > end - 5_000 && it <= end } <= 8 } shouldBe true
    }
})
