/*
 * Accelerator memory of an engine stand-in: loaded models and adapters, loads in progress, and fencing of orders.
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
    fun raiseFence(newFence: Long): OrderAnswer {
        val refused = checksFencing && newFence < fence
        if (!refused) fence = maxOf(fence, newFence)
        return OrderAnswer("", done = !refused, refusal = if (refused) STALE_FENCE else null, fence = fence)
    }

    /**
     * Starts [order]. Returns null if a load has started, which [finishLoad] must complete; returns the response if the
     * order is refused or already done.
     */
    @Synchronized
    fun startOrder(order: EngineOrder): OrderAnswer? {
        if (checksFencing && order.fence < fence) return OrderAnswer(order.orderId, false, STALE_FENCE, fence)
        fence = maxOf(fence, order.fence)
        when (order.kind) {
            OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER -> {
                loaded.remove(order.itemId)
                recordCompletion(order.orderId)
                return OrderAnswer(order.orderId, done = true, fence = fence)
            }
            OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER -> {
                val current = loaded[order.itemId]
                if (current != null && current.version == order.version) {
                    recordCompletion(order.orderId)
                    return OrderAnswer(order.orderId, done = true, fence = fence)
                }
                loading[order.orderId] = order
                loadsStarted++
                updatePeakUsage()
                return null
            }
        }
    }

    @Synchronized
    fun finishLoad(order: EngineOrder): OrderAnswer {
        loading.remove(order.orderId)
        val isAdapter = order.kind == OrderKind.LOAD_ADAPTER
        loaded[order.itemId] = LoadedItem(order.itemId, order.version, order.weightsBytes, isAdapter, order.orderId)
        recordCompletion(order.orderId)
        updatePeakUsage()
        return OrderAnswer(order.orderId, done = true, fence = fence)
    }

    @Synchronized
    fun isLoaded(itemId: String): Boolean = itemId in loaded

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

    private fun updatePeakUsage() {
        peakUsedBytes = maxOf(peakUsedBytes, usedBytes())
    }

    private fun recordCompletion(orderId: String) {
        completed += orderId
        while (completed.size > MAX_COMPLETED_ORDER_IDS) completed.removeFirst()
    }

    private companion object {
        const val STALE_FENCE = "old_fence"
        const val MAX_COMPLETED_ORDER_IDS = 1_000
    }
}
