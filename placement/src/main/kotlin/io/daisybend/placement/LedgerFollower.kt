/*
 * Follows the placement stream into a ledger, without I/O of its own: it says what to read next and takes what came.
 * When the records that it needs have expired it restores the newest whole snapshot and goes on from there. It is not
 * caught up before it has read to the end of the stream, and never on a partial snapshot.
 */
package io.daisybend.placement

import com.github.michaelbull.result.mapBoth
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream

/** What a follower wants to read. */
public data class FollowerRead(val stream: LogStream, val fromOffset: Long)

/** Folds what is read from the log into [ledger]. One thread feeds it. */
public class LedgerFollower(public val ledger: PlacementLedger = PlacementLedger()) {
    private class Restore(val firstKeptOffset: Long) {
        val assembler = SnapshotAssembler()
        var fromOffset = 0L
    }

    private var restore: Restore? = null

    /** True once the follower has read to the end of the stream since it started or restored a snapshot. */
    @Volatile
    public var isCaughtUp: Boolean = false
        private set

    /** The number of payloads that were not placement records. */
    @Volatile
    public var malformedRecords: Long = 0
        private set

    /** Returns what to read next. */
    public fun nextRead(): FollowerRead =
        restore?.let { FollowerRead(PLACEMENT_SNAPSHOT_STREAM, it.fromOffset) }
            ?: FollowerRead(PLACEMENT_STREAM, ledger.nextOffset)

    /** Takes the answer to [read] and returns the records that were applied. */
    public fun handleBatch(read: FollowerRead, batch: LogBatch): List<AppliedRecord> {
        if (read != nextRead()) return emptyList()
        restore?.let { return takeSnapshot(it, batch) }
        val applied = batch.records.mapNotNull { record ->
            decodePlacementRecord(record.payload).mapBoth(
                success = { ledger.apply(record.offset, it) },
                failure = { passOver(record.offset) },
            )
        }
        if (ledger.nextOffset >= batch.nextOffset) isCaughtUp = true
        return applied
    }

    /** Takes the failure of [read]; expired records make the follower look for a snapshot. */
    public fun handleReadFailure(read: FollowerRead, failure: LogFailure) {
        if (failure !is LogFailure.Expired || read != nextRead()) return
        val restoring = restore
        if (restoring == null) {
            isCaughtUp = false
            restore = Restore(firstKeptOffset = failure.firstOffset)
        } else {
            restoring.fromOffset = failure.firstOffset
        }
    }

    private fun passOver(offset: Long): AppliedRecord? {
        malformedRecords++
        ledger.skipTo(offset + 1)
        return null
    }

    private fun takeSnapshot(restoring: Restore, batch: LogBatch): List<AppliedRecord> {
        batch.records.forEach { restoring.assembler.add(it.payload) }
        restoring.fromOffset = batch.records.lastOrNull()?.let { it.offset + 1 } ?: batch.nextOffset
        if (restoring.fromOffset < batch.nextOffset) return emptyList()
        val snapshot = restoring.assembler.newestSnapshot ?: return emptyList()
        if (snapshot.nextOffset < restoring.firstKeptOffset) return emptyList()
        ledger.restore(snapshot)
        restore = null
        return emptyList()
    }
}
