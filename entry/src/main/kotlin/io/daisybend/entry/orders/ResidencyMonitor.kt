/*
 * Shows what the holder of the order duty sees: which models and adapters requests wait for and what they lack, which
 * engines could take an order, and how many loads from the store are under way. A line every two seconds and gauges;
 * decides nothing.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.residency.EngineSnapshot
import io.daisybend.serving.residency.EngineTracker
import io.daisybend.serving.residency.QueuedDemand
import io.daisybend.serving.residency.StoreLoadAllowance
import io.daisybend.serving.site.Service
import java.util.concurrent.ConcurrentHashMap

/** What a model or adapter that requests wait for lacks. */
internal enum class WaitState {
    /** Nothing: a usable engine holds it. */
    HELD,

    /** The adapter, at the engines that hold its model. */
    ADAPTER,

    /** The end of a load that an engine executes. */
    LOADING,

    /** An unload that makes way for its load. */
    MAKING_WAY,

    /** An order: no usable engine holds, loads or will load it. */
    NOT_ORDERED,
    ;

    /** The name in logs and metrics. */
    val label: String = name.lowercase()
}

/** Logs and measures the state of engines and of what waits for them; only the gauges are read by other threads. */
internal class ResidencyMonitor(private val log: EventLog, metrics: Metrics) {
    private class State(val storeLoads: Int, val waiting: Map<WaitState, Int>)

    private val stateByService = ConcurrentHashMap<String, State>()
    private val recordedAtMs = HashMap<String, Long>()

    init {
        metrics.addGauge("daisybend_store_loads_under_way", "Loads from the weight store that engines execute") {
            stateByService.values.sumOf { it.storeLoads }.toDouble()
        }
        metrics.addGauges(
            "daisybend_models_waiting",
            "Models and adapters that requests wait for, by what they lack",
            "state",
        ) {
            val states = stateByService.values
            WaitState.entries.associate { wait -> wait.label to states.sumOf { it.waiting[wait] ?: 0 }.toDouble() }
        }
    }

    /** Shows zeros while this VM does not hold the order duty. */
    fun reset() = stateByService.clear()

    /** Records the state after a planning round at [nowMs] that was allowed [storeLoadAllowance], if it is due. */
    fun onPlanned(
        service: Service,
        engines: List<EngineSnapshot>,
        queued: List<QueuedDemand>,
        storeLoadAllowance: StoreLoadAllowance,
        nowMs: Long,
    ) {
        if (nowMs - (recordedAtMs[service.name] ?: Long.MIN_VALUE / 2) < RECORD_INTERVAL_MS) return
        recordedAtMs[service.name] = nowMs
        val usable = engines.filter { it.isUsable }.map { it.tracker }
        val storeLoads = engines.count { it.tracker.mayLoadFromStore(nowMs) }
        val waitStates = queued.associateWith { waitStateOf(it, usable) }
        val waiting = waitStates.entries.groupBy({ it.value }, { it.key.model to it.key.adapter })
            .mapValues { (_, keys) -> keys.distinct().size }
        stateByService[service.name] = State(storeLoads, waiting)
        if (queued.isEmpty() && storeLoads == 0) return
        val copies = usable.flatMapTo(HashSet()) { it.holdings.copies() }
        log.write(
            "residency",
            "service" to service.name,
            "waiting" to waiting.mapKeys { it.key.label },
            "requests" to queued.sumOf { it.count },
            "longestMs" to queued.maxOfOrNull { it.waitedMs },
            "notOrdered" to namesOf(queued.filter { waitStates[it] == WaitState.NOT_ORDERED }),
            "withoutCopy" to service.engine?.models?.keys?.count { it !in copies },
            "engines" to usable.size,
            "takingOrders" to usable.count { it.acceptsOrders(nowMs) },
            "unloading" to usable.count { it.unloadingModel != null },
            "storeLoads" to storeLoads,
            "overdueLoads" to usable.count { it.isOverdue(nowMs) },
            "storeLoadLimit" to storeLoadAllowance.concurrent,
            "storeLoadStarts" to storeLoadAllowance.starts,
        )
    }

    /** Returns the models of [queued] that requests have waited for longest, each with the number of its requests. */
    private fun namesOf(queued: List<QueuedDemand>) = queued.groupBy { it.model }.entries
        .sortedByDescending { (_, demands) -> demands.maxOf { it.waitedMs } }
        .take(MAX_NAMES)
        .map { (model, demands) -> "$model ${demands.sumOf { it.count }} for ${demands.maxOf { it.waitedMs }} ms" }

    private fun EngineTracker.isOverdue(nowMs: Long) = runningLoad?.let { nowMs > it.expectedAtMs } ?: false

    companion object {
        /** Interval between lines and updates of the gauges, in milliseconds: planning rounds come far more often. */
        private const val RECORD_INTERVAL_MS = 2_000L

        /** Number of models named in a line. */
        private const val MAX_NAMES = 6

        /** Returns what [demand] lacks at [usable] engines. */
        fun waitStateOf(demand: QueuedDemand, usable: Collection<EngineTracker>): WaitState {
            val holders = usable.filter { demand.model in it.holdings.models && it.unloadingModel != demand.model }
            val adapter = demand.adapter?.let { AdapterKey(demand.model, it) }
            return when {
                holders.any { adapter == null || adapter in it.heldOrLoadingAdapters() } -> WaitState.HELD
                holders.isNotEmpty() -> WaitState.ADAPTER
                usable.any { it.loadingModel == demand.model } -> WaitState.LOADING
                usable.any { it.pendingModel == demand.model } -> WaitState.MAKING_WAY
                else -> WaitState.NOT_ORDERED
            }
        }
    }
}
