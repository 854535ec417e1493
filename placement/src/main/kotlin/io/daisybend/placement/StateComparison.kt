/*
 * Compares what the ledger says of an endpoint with a state that its engine reported after the endpoint's last record
 * was applied. [settledOrders] are those that were settled before the state was read: what was settled since may show
 * only in the next state.
 */
package io.daisybend.placement

internal class StateComparison(
    private val entry: EndpointEntry,
    private val state: EngineState,
    settledOrders: Set<RecordId>,
    private val hasOrderInFlight: (Artifact) -> Boolean,
) {
    private val checksFencing = entry.capacity.checksFencing
    private val engineFence = if (checksFencing) state.highestFence else NO_FENCE
    private val settled = if (checksFencing) emptySet() else settledOrders + shownOrders()
    private val present = state.artifacts.associateBy { it.artifact }
    private val absent = entry.reservations.filter { it.artifact !in present && !hasOrderInFlight(it.artifact) }

    /** True when a checking engine must see a higher number before an absent artifact's memory can be freed. */
    val needsHigherFence: Boolean = checksFencing && absent.any { !it.isSettled() }

    /** An artifact whose unload was decided and is neither done nor under way, or null. */
    fun stuckUnload(): Artifact? =
        entry.reservations
            .filter { it.phase == ReservationPhase.UNLOADING }
            .map { it.artifact }
            .firstOrNull { it in present && !hasOrderInFlight(it) }

    /** Returns the record that brings the ledger up to the state, or null when they agree. */
    fun observed(recordId: () -> RecordId): PlacementRecord.Observed? {
        val loaded = entry.reservations.filter { it.isNewlyLoaded() }.map { it.artifact }
        val gone = absent.filter { it.phase != ReservationPhase.HELD || it.isSettled() }.map { it.artifact }
        val found = state.artifacts.filter { entry.reservationOf(it.artifact) == null }
        if (loaded.isEmpty() && gone.isEmpty() && found.isEmpty()) return null
        return PlacementRecord.Observed(
            recordId = recordId(),
            endpointId = entry.endpointId,
            fence = entry.fence,
            expectedOffset = entry.lastOffset,
            engineFence = engineFence,
            loaded = loaded,
            absent = gone,
            found = found.map { FoundArtifact(it.artifact, it.weightsBytes) },
            settledOrders = settled.filter { it.isUnsettled() },
        )
    }

    private fun shownOrders(): List<RecordId> = state.receivedOrderIds + state.artifacts.mapNotNull { it.orderId }

    private fun Reservation.isSettled(): Boolean = settle(settled, engineFence).unsettledOrders.isEmpty()

    private fun Reservation.isNewlyLoaded(): Boolean =
        present[artifact]?.loading == false &&
            (phase == ReservationPhase.LOADING || phase == ReservationPhase.HELD)

    private fun RecordId.isUnsettled(): Boolean =
        entry.reservations.any { r -> r.unsettledOrders.any { it.orderId == this } }
}
