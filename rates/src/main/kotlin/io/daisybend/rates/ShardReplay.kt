/*
 * Finds the state from which the shard stream can be replayed: the stream's beginning, the first whole snapshot that is
 * still kept, or, when the log has outlived all of them, an empty state after every possible term has ended. The log
 * has to keep records for longer than a term can be extended.
 */
package io.daisybend.rates

internal class ShardReplay(private val settings: RateSettings) {
    private var scanOffset = 0L
    private var foundHistoryLost: ShardRecord.HistoryLost? = null
    private var scannedRecords = 0
    private var scannedToTailSinceMs: Long? = null

    /** The replayed state, null until a start has been found. */
    var table: ShardTable? = null
        private set

    /** The offset from which the log has to be read next. */
    val readFromOffset: Long get() = table?.nextOffset ?: scanOffset

    fun restart() {
        table = null
        scanOffset = 0
        foundHistoryLost = null
        scannedRecords = 0
        scannedToTailSinceMs = null
    }

    /** Looks for a start in the order of the log; returns the state once there is one. */
    fun scan(event: ShardEvent.LogRead, nowMs: Long): ShardTable? {
        table = findStart(event, nowMs)
        return table
    }

    private fun findStart(event: ShardEvent.LogRead, nowMs: Long): ShardTable? {
        if (event.firstOffset == 0L) return ShardTable.empty(nextOffset = 0, lostHistory = false)
        val keptRecords = event.records.mapNotNull { it.record }
        scannedRecords += keptRecords.count { it !is ShardRecord.HistoryLost }
        val snapshot = keptRecords.firstOrNull { it is ShardRecord.Snapshot && it.nextOffset >= event.firstOffset }
        if (snapshot is ShardRecord.Snapshot) return ShardTable.restore(snapshot)
        foundHistoryLost = foundHistoryLost
            ?: keptRecords.filterIsInstance<ShardRecord.HistoryLost>().firstOrNull { it.nextOffset >= event.firstOffset }
        scanOffset = event.records.lastOrNull()?.let { it.offset + 1 } ?: maxOf(scanOffset, event.firstOffset)
        if (scanOffset < event.nextOffset) return null
        if (scannedToTailSinceMs == null) scannedToTailSinceMs = nowMs
        return foundHistoryLost?.let { ShardTable.empty(it.nextOffset, lostHistory = true) }
    }

    /** Returns the record that declares older records lost, once no holder's term can run any more. */
    fun historyLostRecord(nowMs: Long): ShardRecord.HistoryLost? {
        val sinceMs = scannedToTailSinceMs ?: return null
        val maxLeaseMs = if (scannedRecords == 0) settings.leaseExpiryMs else settings.extensionExpiryMs
        if (nowMs < sinceMs + maxLeaseMs) return null
        scannedToTailSinceMs = nowMs
        return ShardRecord.HistoryLost(scanOffset)
    }
}
