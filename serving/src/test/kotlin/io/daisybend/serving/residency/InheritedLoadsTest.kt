package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private val engine = Incarnation("engine-1", 1)

private fun storeLoad(startedAtMs: Long, limit: Int = 3, model: String = "m1") =
    AnnouncedLoad(model, startedAtMs + 8_000, AcceptedLoad(startedAtMs, true, concurrentStoreLoads = 2, limit))

private fun tracker(models: Set<String> = emptySet()) =
    EngineTracker(engine, EngineHoldings(1, models.associateWith { HeldModel(it, emptySet()) }), engineSpec)

class InheritedLoadsTest : FunSpec({
    // The new holder saw a busy engine with an unknown order, and loaded the same model a second time.
    test("a successor takes over the load of an engine, with its end and what it shows of the store") {
        val inherited = InheritedLoads(windowMs = 5_000)
        inherited.onAnnounced(engine, storeLoad(10_000), nowMs = 10_050)
        val tracker = tracker()
        tracker.inherit(inherited.take(engine, nowMs = 15_000)!!, nowMs = 15_000)
        tracker.onReport(EngineHoldings(1, emptyMap(), busy = true), nowMs = 15_100)
        tracker.willHold("m1") shouldBe true
        tracker.mayLoadFromStore(15_100) shouldBe true
        tracker.hasUnknownOrder shouldBe false
        tracker.busyForMs(15_100) shouldBe 2_900
        tracker.runningLoad shouldBe RunningLoad("m1", 18_000, 10_000, isPredictable = false, concurrentStoreLoads = 2)
        inherited.take(engine, nowMs = 15_000) shouldBe null
    }

    test("a report ends an inherited load that has ended, and the engine takes orders") {
        val tracker = tracker()
        tracker.inherit(storeLoad(10_000), nowMs = 18_500)
        tracker.acceptsOrders(18_500) shouldBe false
        tracker.onReport(EngineHoldings(1, mapOf("m1" to HeldModel("m1", emptySet()))), nowMs = 18_600)
        tracker.acceptsOrders(18_600) shouldBe true
        tracker.holdings.models.keys shouldBe setOf("m1")
    }

    test("the load of an engine that holds the model already is not taken over") {
        val tracker = tracker(setOf("m1"))
        tracker.inherit(storeLoad(10_000), nowMs = 18_500)
        tracker.runningLoad shouldBe null
    }

    test("a load whose order was still to be sent is resumed, and not for longer than the holder would have") {
        val inherited = InheritedLoads(windowMs = 5_000)
        inherited.onAnnounced(engine, AnnouncedLoad("m1", 12_000, accepted = null), nowMs = 10_000)
        inherited.inProgress(15_000) shouldBe 1
        inherited.inProgress(15_001) shouldBe 0
        val tracker = tracker()
        tracker.inherit(inherited.take(engine, nowMs = 15_000)!!, nowMs = 15_000)
        tracker.pendingModel shouldBe "m1"
        tracker.acceptsOrders(15_000) shouldBe false
    }

    test("no load survives its announced end, another incarnation, or three times its duration") {
        val inherited = InheritedLoads(windowMs = 5_000)
        inherited.onAnnounced(engine, storeLoad(10_000), nowMs = 10_000)
        inherited.take(Incarnation("engine-1", 2), nowMs = 11_000) shouldBe null
        inherited.onAnnounced(engine, null, nowMs = 12_000)
        inherited.take(engine, nowMs = 12_000) shouldBe null
        inherited.onAnnounced(engine, storeLoad(20_000), nowMs = 20_000)
        inherited.inProgress(43_999) shouldBe 1
        inherited.take(engine, nowMs = 44_000) shouldBe null
    }

    // A report is repeated three times and an overdue load in each report: one load must not fill the window.
    test("a load that is announced again counts as one start") {
        val inherited = InheritedLoads(windowMs = 5_000)
        inherited.onAnnounced(engine, storeLoad(10_000), nowMs = 10_010)
        inherited.onAnnounced(engine, storeLoad(10_250), nowMs = 11_000)
        inherited.onAnnounced(engine, null, nowMs = 11_500)
        inherited.onAnnounced(engine, storeLoad(12_000, model = "m2"), nowMs = 12_010)
        inherited.onHolderHeard(12_010)
        val loads = inherited.predecessorLoads(rightEndedAtMs = 13_700, shortestLoadMs = 6_000)
        loads.startedAtMs shouldContainExactly listOf(10_000L, 12_000L)
        loads.limit shouldBe 3
        loads.unheardStarts shouldBe 12
    }

    test("what a holder started unheard has no bound if its limit or the time of its last report is not known") {
        val inherited = InheritedLoads(windowMs = 5_000)
        inherited.predecessorLoads(13_700, 6_000).unheardStarts shouldBe Int.MAX_VALUE
        inherited.onHolderHeard(12_000)
        inherited.predecessorLoads(13_700, 6_000).unheardStarts shouldBe Int.MAX_VALUE
        inherited.onAnnounced(engine, storeLoad(10_000, limit = 2), nowMs = 12_000)
        inherited.predecessorLoads(13_700, 6_000).unheardStarts shouldBe 8
        inherited.predecessorLoads(13_700, shortestLoadMs = 0).unheardStarts shouldBe 4 * 3_702
    }
})
