/*
 * Plans the orders to engines. First come loads of models and adapters that requests wait for, by urgency and then by
 * the number and the waiting time of these requests. Second come further replicas of models whose engines are all
 * overloaded. Third, while no requests wait, come models without a copy on any engine's disk, so that the first request
 * for them finds a copy. Models are evicted by least cost: models with runs, recently used models and models without
 * another replica cost more. An engine that gets more requests than the limit that it named is relieved of its most
 * requested model, and it gets no further ones.
 *
 * Loads from the weight store beyond its allowance wait here, where they can still be ordered by urgency. No model is
 * evicted for them, and no engine is occupied, before they have their turn.
 */
package io.daisybend.serving.residency

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec

/** Requests that wait for a model or for one of its adapters; [urgency] 0 is the most urgent. */
public data class QueuedDemand(
    val model: String,
    val adapter: String?,
    val count: Int,
    val urgency: Int,
    val waitedMs: Long,
)

/** The state of an engine that the planner uses. */
public class EngineSnapshot(
    public val tracker: EngineTracker,
    public val isUsable: Boolean,
    /** Requests in flight by model, over all VMs. */
    public val runsByModel: Map<String, Int>,
    /** Expected time until the last run ends by model, over all VMs, in milliseconds. */
    public val runsEndInMs: Map<String, Long>,
    /** Requests in flight by adapter, over all VMs. */
    public val runsByAdapter: Map<AdapterKey, Int>,
    /** Requests in flight, over all VMs. */
    public val inFlight: Int,
    /** Prompt tokens of requests that have not received their first event, over all VMs. */
    public val pendingPromptTokens: Long,
    /** KV cache that requests in flight may occupy, over all VMs, in tokens. */
    public val kvTokens: Long,
    /** Requests a second that the engine takes, or null if it named no limit. */
    public val limitPerSecond: Double? = null,
    /** Whether the engine has got as many requests as its limit allows. */
    public val isAtLimit: Boolean = false,
    /** How much longer the engine stays cold, in milliseconds; 0 if it takes requests at its full rate. */
    public val coldLeftMs: Long = 0,
)

/** A planned order for one engine. */
public data class PlannedOrder(
    val engine: EngineSnapshot,
    val order: EngineOrder,
    val durationMs: Long,
    val reason: String,
)

/** Request rates and last uses of models and adapters, over all VMs. */
public class UsageHistory {
    private val lastUseMs = HashMap<String, Long>()
    private val rates = HashMap<String, Double>()
    private val rateAtMs = HashMap<String, Long>()

    /** Records [count] new requests for [key] at [nowMs]. */
    public fun recordUse(key: String, count: Int, nowMs: Long) {
        lastUseMs[key] = nowMs
        rates[key] = ratePerSecond(key, nowMs) + count / RATE_TIME_CONSTANT_S
        rateAtMs[key] = nowMs
    }

    /** Returns the requests per second for [key], as an exponentially decaying average at [nowMs]. */
    public fun ratePerSecond(key: String, nowMs: Long): Double {
        val at = rateAtMs[key] ?: return 0.0
        return (rates[key] ?: 0.0) * Math.exp(-(nowMs - at) / (RATE_TIME_CONSTANT_S * MILLIS_PER_SECOND))
    }

    /** Returns the time of the last request for [key], or 0 when there was none. */
    public fun lastUseMs(key: String): Long = lastUseMs[key] ?: 0L

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Time constant of the rate average, in seconds: the demand for busy models shifts within about 10 s. */
        const val RATE_TIME_CONSTANT_S = 6.0
    }
}

/** Thresholds and costs of the planner. */
public data class PlannerSettings(
    /** Predicted delay on a model's best engine above which another replica is loaded, in milliseconds. */
    val replicaDelayMs: Double = 350.0,
    /** Share of the KV cache in use above which an engine counts as overloaded. */
    val replicaKvShare: Double = 0.75,
    /** Prompt tokens that an engine processes per millisecond. */
    val prefillTokensPerMs: Double = 38.0,
    /** Cost of evicting a model without another replica, in milliseconds for each request per second. */
    val evictionCostMsPerRps: Double = 2_000.0,
    /** Added cost of a load from the store, in milliseconds: its engine accepts no other order meanwhile. */
    val storeLoadPenaltyMs: Double = 8_000.0,
    /** Share of the eviction cost by use that remains when another engine holds the model. */
    val replicatedCostShare: Double = 0.25,
    /** Maximum counted wait for runs to end, in milliseconds: a load from the store takes as long. */
    val maxRunWaitMs: Double = 6_000.0,
    /** Time counted for a pending load of an engine, in milliseconds: a load from disk. */
    val pendingLoadMs: Double = 1_000.0,
    /** Cost counted for each request in flight on the loading engine, in milliseconds. */
    val runInterferenceMs: Double = 6.0,
    /** Cost of a model that gets as many requests as the limit of its engine allows, in milliseconds. */
    val limitCostMs: Double = 4_000.0,
)

/** Plans orders for the engines of one service; stateless, except that it sets pending loads of the trackers. */
public class ResidencyPlanner(
    private val spec: EngineSpec,
    private val settings: PlannerSettings = PlannerSettings(),
) {
    /** Returns the orders to send at [nowMs], at most one per engine, with the loads that [storeLoads] allows. */
    public fun plan(
        engines: List<EngineSnapshot>,
        queued: List<QueuedDemand>,
        history: UsageHistory,
        storeLoads: StoreLoadAllowance,
        prefetch: Boolean,
        nowMs: Long,
    ): List<PlannedOrder> {
        val round = PlanningRound(engines, queued, history, storeLoads, nowMs)
        round.resumePendingLoads()
        inOrderOfNeed(queued).forEach { entry ->
            if (entry.adapter != null) round.planAdapter(entry.model, entry.adapter) else round.planModel(entry.model)
        }
        round.addReplicas()
        if (prefetch) round.prefetch()
        return round.orders
    }

    /** Returns [queued] by urgency, and then by the number of requests for a model and how long they have waited. */
    private fun inOrderOfNeed(queued: List<QueuedDemand>): List<QueuedDemand> {
        val totalWaitMs = queued.groupingBy { it.model to it.urgency }
            .fold(0L) { sum, entry -> sum + entry.count * entry.waitedMs }
        return queued.sortedWith(
            compareBy<QueuedDemand> { it.urgency }.thenByDescending { totalWaitMs.getValue(it.model to it.urgency) },
        )
    }

    private inner class PlanningRound(
        allEngines: List<EngineSnapshot>,
        private val queued: List<QueuedDemand>,
        private val history: UsageHistory,
        storeLoads: StoreLoadAllowance,
        private val nowMs: Long,
    ) {
        private val engines = allEngines.filter { it.isUsable }
        val orders = ArrayList<PlannedOrder>()
        private val orderedEngines = HashSet<EngineSnapshot>()
        private val plannedDelaysMs = HashMap<EngineSnapshot, Double>()
        private val plannedModels = HashSet<String>()
        private val loadsByEngine = HashMap<EngineSnapshot, String>()
        private val strained = HashMap<EngineSnapshot, Boolean>()
        private val queuedModels = queued.mapTo(HashSet()) { it.model }
        private val copies by lazy(LazyThreadSafetyMode.NONE) { CopyIndex(engines) }
        private val storeTurns: StoreTurns

        init {
            allEngines.forEach { dropStalePendingLoad(it.tracker, spec, nowMs) }
            storeTurns = StoreTurns(storeLoads, allEngines, nowMs)
        }

        /** Continues the pending loads of engines that accept orders again. */
        fun resumePendingLoads() {
            engines.forEach { engine ->
                val model = engine.tracker.pendingModel?.let { spec.models[it] } ?: return@forEach
                val isHeldElsewhere = engines.any { it !== engine && serves(it, model.name) }
                if (isHeldElsewhere && model.name in queuedModels) {
                    engine.tracker.pendingLoad = null
                } else if (engine.tracker.acceptsOrders(nowMs)) {
                    loadOn(engine, model, "goes on")
                }
            }
        }

        fun planModel(model: String) {
            val spec = spec.models[model] ?: return
            if (model in plannedModels || engines.any { serves(it, model) }) return
            if (!copies.hasCopy(model) && !storeTurns.isAvailable) return
            if (engines.any { it.tracker.willHold(model) }) {
                loadOnBestEngine(spec, "its engines are at their limits", onlyCheapVictims = true)
            } else {
                loadOnBestEngine(spec, "requests wait for the model")
            }
        }

        fun planAdapter(model: String, adapter: String) {
            val holders = engines.filter { model in it.tracker.holdings.models && serves(it, model) }
            if (holders.isEmpty()) return planModel(model)
            val key = AdapterKey(model, adapter)
            if (holders.any { key in it.tracker.heldOrLoadingAdapters() && it.tracker.unloadingModel != model }) return
            loadAdapter(holders, key, "requests wait for the adapter")
        }

        private fun loadAdapter(holders: List<EngineSnapshot>, key: AdapterKey, reason: String) {
            val ready = holders.filter { it !in orderedEngines && it.tracker.acceptsOrders(nowMs) }
            val byId = ready.associateBy { it.tracker.incarnation.id }
            val ranked = rankByRendezvous("${key.model}/${key.adapter}", byId.keys).mapNotNull { byId[it] }
            val leastDelayMs = ranked.minOfOrNull { it.delayMs() + it.coldLeftMs } ?: return
            val engine =
                ranked.first { it.delayMs() + it.coldLeftMs <= leastDelayMs + settings.replicaDelayMs / 2 }
            val slotsUsed = engine.tracker.reservedAdapters().size
            if (slotsUsed < spec.adapterSlots && freeMb(engine) >= adapterMb(key)) {
                addOrder(engine, EngineOrder.LoadAdapter(key.model, key.adapter), ADAPTER_LOAD_MS, reason)
                return
            }
            val victim = engine.tracker.holdings.models.values
                .flatMap { held -> held.adapters.map { AdapterKey(held.name, it) } }
                .filter { (engine.runsByAdapter[it] ?: 0) == 0 }
                .minByOrNull { history.lastUseMs(it.historyKey()) } ?: return
            addOrder(
                engine,
                EngineOrder.UnloadAdapter(victim.model, victim.adapter),
                ADAPTER_LOAD_MS,
                "makes way for an adapter",
            )
        }

        fun addReplicas() {
            spec.models.values.forEach { model ->
                val holders = engines.filter { model.name in it.tracker.holdings.models }
                if (holders.isEmpty() || history.ratePerSecond(model.name, nowMs) < MIN_RATE_FOR_REPLICA) return@forEach
                if (model.name in plannedModels || !holders.all { it.isOverloaded() }) return@forEach
                val isLoadingElsewhere = engines.any { it !in holders && it.tracker.willHold(model.name) }
                if (isLoadingElsewhere) return@forEach
                val leastDelayMs = holders.minOf { it.delayMs() }
                loadOnBestEngine(model, "all replicas are overloaded", onlyFromCopy = true, maxDelayMs = leastDelayMs)
            }
        }

        fun prefetch() {
            if (queued.isNotEmpty()) return
            // While requests come, one load remains free for a model that they need.
            val spareLoads = if (engines.any { it.inFlight > 0 }) 1 else 0
            if (storeTurns.free <= spareLoads) return
            val modelsWithCopy = engines.flatMapTo(HashSet()) {
                it.tracker.holdings.onDisk + it.tracker.reservedModels() + setOfNotNull(it.tracker.pendingModel)
            }
            val missing = spec.models.values
                .firstOrNull { it.name !in modelsWithCopy && it.name !in plannedModels } ?: return
            loadOnBestEngine(missing, "fetched ahead: no engine has a copy", onlyCheapVictims = true)
        }

        private fun loadOnBestEngine(
            model: ModelSpec,
            reason: String,
            onlyFromCopy: Boolean = false,
            onlyCheapVictims: Boolean = false,
            maxDelayMs: Double = Double.MAX_VALUE,
        ) {
            val best = engines
                .filter { !it.tracker.willHold(model.name) && !it.isStrained() }
                .filter { it.delayMs() <= maxDelayMs }
                .mapNotNull { loadOptionFor(it, model, onlyCheapVictims) }
                .filter { !onlyFromCopy || it.source != WeightSource.STORE }
                .filter { it.source != WeightSource.STORE || storeTurns.isAvailable }
                .minByOrNull { it.costMs } ?: return
            val tracker = best.engine.tracker
            val isReady = best.isPossibleNow && tracker.pendingModel == null && tracker.acceptsOrders(nowMs)
            if (best.engine in orderedEngines || !isReady) {
                // The best engine is busy with another order; a load on another engine now would end later.
                plannedDelaysMs.merge(best.engine, best.costMs, Double::plus)
                return
            }
            loadOn(best.engine, model, reason)
        }

        private fun loadOn(engine: EngineSnapshot, model: ModelSpec, reason: String) {
            val option = loadOptionFor(engine, model, onlyCheapVictims = false)?.takeIf { it.isPossibleNow } ?: return
            val victim = option.victims.firstOrNull()
            if (victim != null) {
                val pending = engine.tracker.pendingLoad?.takeIf { it.model == model.name }
                val waitMs = option.victims.maxOf { remainingRunMs(engine, it) }.toLong()
                val unloadsMs = option.victims.size * EngineTracker.UNLOAD_MS
                val readyAtMs = nowMs + waitMs + unloadsMs + loadMs(engine, model, option.source)
                if (option.source == WeightSource.STORE) storeTurns.take(engine)
                engine.tracker.pendingLoad = pending ?: PendingLoad(model.name, readyAtMs)
                val hasRuns = (engine.runsByModel[victim] ?: 0) > 0
                addOrder(
                    engine,
                    EngineOrder.UnloadModel(victim, hasRuns),
                    EngineTracker.UNLOAD_MS,
                    "makes way for ${model.name}: $reason",
                )
                return
            }
            if (option.source == WeightSource.STORE && !storeTurns.maySend) return
            val loadMs = loadMs(engine, model, option.source)
            if (option.source == WeightSource.STORE) storeTurns.take(engine)
            addOrder(engine, EngineOrder.LoadModel(model.name, option.source), loadMs, reason)
        }

        private fun loadOptionFor(engine: EngineSnapshot, model: ModelSpec, onlyCheapVictims: Boolean): LoadOption? {
            val source = engine.tracker.holdings.sourceOf(model.name)
            val victims = ArrayList<String>()
            var victimsCostMs = 0.0
            var availableMb = freeMb(engine, excluding = model.name)
            val candidates = (engine.tracker.holdings.models.keys + listOfNotNull(loadingModelOf(engine)))
                .filter { it != model.name }
                .map { it to evictionCostMs(engine, it, source) + minStayLeftMs(engine, it) }
                .sortedBy { it.second }
                .toMutableList()
            while (availableMb < model.weightsMb) {
                val (name, cost) = candidates.removeFirstOrNull() ?: return null
                if (onlyCheapVictims && cost > MAX_PREFETCH_EVICTION_COST_MS) return null
                victims.add(name)
                victimsCostMs += cost
                availableMb += reservedMbOf(engine, name)
            }
            val interferenceMs = engine.inFlight * settings.runInterferenceMs
            val pendingMs = if (engine.tracker.pendingModel != null) settings.pendingLoadMs else 0.0
            val waitMs = engine.tracker.busyForMs(nowMs) + pendingMs + (plannedDelaysMs[engine] ?: 0.0)
            val limitMs = engine.limitPerSecond?.let { limit ->
                settings.limitCostMs * rateOf(model.name) / limit.coerceAtLeast(MIN_LIMIT_PER_SECOND)
            } ?: 0.0
            val storePenaltyMs = if (source == WeightSource.STORE) settings.storeLoadPenaltyMs else 0.0
            return LoadOption(
                engine = engine,
                source = source,
                victims = victims,
                costMs =
                loadMs(engine, model, source) + victimsCostMs + interferenceMs + waitMs + limitMs + storePenaltyMs +
                    engine.coldLeftMs,
                isPossibleNow = victims.all { minStayLeftMs(engine, it) == 0L },
            )
        }

        /** Returns the model that [engine] loads or is ordered to load. */
        private fun loadingModelOf(engine: EngineSnapshot): String? =
            engine.tracker.loadingModel ?: loadsByEngine[engine]

        /** Returns the time before [model] may be evicted: after its load, and while requests wait for it. */
        private fun minStayLeftMs(engine: EngineSnapshot, model: String): Long {
            if (model == loadingModelOf(engine) || model in queuedModels) return MIN_STAY_MS
            return engine.tracker.heldForMs(model, nowMs)?.let { (MIN_STAY_MS - it).coerceAtLeast(0) } ?: 0
        }

        private fun remainingRunMs(engine: EngineSnapshot, model: String): Double {
            if ((engine.runsByModel[model] ?: 0) == 0) return 0.0
            return (engine.runsEndInMs[model] ?: 0).coerceAtLeast(MIN_RUN_LEFT_MS).toDouble()
        }

        private fun evictionCostMs(engine: EngineSnapshot, model: String, source: WeightSource): Double {
            val isHeldElsewhere =
                engines.any { it !== engine && !it.isStrained() && model in it.tracker.holdings.models }
            val share = if (isHeldElsewhere) settings.replicatedCostShare else 1.0
            val recentMs = (RECENT_USE_MS - (nowMs - history.lastUseMs(model))).coerceAtLeast(0)
            val soleHolderMs = if (isHeldElsewhere) 0.0 else SOLE_HOLDER_COST_MS
            val unreachableMs =
                if (source == WeightSource.STORE && !copies.hasOtherCopy(engine, model)) storeLoadRiskMs(model) else 0.0
            return remainingRunMs(engine, model).coerceAtMost(settings.maxRunWaitMs) +
                soleHolderMs +
                unreachableMs +
                share *
                (history.ratePerSecond(model, nowMs) * settings.evictionCostMsPerRps + recentMs * RECENT_USE_WEIGHT)
        }

        /**
         * Returns the cost of a load of [model] from the store, weighted with the chance that it is requested while its
         * only copy is on an engine that loads from the store and takes no other order.
         */
        private fun storeLoadRiskMs(model: String): Double {
            val coldLoadMs = spec.models[model]?.coldLoadMs ?: return 0.0
            val requestsExpected = rateOf(model) * coldLoadMs / MILLIS_PER_SECOND
            return requestsExpected.coerceAtMost(1.0) * (coldLoadMs + settings.storeLoadPenaltyMs)
        }

        private fun loadMs(engine: EngineSnapshot, model: ModelSpec, source: WeightSource): Long = when (source) {
            WeightSource.MEMORY -> model.memoryLoadMs
            WeightSource.DISK -> model.diskLoadMs
            WeightSource.STORE -> storeTurns.expectedLoadMs(engine, model.coldLoadMs)
        }

        private fun EngineSnapshot.delayMs() = pendingPromptTokens / settings.prefillTokensPerMs + inFlight

        /**
         * Whether [engine] holds or will hold [model] and serves its requests. A strained engine does so for all but
         * its most requested model, since another engine for that one relieves it.
         */
        private fun serves(engine: EngineSnapshot, model: String) = engine.tracker.willHold(model) &&
            (!engine.isStrained() || engine.tracker.holdings.models.keys.maxByOrNull(::rateOf) != model)

        /** Whether the models of the engine get more requests than it takes. */
        private fun EngineSnapshot.isStrained(): Boolean {
            val limit = limitPerSecond ?: return false
            return strained.getOrPut(this) {
                isAtLimit ||
                    tracker.holdings.models.keys.sumOf { model ->
                        rateOf(model) / engines.count { model in it.tracker.holdings.models }.coerceAtLeast(1)
                    } > limit
            }
        }

        private fun rateOf(model: String) = history.ratePerSecond(model, nowMs)

        private fun EngineSnapshot.isOverloaded() = delayMs() > settings.replicaDelayMs ||
            kvTokens > spec.kvCapacityTokens * settings.replicaKvShare ||
            inFlight >= spec.slots

        private fun freeMb(engine: EngineSnapshot, excluding: String? = null): Double {
            val reserved = engine.tracker.reservedModels() - setOfNotNull(excluding)
            val models = reserved.sumOf { spec.models[it]?.weightsMb ?: spec.weightMemoryMb }
            val adapters = engine.tracker.reservedAdapters().sumOf { adapterMb(it) }
            return spec.weightMemoryMb - models - adapters
        }

        private fun reservedMbOf(engine: EngineSnapshot, model: String): Double =
            (spec.models[model]?.weightsMb ?: 0.0) +
                engine.tracker.reservedAdapters().filter { it.model == model }.sumOf { adapterMb(it) }

        private fun adapterMb(key: AdapterKey) = spec.models[key.model]?.adapterMb ?: 0.0

        private fun addOrder(engine: EngineSnapshot, order: EngineOrder, durationMs: Long, reason: String) {
            orderedEngines.add(engine)
            if (order is EngineOrder.LoadModel) loadsByEngine[engine] = order.model
            plannedModels.add(engine.tracker.pendingModel ?: order.model)
            orders.add(PlannedOrder(engine, order, durationMs, reason))
        }
    }

    private class LoadOption(
        val engine: EngineSnapshot,
        val source: WeightSource,
        val victims: List<String>,
        val costMs: Double,
        val isPossibleNow: Boolean,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Time to load an adapter, in milliseconds. */
        const val ADAPTER_LOAD_MS = 10L

        /** Least assumed remaining time of a run, in milliseconds: one event and its network delay. */
        const val MIN_RUN_LEFT_MS = 50L

        /** Requests per second below which a model gets no further replica. */
        const val MIN_RATE_FOR_REPLICA = 0.5

        /** A lower limit costs no more, in requests a second: the engine then serves next to nothing. */
        const val MIN_LIMIT_PER_SECOND = 0.1

        /** Least time that a model stays after its load, in milliseconds: enough to start the waiting requests. */
        const val MIN_STAY_MS = 700L

        /** Time during which a use adds to the cost of an eviction, in milliseconds. */
        const val RECENT_USE_MS = 2_000L

        /** Eviction cost for each millisecond by which a use is more recent. */
        const val RECENT_USE_WEIGHT = 0.2

        /** Eviction cost of a model that no other engine holds, in milliseconds, also while nobody requests it. */
        const val SOLE_HOLDER_COST_MS = 100.0

        /** Maximum eviction cost of a model for a prefetch, in milliseconds. */
        const val MAX_PREFETCH_EVICTION_COST_MS = 250.0
    }
}

/** Drops a pending load that is stuck, since it keeps its model from being loaded elsewhere. */
private fun dropStalePendingLoad(tracker: EngineTracker, spec: EngineSpec, nowMs: Long) {
    val load = tracker.pendingLoad ?: return
    if (load.model !in spec.models || load.isOverdue(nowMs)) tracker.pendingLoad = null
}

/** Returns the key of the adapter in a [UsageHistory]. */
public fun AdapterKey.historyKey(): String = "$model/$adapter"
