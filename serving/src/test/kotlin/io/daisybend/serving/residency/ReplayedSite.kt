package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.EngineClass
import io.daisybend.serving.site.ModelSpec
import kotlin.math.pow
import kotlin.random.Random

/** A load pattern of a replay. */
internal data class LoadPattern(
    val name: String,
    /** Requests a second at a time of the replay, in milliseconds. */
    val ratePerSecond: (Long) -> Double = { 12.0 },
    /** How many places the models' ranks have moved at a time of the replay, in milliseconds. */
    val rankShift: (Long) -> Int = { 0 },
    /** Exponent of the models' popularity; a small one asks for rare models as well. */
    val skew: (Long) -> Double = { 1.1 },
    /** Engines that are lost at [engineLossAtMs]. */
    val enginesLost: Int = 0,
    val engineLossAtMs: Long = 8_000,
    /** Whether engines start without models, with copies on their disks only. */
    val startsCold: Boolean = false,
    val isStoreAway: Boolean = false,
)

/** What became of a replay's requests. */
internal data class ReplayResult(
    val asked: Int,
    val served: Int,
    val possible: Int,
    val storeLoads: Int,
    val overfilled: Boolean,
) {
    val servedShare get() = served.toDouble() / asked
    val possibleShare get() = possible.toDouble() / asked
}

internal class WaitingRequest(val model: String, val arrivedAtMs: Long, val runMs: Long)

/** Gives orders to the engines of a replay, once every step. */
internal fun interface ResidencyPolicy {
    fun order(engines: List<ReplayedEngine>, waiting: List<WaitingRequest>, arrived: List<String>, nowMs: Long)
}

internal val replayClass = EngineClass(
    slots = 64,
    kvCapacityTokens = 232_000,
    weightsMb = 200_000.0,
    adapterSlots = 8,
    hostMb = 130_000.0,
    diskMb = 760_000.0,
    loadsPerSecond = 1.6,
    models = (0 until 30).associate { index ->
        val isSmall = index % 3 == 0
        "m$index" to ModelSpec(
            name = "m$index",
            weightsMb = if (isSmall) 34_300.0 else 72_700.0,
            coldLoadMs = 6_000,
            diskLoadMs = if (isSmall) 520 else 1_200,
            memoryLoadMs = if (isSmall) 280 else 400,
            adapterMb = 40.0,
        )
    },
)

/** Plays [pattern] against a policy on six engines; the same [seed] asks for the same. */
internal class ReplayedSite(private val pattern: LoadPattern, seed: Int) {
    private val random = Random(seed)
    private val ranking = replayClass.models.keys.shuffled(random)
    private val engines = List(ENGINES) { index ->
        val own = ranking.filterIndexed { rank, _ -> rank % ENGINES == index || (rank + 1) % ENGINES == index }
        val held = if (pattern.startsCold) emptyList() else own.take(2)
        ReplayedEngine("e$index", replayClass, held, onDisk = own)
    }
    private val heldAtStart = engines.flatMapTo(HashSet()) { it.report(0).models.keys }
    private val firstAskedMs = HashMap<String, Long>()

    fun play(policy: ResidencyPolicy): ReplayResult {
        val waiting = ArrayList<WaitingRequest>()
        var alive = engines
        var asked = 0
        var served = 0
        var possible = 0
        for (nowMs in 0L until DURATION_MS step STEP_MS) {
            if (nowMs == pattern.engineLossAtMs) alive = engines.drop(pattern.enginesLost)
            alive.forEach { it.advance(nowMs) }
            val arrived = arrivals(nowMs)
            arrived.forEach { model ->
                asked++
                if (isPossible(model, alive, nowMs)) possible++
                waiting.add(WaitingRequest(model, nowMs, if (random.nextInt(3) == 0) LONG_RUN_MS else SHORT_RUN_MS))
            }
            val started = waiting.filter { request ->
                val engine = alive.filter { it.serves(request.model) }.minByOrNull { it.runsNow.size }
                engine?.run(request.model, nowMs, request.runMs)
                engine != null
            }
            served += started.size
            waiting.removeAll(started.toSet())
            waiting.removeAll { nowMs - it.arrivedAtMs >= PATIENCE_MS }
            policy.order(alive, waiting, arrived, nowMs)
        }
        return ReplayResult(asked, served, possible, engines.sumOf { it.storeLoads }, engines.any { it.overfilled })
    }

    private fun arrivals(nowMs: Long): List<String> {
        val expected = pattern.ratePerSecond(nowMs) * STEP_MS / 1_000
        val count = expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
        return List(count) {
            val weights = ranking.indices.map { (it + 1.0).pow(-pattern.skew(nowMs)) }
            var left = random.nextDouble() * weights.sum()
            val rank = weights.indexOfFirst { weight ->
                left -= weight
                left <= 0
            }.coerceAtLeast(0)
            ranking[(rank + pattern.rankShift(nowMs)) % ranking.size]
        }
    }

    /** Whether full knowledge could serve a request at [nowMs], if engines had room and took any number of orders. */
    private fun isPossible(model: String, alive: List<ReplayedEngine>, nowMs: Long): Boolean {
        val firstMs = firstAskedMs.getOrPut(model) { nowMs }
        val hasCopy = alive.any { model in it.report(nowMs).onDisk }
        if (hasCopy || (model in heldAtStart && alive.size == engines.size)) return true
        return !pattern.isStoreAway && nowMs + PATIENCE_MS >= firstMs + replayClass.models.getValue(model).coldLoadMs
    }

    companion object {
        const val ENGINES = 6
        const val STEP_MS = 20L
        const val DURATION_MS = 40_000L
        const val PATIENCE_MS = 1_400L
        const val SHORT_RUN_MS = 250L
        const val LONG_RUN_MS = 1_800L
    }
}

/** The planner and the accounts of the project, with reports that lag. */
internal class PlannedResidency(
    private val pattern: LoadPattern,
    settings: PlannerSettings = PlannerSettings(),
) : ResidencyPolicy {
    private val ledgers = HashMap<String, EngineLedger>()
    private val planner = ResidencyPlanner(replayClass, settings)
    private val history = UseHistory()
    private val pacer = LoadPacer(windowMs = 5_000)

    override fun order(
        engines: List<ReplayedEngine>,
        waiting: List<WaitingRequest>,
        arrived: List<String>,
        nowMs: Long,
    ) {
        arrived.groupingBy { it }.eachCount().forEach { (model, count) -> history.used(model, count, nowMs) }
        val planned = engines.map { plannedOf(it, nowMs) }
        val wants = waiting.groupBy { it.model }.map { (model, requests) ->
            Want(model, null, requests.size, urgency = 1, waitedMs = nowMs - requests.minOf { it.arrivedAtMs })
        }
        val storeLoads = if (pattern.isStoreAway) 0 else pacer.available(nowMs, replayClass.loadsPerSecond)
        planner.plan(planned, wants, history, storeLoads, fetchAhead = true, nowMs = nowMs).forEach {
            send(it, engines, nowMs)
        }
    }

    private fun plannedOf(engine: ReplayedEngine, nowMs: Long): PlannedEngine {
        val ledger = ledgers.getOrPut(engine.id) {
            EngineLedger(Incarnation(engine.id, 0), engine.report(nowMs), replayClass)
        }
        ledger.settle(nowMs)
        if (ledger.awaitsReport(nowMs)) ledger.onReport(engine.report(nowMs), nowMs)
        val runs = engine.runsNow.groupBy { it.model }
        return PlannedEngine(
            ledger = ledger,
            usable = true,
            runsByModel = runs.mapValues { it.value.size },
            runsEndInMs = runs.mapValues { (_, all) -> all.maxOf { it.endsAtMs } - nowMs },
            runsByAdapter = emptyMap(),
            inFlight = engine.runsNow.size,
            pendingPromptTokens = 0,
            kvTokens = 0,
        )
    }

    private fun send(planned: PlannedOrder, engines: List<ReplayedEngine>, nowMs: Long) {
        val ledger = planned.engine.ledger
        val order = planned.order
        if (order is EngineOrder.LoadModel && order.source == WeightSource.STORE) pacer.onBegun(nowMs)
        val expected = ledger.onSent(order)
        val answer = engines.single { it.id == ledger.incarnation.id }.order(expected, order, nowMs)
        ledger.onAnswer(answer, nowMs, nowMs + planned.durationMs)
    }
}

/** Loads each wanted model at the next engine in turn and drops what was loaded longest ago, wherever copies lie. */
internal class LoadInTurn(private val pattern: LoadPattern) : ResidencyPolicy {
    private val order = HashMap<String, ArrayList<String>>()
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
        val held = order.getOrPut(engine.id) { ArrayList(report.models.keys) }
        held.retainAll(report.models.keys)
        report.models.keys.filter { it !in held }.forEach(held::add)
        if (model in report.models) {
            intended.remove(engine.id)
            return
        }
        val used = report.models.keys.sumOf { replayClass.models.getValue(it).weightsMb }
        val hasRoom = used + replayClass.models.getValue(model).weightsMb <= replayClass.weightsMb
        val canLoad = !pattern.isStoreAway || model in report.onDisk
        when {
            !canLoad -> intended.remove(engine.id)
            hasRoom -> engine.order(report.orderCount, EngineOrder.LoadModel(model, WeightSource.STORE), nowMs)
            else -> engine.order(report.orderCount, EngineOrder.UnloadModel(held.first(), waitsForRuns = true), nowMs)
        }
    }
}
