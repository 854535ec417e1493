/*
 * What an engine stand-in holds in its accelerator memory, and how it treats fencing numbers.
 */
package io.daisybend.standins.engine

import java.util.UUID

internal class EngineMemory(
    private val memoryBytes: Long,
    private val kvCacheBytes: Long,
    private val checksFencing: Boolean,
) {
    private val bootId = UUID.randomUUID().toString()
    private val loaded = LinkedHashMap<String, LoadedItem>()
    private val loading = LinkedHashMap<String, EngineOrder>()
    private val completed = ArrayDeque<String>()
    private var fence = 0L
    private var peakUsedBytes = 0L
    private var loadsStarted = 0

    @Synchronized
    fun raiseFence(toFence: Long): OrderAnswer {
        val refused = checksFencing && toFence < fence
        if (!refused) fence = maxOf(fence, toFence)
        return OrderAnswer("", done = !refused, refusal = if (refused) OLD_FENCE else null, fence = fence)
    }

    /** Starts [order] and returns null, or returns the answer when there is nothing left to do. */
    @Synchronized
    fun begin(order: EngineOrder): OrderAnswer? {
        if (checksFencing && order.fence < fence) return OrderAnswer(order.orderId, false, OLD_FENCE, fence)
        fence = maxOf(fence, order.fence)
        when (order.kind) {
            OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER -> {
                loaded.remove(order.itemId)
                complete(order.orderId)
                return OrderAnswer(order.orderId, done = true, fence = fence)
            }
            OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER -> {
                val present = loaded[order.itemId]
                if (present != null && present.version == order.version) {
                    complete(order.orderId)
                    return OrderAnswer(order.orderId, done = true, fence = fence)
                }
                loading[order.orderId] = order
                loadsStarted++
                notePeak()
                return null
            }
        }
    }

    @Synchronized
    fun finish(order: EngineOrder): OrderAnswer {
        loading.remove(order.orderId)
        val adapter = order.kind == OrderKind.LOAD_ADAPTER
        loaded[order.itemId] = LoadedItem(order.itemId, order.version, order.weightsBytes, adapter, order.orderId)
        complete(order.orderId)
        notePeak()
        return OrderAnswer(order.orderId, done = true, fence = fence)
    }

    @Synchronized
    fun holds(itemId: String): Boolean = itemId in loaded

    @Synchronized
    fun state(running: Int, requestsStarted: Long) = EngineState(
        bootId = bootId,
        fence = fence,
        memoryBytes = memoryBytes,
        kvCacheBytes = kvCacheBytes,
        usedBytes = usedBytes(),
        peakUsedBytes = peakUsedBytes,
        loaded = loaded.values.toList(),
        loadingOrderIds = loading.keys.toList(),
        completedOrderIds = completed.toList(),
        running = running,
        requestsStarted = requestsStarted,
        loadsStarted = loadsStarted,
    )

    private fun usedBytes() =
        kvCacheBytes + loaded.values.sumOf { it.weightsBytes } + loading.values.sumOf { it.weightsBytes }

    private fun notePeak() {
        peakUsedBytes = maxOf(peakUsedBytes, usedBytes())
    }

    private fun complete(orderId: String) {
        completed += orderId
        while (completed.size > KEPT_ORDER_IDS) completed.removeFirst()
    }

    private companion object {
        const val OLD_FENCE = "old_fence"
        const val KEPT_ORDER_IDS = 1_000
    }
}
