package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.Incarnation

/** The planner and the accounts of the project, with reports that lag. */
internal class PlannedResidency(
    private val pattern: LoadPattern,
    settings: PlannerSettings = PlannerSettings(),
) : ResidencyPolicy {
    private val trackers = HashMap<String, EngineTracker>()
    private val planner = ResidencyPlanner(replayClass, settings)
    private val history = UsageHistory()
    private val pacer = StoreLoadLimiter(windowMs = 5_000)

    override fun order(
        engines: List<ReplayedEngine>,
        waiting: List<WaitingRequest>,
        arrived: List<String>,
        nowMs: Long,
    ) {
        arrived.groupingBy { it }.eachCount().forEach { (model, count) -> history.recordUse(model, count, nowMs) }
        val planned = engines.map { plannedOf(it, nowMs) }
        val wants = waiting.groupBy { it.model }.map { (model, requests) ->
            QueuedDemand(model, null, requests.size, urgency = 1, waitedMs = nowMs - requests.minOf { it.arrivedAtMs })
        }
        val storeLoads = if (pattern.isStoreAway) 0 else pacer.availableLoads(nowMs, replayClass.loadsPerSecond)
        planner.plan(planned, wants, history, storeLoads, prefetch = true, nowMs = nowMs).forEach {
            send(it, engines, nowMs)
        }
    }

    private fun plannedOf(engine: ReplayedEngine, nowMs: Long): EngineSnapshot {
        val tracker = trackers.getOrPut(engine.id) {
            EngineTracker(Incarnation(engine.id, 0), engine.report(nowMs), replayClass)
        }
        tracker.completeDueLoad(nowMs)
        if (tracker.shouldReadReport(nowMs)) tracker.onReport(engine.report(nowMs), nowMs)
        val runs = engine.runsNow.groupBy { it.model }
        return EngineSnapshot(
            tracker = tracker,
            isUsable = true,
            runsByModel = runs.mapValues { it.value.size },
            runsEndInMs = runs.mapValues { (_, all) -> all.maxOf { it.endsAtMs } - nowMs },
            runsByAdapter = emptyMap(),
            inFlight = engine.runsNow.size,
            pendingPromptTokens = 0,
            kvTokens = 0,
        )
    }

    private fun send(planned: PlannedOrder, engines: List<ReplayedEngine>, nowMs: Long) {
        val tracker = planned.engine.tracker
        val order = planned.order
        if (order is EngineOrder.LoadModel && order.source == WeightSource.STORE) pacer.onLoadStarted(nowMs)
        val expected = tracker.onSent(order)
        val answer = engines.single { it.id == tracker.incarnation.id }.order(expected, order, nowMs)
        tracker.onAnswer(answer, nowMs, nowMs + planned.durationMs)
    }
}

/** Loads each wanted model at the next engine in turn and drops what was loaded longest ago, wherever copies lie. */
internal class LoadInTurn(private val pattern: LoadPattern) : ResidencyPolicy {
    private val oldestFirst = HashMap<String, ArrayList<String>>()
    private val intended = HashMap<String, String>()
    private var next = 0

    override fun order(
        engines: List<ReplayedEngine>,
        waiting: List<WaitingRequest>,
        arrived: List<String>,
        nowMs: Long,
    ) {
        val idle = engines.filter { !it.report(nowMs).busy }
        idle.forEach { engine -> intended[engine.id]?.let { goOn(engine, it, nowMs) } }
        waiting.map { it.model }.distinct().forEach { model ->
            if (engines.any { it.serves(model) } || model in intended.values) return@forEach
            val engine = engines[next++ % engines.size]
            if (engine in idle && engine.id !in intended) intended[engine.id] = model
        }
    }

    private fun goOn(engine: ReplayedEngine, model: String, nowMs: Long) {
        val report = engine.report(nowMs)
        val held = oldestFirst.getOrPut(engine.id) { ArrayList(report.models.keys) }
        held.retainAll(report.models.keys)
        report.models.keys.filter { it !in held }.forEach(held::add)
        if (model in report.models) {
            intended.remove(engine.id)
            return
        }
        val used = report.models.keys.sumOf { replayClass.models.getValue(it).weightsMb }
        val hasRoom = used + replayClass.models.getValue(model).weightsMb <= replayClass.weightMemoryMb
        val canLoad = !pattern.isStoreAway || model in report.onDisk
        when {
            !canLoad -> intended.remove(engine.id)
            hasRoom -> engine.order(report.orderCount, EngineOrder.LoadModel(model, WeightSource.STORE), nowMs)
            else -> engine.order(report.orderCount, EngineOrder.UnloadModel(held.first(), waitsForRuns = true), nowMs)
        }
    }
}
