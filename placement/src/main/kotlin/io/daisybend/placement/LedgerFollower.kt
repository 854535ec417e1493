/*
 * Keeps a ledger up to date with the placement stream. It does no I/O: it returns the next read and handles the result.
 * When the next records have expired, it restores the newest complete snapshot and continues from there. It is caught
 * up only after it has read to the end of the stream, and it never uses an incomplete snapshot.
 */
package io.daisybend.placement

import com.github.michaelbull.result.mapBoth
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream

/** A read that a follower needs next. */
public data class FollowerRead(val stream: LogStream, val fromOffset: Long)

/** Applies the records that are read from the log to [ledger]. Only one thread may call it at a time. */
public class LedgerFollower(public val ledger: PlacementLedger = PlacementLedger()) {
    private class SnapshotRestore(val firstKeptOffset: Long) {
        val assembler = SnapshotAssembler()
        var fromOffset = 0L
    }

    private var restore: SnapshotRestore? = null

    /** Whether the follower has read to the end of the stream since it started or since records expired. */
    @Volatile
    public var isCaughtUp: Boolean = false
        private set

    /** The number of payloads that were not placement records. */
    @Volatile
    public var malformedRecords: Long = 0
        private set

    /** Returns the next read. */
    public fun nextRead(): FollowerRead =
        restore?.let { FollowerRead(PLACEMENT_SNAPSHOT_STREAM, it.fromOffset) }
            ?: FollowerRead(PLACEMENT_STREAM, ledger.nextOffset)

    /** Handles the result of [read] and returns the records that it applied; ignores the result of an outdated read. */
    public fun handleBatch(read: FollowerRead, batch: LogBatch): List<AppliedRecord> {
        if (read != nextRead()) return emptyList()
        restore?.let { return handleSnapshotBatch(it, batch) }
        val applied = batch.records.mapNotNull { record ->
            decodePlacementRecord(record.payload).mapBoth(
                success = { ledger.apply(record.offset, it) },
                failure = { skipMalformed(record.offset) },
            )
        }
        if (ledger.nextOffset >= batch.nextOffset) isCaughtUp = true
        return applied
    }

    /** Handles the failure of [read]; starts a snapshot restore if the records have expired. */
    public fun handleReadFailure(read: FollowerRead, failure: LogFailure) {
        if (failure !is LogFailure.Expired || read != nextRead()) return
        val currentRestore = restore
        if (currentRestore == null) {
            isCaughtUp = false
            restore = SnapshotRestore(firstKeptOffset = failure.firstOffset)
        } else {
            currentRestore.fromOffset = failure.firstOffset
        }
    }

    private fun skipMalformed(offset: Long): AppliedRecord? {
        malformedRecords++
        ledger.skipTo(offset + 1)
        return null
    }

    private fun handleSnapshotBatch(currentRestore: SnapshotRestore, batch: LogBatch): List<AppliedRecord> {
        batch.records.forEach { currentRestore.assembler.add(it.payload) }
        currentRestore.fromOffset = batch.records.lastOrNull()?.let { it.offset + 1 } ?: batch.nextOffset
        if (currentRestore.fromOffset < batch.nextOffset) return emptyList()
        val snapshot = currentRestore.assembler.newestSnapshot ?: return emptyList()
        if (snapshot.nextOffset < currentRestore.firstKeptOffset) return emptyList()
        ledger.restore(snapshot)
        restore = null
        return emptyList()
    }
}
