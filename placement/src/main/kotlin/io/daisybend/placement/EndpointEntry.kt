/*
 * The state that the ledger keeps for one endpoint. A reservation counts against the endpoint's memory from the
 * decision to load until no order can load the artifact again: the engine reported a state without the artifact, and
 * every load order for it is settled. Entries are immutable, so readers on other threads never see a partial change.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The phase of an artifact at an endpoint. */
@Serializable
public enum class ReservationPhase {
    /** A load was decided; no state of the engine has shown the loaded artifact yet. */
    @SerialName("loading")
    LOADING,

    /** The engine reported the artifact as loaded. */
    @SerialName("loaded")
    LOADED,

    /** An unload was decided; no state of the engine has shown its effect yet. */
    @SerialName("unloading")
    UNLOADING,

    /** The engine reported a state without the artifact, but an unsettled order may still load it. */
    @SerialName("held")
    HELD,
}

/** A load order that may still take effect; its fencing number is the offset of its decision. */
@Serializable
public data class UnsettledOrder(val orderId: RecordId, val fencingNumber: Long)

/** The memory reserved for one artifact. */
@Serializable
public data class Reservation(
    val artifact: Artifact,
    val weightsBytes: Long,
    val phase: ReservationPhase,
    val unsettledOrders: List<UnsettledOrder> = emptyList(),
) {
    internal fun withoutSettledOrders(settledOrders: Set<RecordId>, belowFence: Long): Reservation {
        val remaining = unsettledOrders.filterNot { it.orderId in settledOrders || it.fencingNumber < belowFence }
        return if (remaining.size == unsettledOrders.size) this else copy(unsettledOrders = remaining)
    }
}

/** The owner, fence, memory and reservations of an endpoint; [lastOffset] is that of its last accepted record. */
@Serializable
public data class EndpointEntry(
    val endpointId: EndpointId,
    val fence: Long,
    val owner: OwnerId?,
    val capacity: EndpointCapacity,
    val reservations: List<Reservation> = emptyList(),
    val lastOffset: Long = fence,
) {
    /** The sum of all reservations in bytes. */
    val reservedBytes: Long get() = reservations.sumOf { it.weightsBytes }

    /** The bytes that are neither reserved nor part of the KV cache. */
    val freeBytes: Long get() = capacity.memoryBytes - capacity.kvCacheBytes - reservedBytes

    /** Returns the reservation of [artifact], or null if there is none. */
    public fun reservationOf(artifact: Artifact): Reservation? = reservations.find { it.artifact == artifact }

    internal fun withReservation(reservation: Reservation): EndpointEntry =
        copy(reservations = reservations.filter { it.artifact != reservation.artifact } + reservation)
}

/** The endpoints with a reservation for a model or adapter; [revision] is the offset of the last decision on it. */
@Serializable
public data class ReplicaSet(
    val key: ReplicaKey,
    val revision: Long = NO_REVISION,
    val endpointIds: List<EndpointId> = emptyList(),
)
