/*
 * Compares the ledger's entry of an endpoint with a state that its engine reported after the endpoint's last record was
 * applied. [settledOrders] are the orders that were settled before the state was read: the effect of orders settled
 * since may show only in the next state.
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
    private val settledIds = if (checksFencing) emptySet() else settledOrders + visibleOrders()
    private val presentArtifacts = state.artifacts.associateBy { it.artifact }
    private val absentReservations =
        entry.reservations.filter { it.artifact !in presentArtifacts && !hasOrderInFlight(it.artifact) }

    /**
     * Whether an engine that checks fencing numbers must see a higher one before an absent artifact's memory is freed.
     */
    val needsHigherFence: Boolean = checksFencing && absentReservations.any { !it.isSettled() }

    /** Returns an artifact whose unload was decided but is neither done nor in flight, or null. */
    fun findStuckUnload(): Artifact? =
        entry.reservations
            .filter { it.phase == ReservationPhase.UNLOADING }
            .map { it.artifact }
            .firstOrNull { it in presentArtifacts && !hasOrderInFlight(it) }

    /** Returns the record that updates the ledger to the state, or null if they agree. */
    fun toObservedRecord(recordId: () -> RecordId): PlacementRecord.Observed? {
        val newlyLoaded = entry.reservations.filter { it.isNewlyLoaded() }.map { it.artifact }
        val absentArtifacts = absentReservations
            .filter { it.phase != ReservationPhase.HELD || it.isSettled() }
            .map { it.artifact }
        val unknownArtifacts = state.artifacts.filter { entry.reservationOf(it.artifact) == null }
        if (newlyLoaded.isEmpty() && absentArtifacts.isEmpty() && unknownArtifacts.isEmpty()) return null
        return PlacementRecord.Observed(
            recordId = recordId(),
            endpointId = entry.endpointId,
            fence = entry.fence,
            expectedOffset = entry.lastOffset,
            engineFence = engineFence,
            loaded = newlyLoaded,
            absent = absentArtifacts,
            found = unknownArtifacts.map { FoundArtifact(it.artifact, it.weightsBytes) },
            settledOrders = settledIds.filter { it.isUnsettled() },
        )
    }

    private fun visibleOrders(): List<RecordId> = state.receivedOrderIds + state.artifacts.mapNotNull { it.orderId }

    private fun Reservation.isSettled(): Boolean =
        withoutSettledOrders(settledIds, engineFence).unsettledOrders.isEmpty()

    private fun Reservation.isNewlyLoaded(): Boolean =
        presentArtifacts[artifact]?.loading == false &&
            (phase == ReservationPhase.LOADING || phase == ReservationPhase.HELD)

    private fun RecordId.isUnsettled(): Boolean =
        entry.reservations.any { reservation -> reservation.unsettledOrders.any { it.orderId == this } }
}
