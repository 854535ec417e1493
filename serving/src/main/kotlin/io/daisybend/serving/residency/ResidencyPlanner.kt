/*
 * Decides which orders engines get. Requests that wait for a model or an adapter come first, urgent and long waiting
 * ones before others; then models that are overloaded where they are; then, while nothing waits, models that lie on no
 * engine's disk are fetched once, so that the first request for them finds a copy at hand. Weights make way by worth:
 * models in use stay, then those asked for last and those without another replica.
 */
package io.daisybend.serving.residency

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec

/** Requests that wait for a model, or for an adapter of it; [urgency] is 0 for the most urgent. */
public data class QueuedDemand(
    val model: String,
    val adapter: String?,
    val count: Int,
    val urgency: Int,
    val waitedMs: Long,
)

/** An engine as the planner sees it. */
public class EngineSnapshot(
    public val tracker: EngineTracker,
    public val isUsable: Boolean,
    /** Requests under way for each model, over all VMs. */
    public val runsByModel: Map<String, Int>,
    /** In how many milliseconds the last run of each model should end, over all VMs. */
    public val runsEndInMs: Map<String, Long>,
    /** Requests under way for each adapter, over all VMs. */
    public val runsByAdapter: Map<AdapterKey, Int>,
    /** Requests under way, over all VMs. */
    public val inFlight: Int,
    /** Prompt tokens that wait to be read, over all VMs. */
    public val pendingPromptTokens: Long,
    /** Memory that requests under way may take, in tokens. */
    public val kvTokens: Long,
)

/** An order for one engine. */
public data class PlannedOrder(
    val engine: EngineSnapshot,
    val order: EngineOrder,
    val durationMs: Long,
    val reason: String,
)

/** When models and adapters were last asked for, over all VMs; milliseconds of the planner's clock. */
public class UsageHistory {
    private val lastUseMs = HashMap<String, Long>()
    private val rate = HashMap<String, Double>()
    private val rateAtMs = HashMap<String, Long>()

    /** Notes [count] new requests for [key] at [nowMs]. */
    public fun recordUse(key: String, count: Int, nowMs: Long) {
        lastUseMs[key] = nowMs
        rate[key] = ratePerSecond(key, nowMs) + count / RATE_MEMORY_S
        rateAtMs[key] = nowMs
    }

    /** Returns requests a second for [key], averaged over the last seconds before [nowMs]. */
    public fun ratePerSecond(key: String, nowMs: Long): Double {
        val at = rateAtMs[key] ?: return 0.0
        return (rate[key] ?: 0.0) * Math.exp(-(nowMs - at) / (RATE_MEMORY_S * MILLIS_PER_SECOND))
    }

    /** Returns when [key] was last asked for, or 0. */
    public fun lastUseMs(key: String): Long = lastUseMs[key] ?: 0L

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Over how many seconds rates are averaged: the demand for busy models moves within about ten. */
        const val RATE_MEMORY_S = 6.0
    }
}

/** Weights of the planner's decisions. */
public data class PlannerSettings(
    /** Delay of a model's best engine above which another replica is loaded, in milliseconds of prefill. */
    val replicaDelayMs: Double = 350.0,
    /** Share of an engine's memory claimed above which another replica is loaded. */
    val replicaKvShare: Double = 0.75,
    /** Prompt tokens that an engine reads in a millisecond. */
    val prefillTokensPerMs: Double = 38.0,
    /** Loss from evicting a model with one request a second and no other replica, in milliseconds of loading. */
    val evictionCostMsPerRps: Double = 2_000.0,
    /** Loss from a load from the store beside its time, in milliseconds: its engine takes no other order meanwhile. */
    val storeLoadPenaltyMs: Double = 8_000.0,
    /** Part of that loss when another engine holds the model. */
    val replicatedCostShare: Double = 0.25,
    /** The longest wait for runs to end that still counts, in milliseconds: a load from the store is no better. */
    val maxRunWaitMs: Double = 6_000.0,
    /** Time that an engine needs for a load which it has yet to begin, in milliseconds: a load from a disk. */
    val pendingLoadMs: Double = 1_000.0,
    /** Wait counted for each request under way on the engine that loads, in milliseconds. */
    val runInterferenceMs: Double = 6.0,
    /** How many store loads run at full speed; more at once slow each other down. */
    val maxFullSpeedStoreLoads: Int = 4,
)

/** Plans orders for the engines of one service; holds no state. */
public class ResidencyPlanner(
    private val spec: EngineSpec,
    private val settings: PlannerSettings = PlannerSettings(),
) {
    /** Returns the orders to send at [nowMs], at most one an engine; [storeLoads] may begin from the store. */
    public fun plan(
        engines: List<EngineSnapshot>,
        wants: List<QueuedDemand>,
        history: UsageHistory,
        storeLoads: Int,
        prefetch: Boolean,
        nowMs: Long,
    ): List<PlannedOrder> {
        val round = Round(engines.filter { it.isUsable }, wants, history, storeLoads, nowMs)
        round.goOn()
        wants.sortedWith(compareBy<QueuedDemand> { it.urgency }.thenByDescending { it.waitedMs }).forEach { want ->
            if (want.adapter != null) round.serveAdapter(want.model, want.adapter) else round.serveModel(want.model)
        }
        round.relieveOverloaded()
        if (prefetch) round.prefetch()
        return round.orders
    }

    private inner class Round(
        private val engines: List<EngineSnapshot>,
        private val wants: List<QueuedDemand>,
        private val history: UsageHistory,
        private var storeLoads: Int,
        private val nowMs: Long,
    ) {
        val orders = ArrayList<PlannedOrder>()
        private val taken = HashSet<EngineSnapshot>()
        private val planned = HashMap<EngineSnapshot, Double>()
        private val plannedModels = HashSet<String>()
        private val loads = HashMap<EngineSnapshot, String>()
        private val wantedModels = wants.mapTo(HashSet()) { it.model }

        /** Loads what weights have made way for. */
        fun goOn() {
            engines.forEach { engine ->
                val model = engine.tracker.pendingModel?.let { spec.models[it] } ?: return@forEach
                val isHeld = engines.any { it !== engine && it.tracker.willHold(model.name) }
                if (isHeld && model.name in wantedModels) {
                    engine.tracker.pendingLoad = null
                } else if (engine.tracker.acceptsOrders(nowMs)) {
                    loadAt(engine, model, "goes on")
                }
            }
        }

        fun serveModel(model: String) {
            val spec = spec.models[model] ?: return
            if (model in plannedModels || engines.any { it.tracker.willHold(model) }) return
            loadSomewhere(spec, "requests wait for the model")
        }

        fun serveAdapter(model: String, adapter: String) {
            val holders = engines.filter { model in it.tracker.holdings.models }
            if (holders.isEmpty()) return serveModel(model)
            val key = AdapterKey(model, adapter)
            if (holders.any { key in it.tracker.heldOrLoadingAdapters() && it.tracker.unloadingModel != model }) return
            loadAdapter(holders, key, "requests wait for the adapter")
        }

        private fun loadAdapter(holders: List<EngineSnapshot>, key: AdapterKey, reason: String) {
            val ready = holders.filter { it !in taken && it.tracker.acceptsOrders(nowMs) }
            val byId = ready.associateBy { it.tracker.incarnation.id }
            val ranked = rankByRendezvous("${key.model}/${key.adapter}", byId.keys).mapNotNull { byId[it] }
            val lightest = ranked.minOfOrNull { it.delayMs() } ?: return
            val engine = ranked.first { it.delayMs() <= lightest + settings.replicaDelayMs / 2 }
            val slotsUsed = engine.tracker.reservedAdapters().size
            if (slotsUsed < spec.adapterSlots && freeMb(engine) >= adapterMb(key)) {
                add(engine, EngineOrder.LoadAdapter(key.model, key.adapter), ADAPTER_LOAD_MS, reason)
                return
            }
            val victim = engine.tracker.holdings.models.values
                .flatMap { held -> held.adapters.map { AdapterKey(held.name, it) } }
                .filter { (engine.runsByAdapter[it] ?: 0) == 0 }
                .minByOrNull { history.lastUseMs(it.historyKey()) } ?: return
            add(
                engine,
                EngineOrder.UnloadAdapter(victim.model, victim.adapter),
                ADAPTER_LOAD_MS,
                "makes way for an adapter",
            )
        }

        fun relieveOverloaded() {
            spec.models.values.forEach { model ->
                val holders = engines.filter { model.name in it.tracker.holdings.models }
                if (holders.isEmpty() || history.ratePerSecond(model.name, nowMs) < MIN_RATE_FOR_REPLICA) return@forEach
                if (model.name in plannedModels || !holders.all { it.isOverloaded() }) return@forEach
                val isComing = engines.any { it !in holders && it.tracker.willHold(model.name) }
                if (isComing) return@forEach
                val lightestMs = holders.minOf { it.delayMs() }
                loadSomewhere(model, "all replicas are overloaded", onlyAtHand = true, lighterThan = lightestMs)
            }
        }

        fun prefetch() {
            if (wants.isNotEmpty()) return
            val running = engines.count { it.tracker.runningLoad != null || it.tracker.pendingModel != null }
            if (running >= settings.maxFullSpeedStoreLoads) return
            val atHand = engines.flatMapTo(HashSet()) {
                it.tracker.holdings.onDisk + it.tracker.reservedModels() + setOfNotNull(it.tracker.pendingModel)
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
                .filter { !it.tracker.willHold(model.name) }
                .filter { it.delayMs() <= lighterThan }
                .mapNotNull { offerOf(it, model, spareOnly) }
                .filter { !onlyAtHand || it.source != WeightSource.STORE }
                .filter { it.source != WeightSource.STORE || storeLoads > 0 }
                .minByOrNull { it.costMs } ?: return
            val tracker = best.engine.tracker
            val isReady = best.isPossibleNow && tracker.pendingModel == null && tracker.acceptsOrders(nowMs)
            if (best.engine in taken || !isReady) {
                // The best engine ends another order first; a worse one now would be later.
                planned.merge(best.engine, best.costMs, Double::plus)
                return
            }
            loadAt(best.engine, model, reason)
        }

        private fun loadAt(engine: EngineSnapshot, model: ModelSpec, reason: String) {
            val offer = offerOf(engine, model, spareOnly = false)?.takeIf { it.isPossibleNow } ?: return
            val victim = offer.victims.firstOrNull()
            if (victim != null) {
                val waitMs = offer.victims.maxOf { runsLeftMs(engine, it) }.toLong()
                val unloadsMs = offer.victims.size * EngineTracker.UNLOAD_MS
                engine.tracker.pendingLoad =
                    PendingLoad(model.name, nowMs + waitMs + unloadsMs + loadMs(model, offer.source))
                val hasRuns = (engine.runsByModel[victim] ?: 0) > 0
                add(
                    engine,
                    EngineOrder.UnloadModel(victim, hasRuns),
                    EngineTracker.UNLOAD_MS,
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

        private fun offerOf(engine: EngineSnapshot, model: ModelSpec, spareOnly: Boolean): Offer? {
            val source = engine.sourceOf(model.name)
            val victims = ArrayList<String>()
            var loss = 0.0
            var free = freeMb(engine, besides = model.name)
            val candidates = (engine.tracker.holdings.models.keys + listOfNotNull(arrivingAt(engine)))
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
            val disturbance = engine.inFlight * settings.runInterferenceMs
            val intendedMs = if (engine.tracker.pendingModel != null) settings.pendingLoadMs else 0.0
            val waitMs = engine.tracker.busyForMs(nowMs) + intendedMs + (planned[engine] ?: 0.0)
            val blockedMs = if (source == WeightSource.STORE) settings.storeLoadPenaltyMs else 0.0
            return Offer(
                engine = engine,
                source = source,
                victims = victims,
                costMs = loadMs(model, source) + loss + disturbance + waitMs + blockedMs,
                isPossibleNow = victims.all { stayLeftMs(engine, it) == 0L },
            )
        }

        /** The model that [engine] loads or is ordered to load. */
        private fun arrivingAt(engine: EngineSnapshot): String? = engine.tracker.loadingModel ?: loads[engine]

        /** How long [model] must still stay on [engine]: after its load, and while requests wait for it. */
        private fun stayLeftMs(engine: EngineSnapshot, model: String): Long {
            if (model == arrivingAt(engine) || model in wantedModels) return MIN_STAY_MS
            return engine.tracker.heldForMs(model, nowMs)?.let { (MIN_STAY_MS - it).coerceAtLeast(0) } ?: 0
        }

        private fun runsLeftMs(engine: EngineSnapshot, model: String): Double {
            if ((engine.runsByModel[model] ?: 0) == 0) return 0.0
            return (engine.runsEndInMs[model] ?: 0).coerceAtLeast(MIN_RUN_LEFT_MS).toDouble()
        }

        private fun lossOf(engine: EngineSnapshot, model: String): Double {
            val elsewhere = engines.any { it !== engine && model in it.tracker.holdings.models }
            val share = if (elsewhere) settings.replicatedCostShare else 1.0
            val recentMs = (RECENT_USE_MS - (nowMs - history.lastUseMs(model))).coerceAtLeast(0)
            return runsLeftMs(engine, model).coerceAtMost(settings.maxRunWaitMs) +
                share *
                (history.ratePerSecond(model, nowMs) * settings.evictionCostMsPerRps + recentMs * RECENT_USE_WEIGHT)
        }

        private fun EngineSnapshot.sourceOf(model: String): WeightSource = when (model) {
            in tracker.holdings.inMemory -> WeightSource.MEMORY
            in tracker.holdings.onDisk -> WeightSource.DISK
            else -> WeightSource.STORE
        }

        private fun loadMs(model: ModelSpec, source: WeightSource): Long = when (source) {
            WeightSource.MEMORY -> model.memoryLoadMs
            WeightSource.DISK -> model.diskLoadMs
            WeightSource.STORE -> {
                val running = engines.count { it.tracker.runningLoad != null } + 1
                model.coldLoadMs * maxOf(1, running / settings.maxFullSpeedStoreLoads)
            }
        }

        private fun EngineSnapshot.delayMs() = pendingPromptTokens / settings.prefillTokensPerMs + inFlight

        private fun EngineSnapshot.isOverloaded() = delayMs() > settings.replicaDelayMs ||
            kvTokens > spec.kvCapacityTokens * settings.replicaKvShare ||
            inFlight >= spec.slots

        private fun freeMb(engine: EngineSnapshot, besides: String? = null): Double {
            val counted = engine.tracker.reservedModels() - setOfNotNull(besides)
            val models = counted.sumOf { spec.models[it]?.weightsMb ?: spec.weightMemoryMb }
            val adapters = engine.tracker.reservedAdapters().sumOf { adapterMb(it) }
            return spec.weightMemoryMb - models - adapters
        }

        private fun weightsOf(engine: EngineSnapshot, model: String): Double =
            (spec.models[model]?.weightsMb ?: 0.0) +
                engine.tracker.reservedAdapters().filter { it.model == model }.sumOf { adapterMb(it) }

        private fun adapterMb(key: AdapterKey) = spec.models[key.model]?.adapterMb ?: 0.0

        private fun add(engine: EngineSnapshot, order: EngineOrder, durationMs: Long, reason: String) {
            taken.add(engine)
            if (order is EngineOrder.LoadModel) loads[engine] = order.model
            plannedModels.add(engine.tracker.pendingModel ?: order.model)
            orders.add(PlannedOrder(engine, order, durationMs, reason))
        }
    }

    private class Offer(
        val engine: EngineSnapshot,
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

/** The key of an adapter in a [UsageHistory]. */
public fun AdapterKey.historyKey(): String = "$model/$adapter"
