/*
 * The placement ledger: a deterministic fold over the placement stream. Readers that applied the same offsets hold the
 * same state. One thread applies; any thread may read. A record is accepted only if what its writer believed still
 * holds, so of two records that race one is accepted and the other refused with a type, on all readers alike.
 */
package io.daisybend.placement

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import io.daisybend.kernel.EndpointId
import io.daisybend.placement.PlacementRecord.Claim
import io.daisybend.placement.PlacementRecord.DecideLoad
import io.daisybend.placement.PlacementRecord.DecideUnload
import io.daisybend.placement.PlacementRecord.Observed
import io.daisybend.placement.PlacementRecord.Relinquish
import io.daisybend.placement.PlacementRecord.Withdrawn

/** A record at its offset with the fold's verdict; [owner] owned the endpoint after it. */
public data class AppliedRecord(
    val offset: Long,
    val record: PlacementRecord,
    val refusal: RecordRefusal?,
    val owner: OwnerId?,
)

/** Folds placement records into owners, reservations and replica sets. */
public class PlacementLedger {
    private val endpoints = ShardedMap<EndpointId, EndpointEntry>()
    private val replicaSets = ShardedMap<ReplicaKey, ReplicaSet>()

    /** The offset of the next record to apply. */
    @Volatile
    public var nextOffset: Long = 0
        private set

    /** Returns what is known of [endpointId], or null when it was never claimed. */
    public fun endpoint(endpointId: EndpointId): EndpointEntry? = endpoints[endpointId]

    /** Returns all endpoints that were ever claimed, in the order of their identifiers. */
    public fun endpoints(): List<EndpointEntry> = endpoints.values().sortedBy { it.endpointId.value }

    /** Returns the replica set of [key], empty when nothing was ever decided on it. */
    public fun replicaSet(key: ReplicaKey): ReplicaSet = replicaSets[key] ?: ReplicaSet(key)

    /** Returns the endpoints at which [artifact] was seen loaded and no unload is decided. */
    public fun loadedAt(artifact: Artifact): List<EndpointId> =
        replicaSet(artifact.replicaKey).endpointIds.filter {
            endpoint(it)?.reservationOf(artifact)?.phase == ReservationPhase.LOADED
        }

    /** Applies the record at [offset] and returns the verdict; throws when [offset] was already passed. */
    public fun apply(offset: Long, record: PlacementRecord): AppliedRecord {
        skipTo(offset)
        nextOffset = offset + 1
        val next = next(offset, record).onSuccess { commit(offset, record, it) }
        return AppliedRecord(offset, record, next.getError(), endpoint(record.endpointId)?.owner)
    }

    /** Passes over offsets that hold no placement record; throws when [offset] was already passed. */
    public fun skipTo(offset: Long) {
        require(offset >= nextOffset) { "expected offset $nextOffset or later, got $offset" }
        nextOffset = offset
    }

    /** Returns the refusal that [record] would meet if it were the next one, or null. */
    public fun refusalOf(record: PlacementRecord): RecordRefusal? = next(nextOffset, record).getError()

    internal fun restore(snapshot: LedgerSnapshot) {
        snapshot.endpoints.forEach { endpoints[it.endpointId] = it }
        snapshot.replicaSets.forEach { replicaSets[it.key] = it }
        nextOffset = snapshot.nextOffset
    }

    internal fun replicaSets(): List<ReplicaSet> =
        replicaSets.values().sortedWith(compareBy({ it.key.modelId.value }, { it.key.adapterId?.value.orEmpty() }))

    private fun next(offset: Long, record: PlacementRecord): Result<EndpointEntry, RecordRefusal> {
        val entry = endpoints[record.endpointId]
        return when (record) {
            is Claim -> claimed(offset, record, entry)
            is Withdrawn -> entry.known(record).map { it.settleOrders(record.settledOrders.toSet(), NO_FENCE) }
            is Relinquish -> entry.ownedUnder(record.fence, record).map { it.copy(owner = null, fence = offset) }
            is DecideLoad -> entry.ownedUnder(record.fence, record)
                .andThen { it.decideLoad(offset, record, replicaSet(record.artifact.replicaKey)) }
            is DecideUnload -> entry.ownedUnder(record.fence, record)
                .andThen { it.decideUnload(record, replicaSet(record.artifact.replicaKey)) }
            is Observed -> entry.ownedUnder(record.fence, record).andThen { it.observe(record) }
        }
    }

    private fun commit(offset: Long, record: PlacementRecord, entry: EndpointEntry) {
        val before = endpoints[entry.endpointId]
        endpoints[entry.endpointId] = entry.copy(lastOffset = offset)
        record.decidedArtifact?.replicaKey?.let { replicaSets[it] = replicaSet(it).copy(revision = offset) }
        updateReplicaSets(before, entry)
    }

    private fun updateReplicaSets(before: EndpointEntry?, after: EndpointEntry) {
        val keysBefore = before?.reservations.orEmpty().mapTo(HashSet()) { it.artifact.replicaKey }
        val keysAfter = after.reservations.mapTo(HashSet()) { it.artifact.replicaKey }
        (keysBefore - keysAfter).forEach { key ->
            replicaSets[key] = replicaSet(key).let { it.copy(endpointIds = it.endpointIds - after.endpointId) }
        }
        (keysAfter - keysBefore).forEach { key ->
            replicaSets[key] = replicaSet(key).let { it.copy(endpointIds = it.endpointIds + after.endpointId) }
        }
    }
}
