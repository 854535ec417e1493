/*
 * Tracks the orders that one owner sent or withdrew. An order is settled once it can have no further effect at an
 * engine that receives each order at most once: the engine answered it or reported it, or it was never sent.
 */
package io.daisybend.placement

internal class OrderTracker {
    private class SentOrder(val artifact: Artifact, var inFlight: Boolean = true)

    private val sentOrders = HashMap<RecordId, SentOrder>()
    private val settled = HashSet<RecordId>()
    private val withdrawnOrders = LinkedHashSet<RecordId>()

    val settledOrders: Set<RecordId> get() = settled.toSet()

    fun recordSent(order: EngineOrder) {
        sentOrders[order.orderId] = SentOrder(order.artifact)
    }

    fun recordWithdrawn(orderId: RecordId) {
        settled += orderId
        withdrawnOrders += orderId
    }

    /** Records an answer; returns false if the order was not sent from here or is no longer tracked. */
    fun handleAnswer(orderId: RecordId, answer: OrderAnswer): Boolean {
        val order = sentOrders[orderId] ?: return false
        order.inFlight = false
        if (answer !is OrderAnswer.NoAnswer) settled += orderId
        return true
    }

    fun recordSeen(state: EngineState) {
        settled += state.receivedOrderIds
        state.artifacts.mapNotNullTo(settled) { it.orderId }
    }

    fun hasInFlight(): Boolean = sentOrders.values.any { it.inFlight }

    fun hasInFlight(artifact: Artifact): Boolean = sentOrders.values.any { it.inFlight && it.artifact == artifact }

    fun takeWithdrawn(): List<RecordId> = withdrawnOrders.toList().also { withdrawnOrders.clear() }

    /** Stops tracking answered and settled orders that [entry] no longer lists as unsettled. */
    fun forgetSettled(entry: EndpointEntry) {
        val unsettled = entry.reservations.flatMapTo(HashSet()) { reservation ->
            reservation.unsettledOrders.map { it.orderId }
        }
        sentOrders.entries.removeIf { !it.value.inFlight && it.key !in unsettled }
        settled.retainAll { it in unsettled || it in sentOrders }
        withdrawnOrders.retainAll(unsettled)
    }
}
