/*
 * Decides which orders engines get. Requests that wait for a model or an adapter come first, urgent and long waiting
 * ones before others; then models that are overloaded where they are; then, while nothing waits, models that lie on no
 * engine's disk are fetched once, so that the first request for them finds a copy at hand. Weights make way by worth:
 * models in use stay, then those asked for last and those without another replica.
 */
package io.daisybend.serving.residency

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.useKey
import io.daisybend.serving.site.EngineClass
import io.daisybend.serving.site.ModelSpec

/** Plans orders for the engines of one service; holds no state. */
public class ResidencyPlanner(
    private val spec: EngineClass,
    private val settings: PlannerSettings = PlannerSettings(),
) {
    /** Returns the orders to send at [nowMs], at most one an engine; [storeLoads] may begin from the store. */
    public fun plan(
        engines: List<PlannedEngine>,
        wants: List<Want>,
        history: UseHistory,
        storeLoads: Int,
        fetchAhead: Boolean,
        nowMs: Long,
    ): List<PlannedOrder> {
        val round = Round(engines.filter { it.usable }, wants, history, storeLoads, nowMs)
        round.goOn()
        wants.sortedWith(compareBy<Want> { it.urgency }.thenByDescending { it.waitedMs }).forEach { want ->
            if (want.adapter != null) round.serveAdapter(want.model, want.adapter) else round.serveModel(want.model)
        }
        round.relieveOverloaded()
        if (fetchAhead) round.fetchAhead()
        return round.orders
    }

    private inner class Round(
        private val engines: List<PlannedEngine>,
        private val wants: List<Want>,
        private val history: UseHistory,
        private var storeLoads: Int,
        private val nowMs: Long,
    ) {
        val orders = ArrayList<PlannedOrder>()
        private val taken = HashSet<PlannedEngine>()
        private val planned = HashMap<PlannedEngine, Double>()
        private val plannedModels = HashSet<String>()
        private val loads = HashMap<PlannedEngine, String>()
        private val wantedModels = wants.mapTo(HashSet()) { it.model }

        /** Loads what weights have made way for. */
        fun goOn() {
            engines.forEach { engine ->
                val model = engine.ledger.intendedLoad?.let { spec.models[it] } ?: return@forEach
                val isHeld = engines.any { it !== engine && it.ledger.willHold(model.name) }
                if (isHeld && model.name in wantedModels) {
                    engine.ledger.intended = null
                } else if (engine.ledger.acceptsOrders(nowMs)) {
                    loadAt(engine, model, "goes on")
                }
            }
        }

        fun serveModel(model: String) {
            val spec = spec.models[model] ?: return
            if (model in plannedModels || engines.any { it.ledger.willHold(model) }) return
            loadSomewhere(spec, "requests wait for the model")
        }

        fun serveAdapter(model: String, adapter: String) {
            val holders = engines.filter { model in it.ledger.holdings.models }
            if (holders.isEmpty()) return serveModel(model)
            val key = AdapterKey(model, adapter)
            if (holders.any { key in it.ledger.certainAdapters() && it.ledger.unloading != model }) return
            loadAdapter(holders, key, "requests wait for the adapter")
        }

        private fun loadAdapter(holders: List<PlannedEngine>, key: AdapterKey, reason: String) {
            val ready = holders.filter { it !in taken && it.ledger.acceptsOrders(nowMs) }
            val byId = ready.associateBy { it.ledger.incarnation.id }
            val ranked = rankByRendezvous("${key.model}/${key.adapter}", byId.keys).mapNotNull { byId[it] }
            val lightest = ranked.minOfOrNull { it.delayMs() } ?: return
            val engine = ranked.first { it.delayMs() <= lightest + settings.replicaDelayMs / 2 }
            val slotsUsed = engine.ledger.countedAdapters().size
            if (slotsUsed < spec.adapterSlots && freeMb(engine) >= adapterMb(key)) {
                add(engine, EngineOrder.LoadAdapter(key.model, key.adapter), ADAPTER_LOAD_MS, reason)
                return
            }
            val victim = engine.ledger.holdings.models.values
                .flatMap { held -> held.adapters.map { AdapterKey(held.name, it) } }
                .filter { (engine.runsByAdapter[it] ?: 0) == 0 }
                .minByOrNull { history.lastUseMs(it.useKey()) } ?: return
            add(
                engine,
                EngineOrder.UnloadAdapter(victim.model, victim.adapter),
                ADAPTER_LOAD_MS,
                "makes way for an adapter",
            )
        }

        fun relieveOverloaded() {
            spec.models.values.forEach { model ->
                val holders = engines.filter { model.name in it.ledger.holdings.models }
                if (holders.isEmpty() || history.ratePerSecond(model.name, nowMs) < MIN_RATE_FOR_REPLICA) return@forEach
                if (model.name in plannedModels || !holders.all { it.isOverloaded() }) return@forEach
                val isComing = engines.any { it !in holders && it.ledger.willHold(model.name) }
                if (isComing) return@forEach
                val lightestMs = holders.minOf { it.delayMs() }
                loadSomewhere(model, "all replicas are overloaded", onlyAtHand = true, lighterThan = lightestMs)
            }
        }

        fun fetchAhead() {
            if (wants.isNotEmpty()) return
            val running = engines.count { it.ledger.runningLoad != null || it.ledger.intendedLoad != null }
            if (running >= settings.fullSpeedStoreLoads) return
            val atHand = engines.flatMapTo(HashSet()) {
                it.ledger.holdings.onDisk + it.ledger.countedModels() + setOfNotNull(it.ledger.intendedLoad)
            }
            val missing = spec.models.values.firstOrNull { it.name !in atHand && it.name !in plannedModels } ?: return
            loadSomewhere(missing, "fetched ahead: no engine has a copy", spareOnly = true)
        }

        private fun loadSomewhere(
            model: ModelSpec,
            reason: String,
            onlyAtHand: Boolean = false,
            spareOnly: Boolean = false,
            lighterThan: Double = Double.MAX_VALUE,
        ) {
            val best = engines
                .filter { !it.ledger.willHold(model.name) }
                .filter { it.delayMs() <= lighterThan }
                .mapNotNull { offerOf(it, model, spareOnly) }
                .filter { !onlyAtHand || it.source != WeightSource.STORE }
                .filter { it.source != WeightSource.STORE || storeLoads > 0 }
                .minByOrNull { it.costMs } ?: return
            val ledger = best.engine.ledger
            val isReady = best.isPossibleNow && ledger.intendedLoad == null && ledger.acceptsOrders(nowMs)
            if (best.engine in taken || !isReady) {
                // The best engine ends another order first; a worse one now would be later.
                planned.merge(best.engine, best.costMs, Double::plus)
                return
            }
            loadAt(best.engine, model, reason)
        }

        private fun loadAt(engine: PlannedEngine, model: ModelSpec, reason: String) {
            val offer = offerOf(engine, model, spareOnly = false)?.takeIf { it.isPossibleNow } ?: return
            val victim = offer.victims.firstOrNull()
            if (victim != null) {
                val waitMs = offer.victims.maxOf { runsLeftMs(engine, it) }.toLong()
                val unloadsMs = offer.victims.size * EngineLedger.UNLOAD_MS
                engine.ledger.intended =
                    IntendedLoad(model.name, nowMs + waitMs + unloadsMs + loadMs(model, offer.source))
                val hasRuns = (engine.runsByModel[victim] ?: 0) > 0
                add(
                    engine,
                    EngineOrder.UnloadModel(victim, hasRuns),
                    EngineLedger.UNLOAD_MS,
                    "makes way for ${model.name}: $reason",
                )
                return
            }
            if (offer.source == WeightSource.STORE) {
                if (storeLoads <= 0) return
                storeLoads--
            }
            add(engine, EngineOrder.LoadModel(model.name, offer.source), loadMs(model, offer.source), reason)
        }

        private fun offerOf(engine: PlannedEngine, model: ModelSpec, spareOnly: Boolean): Offer? {
            val source = engine.sourceOf(model.name)
            val victims = ArrayList<String>()
            var loss = 0.0
            var free = freeMb(engine, besides = model.name)
            val candidates = (engine.ledger.holdings.models.keys + listOfNotNull(arrivingAt(engine)))
                .filter { it != model.name }
                .map { it to lossOf(engine, it) + stayLeftMs(engine, it) }
                .sortedBy { it.second }
                .toMutableList()
            while (free < model.weightsMb) {
                val (name, cost) = candidates.removeFirstOrNull() ?: return null
                if (spareOnly && cost > SPARE_LOSS_MS) return null
                victims.add(name)
                loss += cost
                free += weightsOf(engine, name)
            }
            val disturbance = engine.inFlight * settings.runDisturbanceMs
            val intendedMs = if (engine.ledger.intendedLoad != null) settings.intendedLoadMs else 0.0
            val waitMs = engine.ledger.busyForMs(nowMs) + intendedMs + (planned[engine] ?: 0.0)
            val blockedMs = if (source == WeightSource.STORE) settings.storeLoadLossMs else 0.0
            return Offer(
                engine = engine,
                source = source,
                victims = victims,
                costMs = loadMs(model, source) + loss + disturbance + waitMs + blockedMs,
                isPossibleNow = victims.all { stayLeftMs(engine, it) == 0L },
            )
        }

        /** The model that [engine] loads or is ordered to load. */
        private fun arrivingAt(engine: PlannedEngine): String? = engine.ledger.loadingModel ?: loads[engine]

        /** How long [model] must still stay on [engine]: after its load, and while requests wait for it. */
        private fun stayLeftMs(engine: PlannedEngine, model: String): Long {
            if (model == arrivingAt(engine) || model in wantedModels) return MIN_STAY_MS
            return engine.ledger.heldForMs(model, nowMs)?.let { (MIN_STAY_MS - it).coerceAtLeast(0) } ?: 0
        }

        private fun runsLeftMs(engine: PlannedEngine, model: String): Double {
            if ((engine.runsByModel[model] ?: 0) == 0) return 0.0
            return (engine.runsEndInMs[model] ?: 0).coerceAtLeast(MIN_RUN_LEFT_MS).toDouble()
        }

        private fun lossOf(engine: PlannedEngine, model: String): Double {
            val elsewhere = engines.any { it !== engine && model in it.ledger.holdings.models }
            val share = if (elsewhere) settings.otherReplicaShare else 1.0
            val recentMs = (RECENT_USE_MS - (nowMs - history.lastUseMs(model))).coerceAtLeast(0)
            return runsLeftMs(engine, model).coerceAtMost(settings.longestRunEndMs) +
                share *
                (history.ratePerSecond(model, nowMs) * settings.evictionMsPerRate + recentMs * RECENT_USE_WEIGHT)
        }

        private fun PlannedEngine.sourceOf(model: String): WeightSource = when (model) {
            in ledger.holdings.inMemory -> WeightSource.MEMORY
            in ledger.holdings.onDisk -> WeightSource.DISK
            else -> WeightSource.STORE
        }

        private fun loadMs(model: ModelSpec, source: WeightSource): Long = when (source) {
            WeightSource.MEMORY -> model.memoryLoadMs
            WeightSource.DISK -> model.diskLoadMs
            WeightSource.STORE -> {
                val running = engines.count { it.ledger.runningLoad != null } + 1
                model.coldLoadMs * maxOf(1, running / settings.fullSpeedStoreLoads)
            }
        }

        private fun PlannedEngine.delayMs() = pendingPromptTokens / settings.prefillTokensPerMs + inFlight

        private fun PlannedEngine.isOverloaded() = delayMs() > settings.replicaDelayMs ||
            kvTokens > spec.kvCapacityTokens * settings.replicaKvShare ||
            inFlight >= spec.slots

        private fun freeMb(engine: PlannedEngine, besides: String? = null): Double {
            val counted = engine.ledger.countedModels() - setOfNotNull(besides)
            val models = counted.sumOf { spec.models[it]?.weightsMb ?: spec.weightsMb }
            val adapters = engine.ledger.countedAdapters().sumOf { adapterMb(it) }
            return spec.weightsMb - models - adapters
        }

        private fun weightsOf(engine: PlannedEngine, model: String): Double =
            (spec.models[model]?.weightsMb ?: 0.0) +
                engine.ledger.countedAdapters().filter { it.model == model }.sumOf { adapterMb(it) }

        private fun adapterMb(key: AdapterKey) = spec.models[key.model]?.adapterMb ?: 0.0

        private fun add(engine: PlannedEngine, order: EngineOrder, durationMs: Long, reason: String) {
            taken.add(engine)
            if (order is EngineOrder.LoadModel) loads[engine] = order.model
            plannedModels.add(engine.ledger.intendedLoad ?: order.model)
            orders.add(PlannedOrder(engine, order, durationMs, reason))
        }
    }

    private class Offer(
        val engine: PlannedEngine,
        val source: WeightSource,
        val victims: List<String>,
        val costMs: Double,
        val isPossibleNow: Boolean,
    )

    private companion object {
        /** Time that an adapter takes to load, in milliseconds. */
        const val ADAPTER_LOAD_MS = 10L

        /** The least time that a run under way is taken to last, in milliseconds: an event and its way. */
        const val MIN_RUN_LEFT_MS = 50L

        /** Requests a second below which a model needs no second replica. */
        const val MIN_RATE_FOR_REPLICA = 0.5

        /** How long a model stays after its load, in milliseconds: the requests that waited are under way then. */
        const val MIN_STAY_MS = 700L

        /** How long a use keeps weights from being evicted lightly, in milliseconds. */
        const val RECENT_USE_MS = 2_000L

        /** Loss for each millisecond by which a use is more recent. */
        const val RECENT_USE_WEIGHT = 0.2

        /** The largest loss at which weights make way for a load ahead of demand, in milliseconds. */
        const val SPARE_LOSS_MS = 250.0
    }
}
