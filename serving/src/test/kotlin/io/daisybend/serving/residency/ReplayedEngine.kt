package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.site.EngineSpec

/** A run of [model], or of its [adapter], that ends at [endsAtMs]. */
internal data class ReplayedRun(val model: String, val adapter: String?, val endsAtMs: Long)

/** Simulates a model engine that holds models and adapters, runs requests and executes one order at a time. */
internal class ReplayedEngine(
    val id: String,
    private val spec: EngineSpec,
    private val store: ReplayedStore,
    held: Collection<String>,
    onDisk: Collection<String>,
) {
    private val adaptersByModel = held.associateWithTo(LinkedHashMap()) { LinkedHashSet<String>() }
    private val disk = LinkedHashSet(onDisk + held)
    private val memory = LinkedHashSet<String>()
    private val runs = ArrayList<ReplayedRun>()
    private var loading: String? = null
    private var unloading: String? = null
    private var busyUntilMs = 0L
    private var orderCount = 0L

    /** Whether an order exceeded the memory for weights or the places for adapters; a real engine would have crashed. */
    var isOverfilled = false
        private set

    val currentRuns: List<ReplayedRun> get() = runs

    fun advance(nowMs: Long) {
        runs.removeAll { it.endsAtMs <= nowMs }
        val unloadedModel = unloading
        if (unloadedModel != null && runs.none { it.model == unloadedModel }) {
            adaptersByModel.remove(unloadedModel)
            unloading = null
            busyUntilMs = nowMs + UNLOAD_MS
        }
        if (nowMs >= busyUntilMs && unloading == null) {
            loading?.let { arrived ->
                adaptersByModel[arrived] = LinkedHashSet()
                addCopy(memory, arrived, spec.hostCacheMb)
                addCopy(disk, arrived, spec.diskCacheMb)
            }
            loading = null
        }
    }

    private fun addCopy(copies: LinkedHashSet<String>, model: String, capacityMb: Double) {
        copies.remove(model)
        copies.add(model)
        while (copies.sumOf(::weightsMb) > capacityMb) copies.remove(copies.first())
    }

    private fun weightsMb(model: String) = spec.models.getValue(model).weightsMb

    private fun usedMb() = adaptersByModel.entries.sumOf { (model, adapters) ->
        weightsMb(model) + adapters.size * spec.models.getValue(model).adapterMb
    }

    fun hasCopy(model: String) = model in disk

    fun canServe(model: String, adapter: String?): Boolean {
        val adapters = adaptersByModel[model] ?: return false
        return model != unloading && (adapter == null || adapter in adapters)
    }

    fun run(request: WaitingRequest, nowMs: Long) {
        runs.add(ReplayedRun(request.model, request.adapter, nowMs + request.runMs))
    }

    fun order(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer {
        if (expected != orderCount || nowMs < busyUntilMs || unloading != null) return OrderAnswer.Conflict
        val answer = when (order) {
            is EngineOrder.LoadModel -> load(order.model, nowMs)
            is EngineOrder.UnloadModel -> unload(order.model)
            is EngineOrder.LoadAdapter -> loadAdapter(order.model, order.adapter)
            is EngineOrder.UnloadAdapter -> unloadAdapter(order.model, order.adapter)
        }
        if (answer == OrderAnswer.Accepted) orderCount++
        return answer
    }

    private fun load(model: String, nowMs: Long): OrderAnswer {
        if (model in adaptersByModel) return OrderAnswer.AlreadyHolds
        if (usedMb() + weightsMb(model) > spec.weightMemoryMb) isOverfilled = true
        loading = model
        busyUntilMs = nowMs + loadMs(model, nowMs)
        return OrderAnswer.Accepted
    }

    private fun unload(model: String): OrderAnswer {
        if (model !in adaptersByModel) return OrderAnswer.AlreadyHolds
        unloading = model
        return OrderAnswer.Accepted
    }

    private fun loadAdapter(model: String, adapter: String): OrderAnswer {
        val adapters = adaptersByModel[model] ?: return OrderAnswer.Refused(MODEL_NOT_HELD_STATUS)
        if (!adapters.add(adapter)) return OrderAnswer.AlreadyHolds
        val places = adaptersByModel.values.sumOf { it.size }
        if (places > spec.adapterSlots || usedMb() > spec.weightMemoryMb) isOverfilled = true
        return OrderAnswer.Accepted
    }

    private fun unloadAdapter(model: String, adapter: String): OrderAnswer {
        if (runs.any { it.model == model && it.adapter == adapter }) return OrderAnswer.Conflict
        val wasHeld = adaptersByModel[model]?.remove(adapter) ?: false
        return if (wasHeld) OrderAnswer.Accepted else OrderAnswer.AlreadyHolds
    }

    private fun loadMs(model: String, nowMs: Long): Long {
        val modelSpec = spec.models.getValue(model)
        if (model in memory) return modelSpec.memoryLoadMs
        if (model in disk) return modelSpec.diskLoadMs
        return store.startLoad(modelSpec.coldLoadMs, nowMs)
    }

    fun report(nowMs: Long) = EngineHoldings(
        orderCount = orderCount,
        models = adaptersByModel.mapValues { (model, adapters) -> HeldModel(model, adapters.toSet()) },
        inMemory = memory.toSet(),
        onDisk = disk.toSet(),
        busy = nowMs < busyUntilMs || unloading != null,
    )

    private companion object {
        const val UNLOAD_MS = 50L
        const val MODEL_NOT_HELD_STATUS = 421
    }
}
