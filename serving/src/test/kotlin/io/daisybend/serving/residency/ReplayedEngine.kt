package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.site.EngineSpec

/** A run of [model] that ends at [endsAtMs]. */
internal data class ReplayedRun(val model: String, val endsAtMs: Long)

/** A model engine of a replay: it holds models, runs requests and carries out one order at a time. */
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

    /** Whether an order would have loaded more than fits: the engine would have crashed. */
    var overfilled = false
        private set

    /** Loads from the weight store. */
    var storeLoads = 0
        private set

    val runsNow: List<ReplayedRun> get() = runs

    fun advance(nowMs: Long) {
        runs.removeAll { it.endsAtMs <= nowMs }
        val leaving = unloading
        if (leaving != null && runs.none { it.model == leaving }) {
            models.remove(leaving)
            unloading = null
            busyUntilMs = nowMs + UNLOAD_MS
        }
        if (nowMs >= busyUntilMs && unloading == null) {
            loading?.let { arrived ->
                models.add(arrived)
                touch(memory, arrived, spec.hostCacheMb)
                touch(disk, arrived, spec.diskCacheMb)
            }
            loading = null
        }
    }

    private fun touch(copies: LinkedHashSet<String>, model: String, roomMb: Double) {
        copies.remove(model)
        copies.add(model)
        while (copies.sumOf(::weightsMb) > roomMb) copies.remove(copies.first())
    }

    private fun weightsMb(model: String) = spec.models.getValue(model).weightsMb

    fun serves(model: String) = model in models && model != unloading

    fun run(model: String, nowMs: Long, forMs: Long) {
        runs.add(ReplayedRun(model, nowMs + forMs))
    }

    fun order(expected: Long, order: EngineOrder, nowMs: Long): OrderAnswer {
        if (expected != orderCount || nowMs < busyUntilMs || unloading != null) return OrderAnswer.Conflict
        when (order) {
            is EngineOrder.LoadModel -> {
                if (order.model in models) return OrderAnswer.AlreadyHolds
                if (models.sumOf(::weightsMb) + weightsMb(order.model) > spec.weightMemoryMb) overfilled = true
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
        val figures = spec.models.getValue(model)
        if (model in memory) return figures.memoryLoadMs
        if (model in disk) return figures.diskLoadMs
        storeLoads++
        return figures.coldLoadMs
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
