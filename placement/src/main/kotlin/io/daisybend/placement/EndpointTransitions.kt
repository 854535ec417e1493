/*
 * Pure functions that apply a record to the entry of its endpoint or return the reason to refuse it. The ledger looks
 * up their inputs and stores their results.
 */
package io.daisybend.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.placement.PlacementRecord.Claim
import io.daisybend.placement.PlacementRecord.DecideLoad
import io.daisybend.placement.PlacementRecord.DecideUnload
import io.daisybend.placement.PlacementRecord.Observed

internal fun applyClaim(offset: Long, record: Claim, entry: EndpointEntry?): Result<EndpointEntry, RecordRefusal> {
    val fence = entry?.fence ?: NO_FENCE
    if (fence != record.expectedFence) {
        return Err(RecordRefusal.StaleFence(record.endpointId, record.expectedFence, fence))
    }
    return Ok(
        EndpointEntry(
            endpointId = record.endpointId,
            fence = offset,
            owner = record.owner,
            capacity = record.capacity,
            reservations = entry?.reservations.orEmpty(),
        ),
    )
}

/** Returns the entry if the endpoint has an owner and its fence is [fence]; fails with a stale fence otherwise. */
internal fun EndpointEntry?.requireOwned(fence: Long, record: PlacementRecord): Result<EndpointEntry, RecordRefusal> {
    val entry = this?.takeIf { it.owner != null && it.fence == fence }
    return if (entry != null) Ok(entry) else Err(RecordRefusal.StaleFence(record.endpointId, fence, fenceOf(this)))
}

/** Returns the entry if the endpoint was ever claimed; fails with a stale fence otherwise. */
internal fun EndpointEntry?.requireClaimed(record: PlacementRecord): Result<EndpointEntry, RecordRefusal> =
    if (this != null) Ok(this) else Err(RecordRefusal.StaleFence(record.endpointId, NO_FENCE, NO_FENCE))

private fun fenceOf(entry: EndpointEntry?): Long = entry?.fence ?: NO_FENCE

internal fun EndpointEntry.applyLoadDecision(
    offset: Long,
    record: DecideLoad,
    replicaSet: ReplicaSet,
): Result<EndpointEntry, RecordRefusal> {
    val existing = reservationOf(record.artifact)
    val refusal = replicaSet.refusalOf(record.expectedRevision)
        ?: record.sizeRefusal()
        ?: adapterRefusal(record.artifact)
        ?: memoryRefusal(record, existing)
    if (refusal != null) return Err(refusal)
    val reservation = Reservation(
        artifact = record.artifact,
        weightsBytes = existing?.weightsBytes ?: record.weightsBytes,
        phase = ReservationPhase.LOADING,
        unsettledOrders = existing?.unsettledOrders.orEmpty() + UnsettledOrder(record.recordId, fencingNumber = offset),
    )
    return Ok(withReservation(reservation))
}

internal fun EndpointEntry.applyUnloadDecision(
    record: DecideUnload,
    replicaSet: ReplicaSet,
): Result<EndpointEntry, RecordRefusal> {
    val existing = reservationOf(record.artifact)
        ?: return Err(RecordRefusal.NotReserved(endpointId, record.artifact))
    val adapters = reservations.count { it.usesModelOf(record.artifact) }
    val refusal = replicaSet.refusalOf(record.expectedRevision)
        ?: RecordRefusal.AdaptersInUse(endpointId, record.artifact, adapters).takeIf { adapters > 0 }
    return if (refusal != null) Err(refusal) else Ok(withReservation(existing.copy(phase = ReservationPhase.UNLOADING)))
}

internal fun EndpointEntry.applyObservation(record: Observed): Result<EndpointEntry, RecordRefusal> {
    if (record.expectedOffset != lastOffset) {
        return Err(RecordRefusal.StaleObservation(endpointId, record.expectedOffset, lastOffset))
    }
    val settled =
        if (capacity.checksFencing) {
            withoutSettledOrders(emptySet(), belowFence = record.engineFence)
        } else {
            withoutSettledOrders(record.settledOrders.toSet(), belowFence = NO_FENCE)
        }
    val found = record.found
        .filter { settled.reservationOf(it.artifact) == null }
        .map { Reservation(it.artifact, it.weightsBytes, ReservationPhase.LOADED) }
    return Ok(settled.copy(reservations = settled.reservations.mapNotNull { it.afterObservation(record) } + found))
}

internal fun EndpointEntry.withoutSettledOrders(settledOrders: Set<RecordId>, belowFence: Long): EndpointEntry =
    copy(reservations = reservations.map { it.withoutSettledOrders(settledOrders, belowFence) })

private fun ReplicaSet.refusalOf(expectedRevision: Long): RecordRefusal? =
    RecordRefusal.StaleRevision(key, expectedRevision, revision).takeIf { revision != expectedRevision }

private fun DecideLoad.sizeRefusal(): RecordRefusal? =
    RecordRefusal.InvalidSize(artifact, weightsBytes).takeIf { weightsBytes <= 0 }

private fun EndpointEntry.adapterRefusal(artifact: Artifact): RecordRefusal? {
    if (artifact.adapterId == null) return null
    return RecordRefusal.ModelNotLoaded(endpointId, artifact).takeIf { !hasLoadedModel(artifact) }
}

/** Returns whether the engine reported any version of the model of [artifact] as loaded at this endpoint. */
internal fun EndpointEntry.hasLoadedModel(artifact: Artifact): Boolean =
    reservations.any {
        it.artifact.replicaKey == ReplicaKey(artifact.modelId) && it.phase == ReservationPhase.LOADED
    }

private fun EndpointEntry.memoryRefusal(record: DecideLoad, existing: Reservation?): RecordRefusal? =
    when {
        existing == null && record.weightsBytes > freeBytes ->
            RecordRefusal.MemoryExceeded(endpointId, record.weightsBytes, freeBytes)
        existing == null || existing.phase == ReservationPhase.HELD -> null
        else -> RecordRefusal.AlreadyReserved(endpointId, record.artifact)
    }

private fun Reservation.usesModelOf(model: Artifact): Boolean =
    model.adapterId == null &&
        artifact.adapterId != null &&
        artifact.modelId == model.modelId &&
        phase != ReservationPhase.HELD

private fun Reservation.afterObservation(record: Observed): Reservation? =
    when {
        artifact in record.loaded && phase != ReservationPhase.UNLOADING -> copy(phase = ReservationPhase.LOADED)
        artifact !in record.absent -> this
        unsettledOrders.isEmpty() -> null
        else -> copy(phase = ReservationPhase.HELD)
    }
