/*
 * Orders to one engine that got no answer. Each may still take effect while the engine has accepted as many orders as
 * it named, so what it loads stays counted until then.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey

/** The unanswered orders of one engine. */
internal class UnansweredOrders {
    private data class Unanswered(val order: EngineOrder, val expectedCount: Long, val sentAtMs: Long)

    private val orders = ArrayList<Unanswered>()

    /** Models that may still be loaded. */
    val models: List<String> get() = orders.mapNotNull { (it.order as? EngineOrder.LoadModel)?.model }

    /** Adapters that may still be loaded. */
    val adapters: List<AdapterKey>
        get() = orders.mapNotNull { unanswered ->
            (unanswered.order as? EngineOrder.LoadAdapter)?.let { AdapterKey(it.model, it.adapter) }
        }

    /** Notes that [order], which named [expectedCount] accepted orders, got no answer by [nowMs]. */
    fun add(order: EngineOrder, expectedCount: Long, nowMs: Long) {
        orders.add(Unanswered(order, expectedCount, nowMs))
    }

    /** Drops what can't take effect any more, since the engine has accepted [orderCount] orders. */
    fun settle(orderCount: Long) {
        orders.removeAll { it.expectedCount < orderCount }
    }

    /** Drops what was sent too long before [nowMs] to take effect. */
    fun expire(nowMs: Long) {
        orders.removeAll { nowMs - it.sentAtMs > UNANSWERED_MS }
    }

    private companion object {
        /** After this time an order without an answer can't take effect any more, in milliseconds. */
        const val UNANSWERED_MS = 14_000L
    }
}
