package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.EngineSpec

/** Sends the orders of [ResidencyPlanner], with one [EngineTracker] per engine. */
internal class PlannedResidency(
    private val spec: EngineSpec,
    private val isStoreUnavailable: Boolean = false,
    settings: PlannerSettings = PlannerSettings(),
) : ResidencyPolicy {
    private val trackers = HashMap<String, EngineTracker>()
    private val planner = ResidencyPlanner(spec, settings)
    private val history = UsageHistory()
    private val storeLoads = StoreLoads(windowMs = 5_000)
    private val coldDemand = ColdDemand()

    override fun order(
        engines: List<ReplayedEngine>,
        waiting: List<WaitingRequest>,
        arrived: List<WaitingRequest>,
        nowMs: Long,
    ) {
        val isCold = { model: String -> engines.none { model in it.report(nowMs).copies() } }
        arrived.filter { isCold(it.model) }.forEach { coldDemand.recordRequests(it.model, 1, nowMs) }
        coldDemand.retain(nowMs, isCold)
        arrived.flatMap { setOf(it.model, it.key) }.groupingBy { it }.eachCount().forEach { (key, count) ->
            history.recordUse(key, count, nowMs)
        }
        val planned = engines.map { snapshotOf(it, nowMs) }
        val queued = waiting.groupBy { Triple(it.model, it.adapter, it.urgency) }.map { (key, requests) ->
            val (model, adapter, urgency) = key
            QueuedDemand(model, adapter, requests.size, urgency, waitedMs = nowMs - requests.minOf { it.arrivedAtMs })
        }
        val loadsPerSecond = if (isStoreUnavailable) 0.0 else spec.loadsPerSecond
        val allowance = storeLoads.allowance(others = emptyList(), loadsPerSecond, nowMs)
        val demand = queued + coldDemand.queuedDemand(nowMs)
        planner.plan(planned, demand, history, allowance, prefetch = true, nowMs = nowMs).forEach {
            send(it, engines, nowMs)
        }
    }

    private fun snapshotOf(engine: ReplayedEngine, nowMs: Long): EngineSnapshot {
        val tracker = trackers.getOrPut(engine.id) {
            EngineTracker(Incarnation(engine.id, 0), engine.report(nowMs), spec)
        }
        tracker.completeDueLoad(nowMs)
        if (tracker.shouldReadReport(nowMs)) readReport(tracker, engine, nowMs)
        val runs = engine.currentRuns.groupBy { it.model }
        return EngineSnapshot(
            tracker = tracker,
            isUsable = true,
            runsByModel = runs.mapValues { it.value.size },
            runsEndInMs = runs.mapValues { (_, all) -> all.maxOf { it.endsAtMs } - nowMs },
            runsByAdapter = engine.currentRuns
                .mapNotNull { run -> run.adapter?.let { AdapterKey(run.model, it) } }
                .groupingBy { it }
                .eachCount(),
            inFlight = engine.currentRuns.size,
            pendingPromptTokens = 0,
            kvTokens = 0,
        )
    }

    private fun readReport(tracker: EngineTracker, engine: ReplayedEngine, nowMs: Long) {
        val previousLoad = tracker.runningLoad
        tracker.onReport(engine.report(nowMs), nowMs)
        if (previousLoad == null || tracker.runningLoad != null) return
        storeLoads.onEnded(previousLoad, spec.models.getValue(previousLoad.model).coldLoadMs, nowMs)
    }

    private fun send(planned: PlannedOrder, engines: List<ReplayedEngine>, nowMs: Long) {
        val tracker = planned.engine.tracker
        val order = planned.order
        val isStoreLoad = order is EngineOrder.LoadModel && order.source == WeightSource.STORE
        val expected = tracker.onSent(order, if (isStoreLoad) storeLoads.onSent(trackers.values, nowMs) else 0)
        val answer = engines.single { it.id == tracker.incarnation.id }.order(expected, order, nowMs)
        tracker.onAnswer(answer, nowMs, nowMs + planned.durationMs)
    }
}

/** Loads each requested model on the next engine round-robin and evicts the oldest load; ignores existing copies. */
internal class RoundRobinResidency(private val pattern: ReplayPattern) : ResidencyPolicy {
    private val loadOrder = HashMap<String, ArrayList<String>>()
    private val pendingModels = HashMap<String, String>()
    private var nextIndex = 0

    override fun order(
        engines: List<ReplayedEngine>,
        waiting: List<WaitingRequest>,
        arrived: List<WaitingRequest>,
        nowMs: Long,
    ) {
        val idle = engines.filter { !it.report(nowMs).busy }
        idle.forEach { engine -> pendingModels[engine.id]?.let { continueLoad(engine, it, nowMs) } }
        waiting.map { it.model }.distinct().forEach { model ->
            if (engines.any { it.canServe(model, adapter = null) } || model in pendingModels.values) return@forEach
            val engine = engines[nextIndex++ % engines.size]
            if (engine in idle && engine.id !in pendingModels) pendingModels[engine.id] = model
        }
    }

    private fun continueLoad(engine: ReplayedEngine, model: String, nowMs: Long) {
        val report = engine.report(nowMs)
        val held = loadOrder.getOrPut(engine.id) { ArrayList(report.models.keys) }
        held.retainAll(report.models.keys)
        report.models.keys.filter { it !in held }.forEach(held::add)
        if (model in report.models) {
            pendingModels.remove(engine.id)
            return
        }
        val used = report.models.keys.sumOf { replaySpec.models.getValue(it).weightsMb }
        val hasMemory = used + replaySpec.models.getValue(model).weightsMb <= replaySpec.weightMemoryMb
        val canLoad = !pattern.isStoreUnavailable || model in report.onDisk
        when {
            !canLoad -> pendingModels.remove(engine.id)
            hasMemory -> engine.order(report.orderCount, EngineOrder.LoadModel(model, WeightSource.STORE), nowMs)
            else -> engine.order(report.orderCount, EngineOrder.UnloadModel(held.first(), waitsForRuns = true), nowMs)
        }
    }
}
