/*
 * The placement ledger: the state that results from applying the placement stream in order. It is deterministic:
 * readers that applied the same offsets hold the same state. A record is accepted only if the precondition that its
 * writer stated still holds. Of two records that race, one is accepted and the other refused with a typed reason, on
 * all readers alike. One thread applies records; any thread may read.
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

/** A record at its offset; [refusal] is null if the ledger accepted it, and [owner] owned the endpoint afterwards. */
public data class AppliedRecord(
    val offset: Long,
    val record: PlacementRecord,
    val refusal: RecordRefusal?,
    val owner: OwnerId?,
)

/** Holds the owners, reservations and replica sets that result from the placement records. */
public class PlacementLedger {
    private val endpoints = ShardedMap<EndpointId, EndpointEntry>()
    private val replicaSets = ShardedMap<ReplicaKey, ReplicaSet>()

    /** The offset of the next record to apply. */
    @Volatile
    public var nextOffset: Long = 0
        private set

    /** Returns the entry of [endpointId], or null if the endpoint was never claimed. */
    public fun endpoint(endpointId: EndpointId): EndpointEntry? = endpoints[endpointId]

    /** Returns the entries of all endpoints that were ever claimed, sorted by identifier. */
    public fun endpoints(): List<EndpointEntry> = endpoints.values().sortedBy { it.endpointId.value }

    /** Returns the replica set of [key], empty if no decision on it was ever accepted. */
    public fun replicaSet(key: ReplicaKey): ReplicaSet = replicaSets[key] ?: ReplicaSet(key)

    /** Returns the endpoints whose engines reported [artifact] as loaded and for which no unload is decided. */
    public fun loadedAt(artifact: Artifact): List<EndpointId> =
        replicaSet(artifact.replicaKey).endpointIds.filter {
            endpoint(it)?.reservationOf(artifact)?.phase == ReservationPhase.LOADED
        }

    /** Applies the record at [offset] if its precondition holds; throws if [offset] was already passed. */
    public fun apply(offset: Long, record: PlacementRecord): AppliedRecord {
        skipTo(offset)
        nextOffset = offset + 1
        val result = evaluate(offset, record).onSuccess { commit(offset, record, it) }
        return AppliedRecord(offset, record, result.getError(), endpoint(record.endpointId)?.owner)
    }

    /** Skips to [offset] over offsets without a placement record; throws if [offset] was already passed. */
    public fun skipTo(offset: Long) {
        require(offset >= nextOffset) { "expected offset $nextOffset or later, got $offset" }
        nextOffset = offset
    }

    /** Returns the reason to refuse [record] if it were the next one, or null if it would be accepted. */
    public fun refusalOf(record: PlacementRecord): RecordRefusal? = evaluate(nextOffset, record).getError()

    internal fun restore(snapshot: LedgerSnapshot) {
        snapshot.endpoints.forEach { endpoints[it.endpointId] = it }
        snapshot.replicaSets.forEach { replicaSets[it.key] = it }
        nextOffset = snapshot.nextOffset
    }

    internal fun replicaSets(): List<ReplicaSet> =
        replicaSets.values().sortedWith(compareBy({ it.key.modelId.value }, { it.key.adapterId?.value.orEmpty() }))

    private fun evaluate(offset: Long, record: PlacementRecord): Result<EndpointEntry, RecordRefusal> {
        val entry = endpoints[record.endpointId]
        return when (record) {
            is Claim -> applyClaim(offset, record, entry)
            is Withdrawn -> entry.requireClaimed(record)
                .map { it.withoutSettledOrders(record.settledOrders.toSet(), NO_FENCE) }
            is Relinquish -> entry.requireOwned(record.fence, record).map { it.copy(owner = null, fence = offset) }
            is DecideLoad -> entry.requireOwned(record.fence, record)
                .andThen { it.applyLoadDecision(offset, record, replicaSet(record.artifact.replicaKey)) }
            is DecideUnload -> entry.requireOwned(record.fence, record)
                .andThen { it.applyUnloadDecision(record, replicaSet(record.artifact.replicaKey)) }
            is Observed -> entry.requireOwned(record.fence, record).andThen { it.applyObservation(record) }
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
