/*
 * What one owner knows of the orders that it sent or withdrew. An order is settled when it cannot have any further
 * effect at an engine that gets each order at most once: it was answered, seen at the engine, or never sent.
 */
package io.daisybend.placement

internal class OrderTracker {
    private class Sent(val artifact: Artifact, var inFlight: Boolean = true)

    private val sent = HashMap<RecordId, Sent>()
    private val settled = HashSet<RecordId>()
    private val unsent = LinkedHashSet<RecordId>()

    val settledOrders: Set<RecordId> get() = settled.toSet()

    fun send(order: EngineOrder) {
        sent[order.orderId] = Sent(order.artifact)
    }

    fun withdraw(orderId: RecordId) {
        settled += orderId
        unsent += orderId
    }

    /** Notes an answer; false when the order was not sent from here or is forgotten. */
    fun answered(orderId: RecordId, answer: OrderAnswer): Boolean {
        val order = sent[orderId] ?: return false
        order.inFlight = false
        if (answer !is OrderAnswer.NoAnswer) settled += orderId
        return true
    }

    fun seenAt(state: EngineState) {
        settled += state.receivedOrderIds
        state.artifacts.mapNotNullTo(settled) { it.orderId }
    }

    fun hasInFlight(): Boolean = sent.values.any { it.inFlight }

    fun hasInFlight(artifact: Artifact): Boolean = sent.values.any { it.inFlight && it.artifact == artifact }

    fun takeUnsent(): List<RecordId> = unsent.toList().also { unsent.clear() }

    /** Forgets answered orders and settled orders that [entry] no longer counts. */
    fun forgetSettled(entry: EndpointEntry) {
        val unsettled = entry.reservations.flatMapTo(HashSet()) { r -> r.unsettledOrders.map { it.orderId } }
        sent.entries.removeIf { !it.value.inFlight && it.key !in unsettled }
        settled.retainAll { it in unsettled || it in sent }
        unsent.retainAll(unsettled)
    }
}
