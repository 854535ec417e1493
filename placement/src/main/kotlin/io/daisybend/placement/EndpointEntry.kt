/*
 * What the ledger knows of one endpoint. A reservation counts against the endpoint's memory from the decision to load
 * until no order can bring the artifact back: the engine has been seen without it and every load order for it is
 * settled. Entries are immutable, so a reader never sees half a change.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far an artifact has come at an endpoint. */
@Serializable
public enum class ReservationPhase {
    /** A load was decided and not yet seen. */
    @SerialName("loading")
    LOADING,

    /** The engine was seen with the artifact. */
    @SerialName("loaded")
    LOADED,

    /** An unload was decided and not yet seen. */
    @SerialName("unloading")
    UNLOADING,

    /** The engine was seen without the artifact, and an unsettled order may still load it. */
    @SerialName("held")
    HELD,
}

/** A load order whose effect has not been seen; its fencing number is the offset of its decision. */
@Serializable
public data class UnsettledOrder(val orderId: RecordId, val fencingNumber: Long)

/** Memory reserved for one artifact. */
@Serializable
public data class Reservation(
    val artifact: Artifact,
    val weightsBytes: Long,
    val phase: ReservationPhase,
    val unsettledOrders: List<UnsettledOrder> = emptyList(),
) {
    internal fun settle(settled: Set<RecordId>, belowFence: Long): Reservation {
        val rest = unsettledOrders.filterNot { it.orderId in settled || it.fencingNumber < belowFence }
        return if (rest.size == unsettledOrders.size) this else copy(unsettledOrders = rest)
    }
}

/** The owner, fence, memory and reservations of one endpoint; [lastOffset] is its last accepted record. */
@Serializable
public data class EndpointEntry(
    val endpointId: EndpointId,
    val fence: Long,
    val owner: OwnerId?,
    val capacity: EndpointCapacity,
    val reservations: List<Reservation> = emptyList(),
    val lastOffset: Long = fence,
) {
    /** The bytes that the reservations take. */
    val reservedBytes: Long get() = reservations.sumOf { it.weightsBytes }

    /** The bytes that a further decision may reserve. */
    val freeBytes: Long get() = capacity.memoryBytes - capacity.kvCacheBytes - reservedBytes

    /** Returns the reservation of [artifact], or null. */
    public fun reservationOf(artifact: Artifact): Reservation? = reservations.find { it.artifact == artifact }

    internal fun with(reservation: Reservation): EndpointEntry =
        copy(reservations = reservations.filter { it.artifact != reservation.artifact } + reservation)
}

/** Where a model or adapter is decided to be; [revision] is the offset of the last decision on it. */
@Serializable
public data class ReplicaSet(
    val key: ReplicaKey,
    val revision: Long = NO_REVISION,
    val endpointIds: List<EndpointId> = emptyList(),
)
