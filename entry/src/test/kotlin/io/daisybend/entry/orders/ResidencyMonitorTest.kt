package io.daisybend.entry.orders

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.residency.EngineOrder
import io.daisybend.serving.residency.EngineSnapshot
import io.daisybend.serving.residency.EngineTracker
import io.daisybend.serving.residency.OrderAnswer
import io.daisybend.serving.residency.PendingLoad
import io.daisybend.serving.residency.QueuedDemand
import io.daisybend.serving.residency.StoreLoadAllowance
import io.daisybend.serving.residency.WeightSource
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.Service
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private val spec = EngineSpec(
    slots = 8,
    kvCapacityTokens = 1_000,
    weightMemoryMb = 200.0,
    adapterSlots = 8,
    hostCacheMb = 100.0,
    diskCacheMb = 400.0,
    loadsPerSecond = 2.0,
    models = emptyMap(),
)

private fun tracker(id: String, adaptersByModel: Map<String, Set<String>> = emptyMap()) = EngineTracker(
    Incarnation(id, 1),
    EngineHoldings(0, adaptersByModel.mapValues { (model, adapters) -> HeldModel(model, adapters) }),
    spec,
)

private fun snapshot(tracker: EngineTracker) = EngineSnapshot(
    tracker = tracker,
    isUsable = true,
    runsByModel = emptyMap(),
    runsEndInMs = emptyMap(),
    runsByAdapter = emptyMap(),
    inFlight = 0,
    pendingPromptTokens = 0,
    kvTokens = 0,
)

private fun demand(model: String, adapter: String? = null) =
    QueuedDemand(model, adapter, count = 2, urgency = 1, waitedMs = 300)

class ResidencyMonitorTest : FunSpec({
    val loading = tracker("e1").apply {
        onSent(EngineOrder.LoadModel("loading", WeightSource.STORE))
        onAnswer(OrderAnswer.Accepted, nowMs = 0, expectedAtMs = 7_800)
    }
    val makingWay = tracker("e2", mapOf("old" to emptySet())).apply { pendingLoad = PendingLoad("next", 9_000) }
    val holder = tracker("e3", mapOf("held" to setOf("a1")))
    val trackers = listOf(loading, makingWay, holder)

    test("what requests wait for is told apart by what it lacks") {
        val demands = listOf(
            demand("held"),
            demand("held", "a1"),
            demand("held", "a2"),
            demand("loading", "a1"),
            demand("next"),
            demand("lost"),
        )
        demands.map { ResidencyMonitor.waitStateOf(it, trackers) } shouldBe listOf(
            WaitState.HELD,
            WaitState.HELD,
            WaitState.ADAPTER,
            WaitState.LOADING,
            WaitState.MAKING_WAY,
            WaitState.NOT_ORDERED,
        )
    }

    test("the metrics show the loads from the store and the waiting models, and zeros once the duty has ended") {
        val metrics = Metrics()
        val monitor = ResidencyMonitor(EventLog("vm"), metrics)
        val queued = listOf(demand("lost"), demand("lost").copy(urgency = 2), demand("next"))
        val allowance = StoreLoadAllowance(starts = 1, concurrent = 4)
        monitor.onPlanned(Service("llm", 8, spec), trackers.map(::snapshot), queued, allowance, nowMs = 1_000)
        metrics.text() shouldContain "daisybend_store_loads_under_way 1.0"
        metrics.text() shouldContain "daisybend_models_waiting{state=\"not_ordered\"} 1.0"
        metrics.text() shouldContain "daisybend_models_waiting{state=\"making_way\"} 1.0"
        monitor.reset()
        metrics.text() shouldContain "daisybend_store_loads_under_way 0.0"
        metrics.text() shouldContain "daisybend_models_waiting{state=\"not_ordered\"} 0.0"
    }
})
