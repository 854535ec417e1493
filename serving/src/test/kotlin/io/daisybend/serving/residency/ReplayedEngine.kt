package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.site.EngineSpec

/** A run of [model] that ends at [endsAtMs]. */
internal data class ReplayedRun(val model: String, val endsAtMs: Long)

/** Simulates a model engine that holds models, runs requests and executes one order at a time. */
internal class ReplayedEngine(
    val id: String,
    private val spec: EngineSpec,
    held: Collection<String>,
    onDisk: Collection<String>,
) {
    private val models = LinkedHashSet(held)
    private val disk = LinkedHashSet(onDisk + held)
    private val memory = LinkedHashSet<String>()
    private val runs = ArrayList<ReplayedRun>()
    private var loading: String? = null
    private var unloading: String? = null
    private var busyUntilMs = 0L
    private var orderCount = 0L

    /** Whether an order exceeded the memory for weights; a real engine would have crashed. */
    var isOverfilled = false
        private set

    /** The number of loads from the weight store. */
    var storeLoads = 0
        private set

    val currentRuns: List<ReplayedRun> get() = runs

    fun advance(nowMs: Long) {
        runs.removeAll { it.endsAtMs <= nowMs }
        val unloadedModel = unloading
        if (unloadedModel != null && runs.none { it.model == unloadedModel }) {
            models.remove(unloadedModel)
            unloading = null
            busyUntilMs = nowMs + UNLOAD_MS
        }
        if (nowMs >= busyUntilMs && unloading == null) {
            loading?.let { arrived ->
                models.add(arrived)
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

    fun canServe(model: String) = model in models && model != unloading

    fun run(model: String, nowMs: Long, durationMs: Long) {
        runs.add(ReplayedRun(model, nowMs + durationMs))
    }

    fun order(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer {
        if (expected != orderCount || nowMs < busyUntilMs || unloading != null) return OrderAnswer.Conflict
        when (order) {
            is EngineOrder.LoadModel -> {
                if (order.model in models) return OrderAnswer.AlreadyHolds
                if (models.sumOf(::weightsMb) + weightsMb(order.model) > spec.weightMemoryMb) isOverfilled = true
                loading = order.model
                busyUntilMs = nowMs + loadMs(order.model)
            }
            is EngineOrder.UnloadModel -> {
                if (order.model !in models) return OrderAnswer.AlreadyHolds
                unloading = order.model
            }
            else -> return OrderAnswer.AlreadyHolds
        }
        orderCount++
        return OrderAnswer.Accepted
    }

    private fun loadMs(model: String): Long {
        val modelSpec = spec.models.getValue(model)
        if (model in memory) return modelSpec.memoryLoadMs
        if (model in disk) return modelSpec.diskLoadMs
        storeLoads++
        return modelSpec.coldLoadMs
    }

    fun report(nowMs: Long) = EngineHoldings(
        orderCount = orderCount,
        models = models.associateWith { HeldModel(it, emptySet()) },
        inMemory = memory.toSet(),
        onDisk = disk.toSet(),
        busy = nowMs < busyUntilMs || unloading != null,
    )

    private companion object {
        const val UNLOAD_MS = 50L
    }
}
