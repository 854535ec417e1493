/*
 * Finds the state from which the shard stream can be replayed: the beginning of the stream, the first complete snapshot
 * in the log or, if neither is kept, an empty state after every possible lease has ended. The log has to retain records
 * for longer than a lease can be extended.
 */
package io.daisybend.rates

internal class ShardReplay(private val settings: RateSettings) {
    private var scanOffset = 0L
    private var foundHistoryLost: ShardRecord.HistoryLost? = null
    private var scannedRecords = 0
    private var scannedToTailSinceMs: Long? = null

    /** The replayed state; null until a starting point has been found. */
    var table: ShardTable? = null
        private set

    /** The offset from which the next log read has to start. */
    val readFromOffset: Long get() = table?.nextOffset ?: scanOffset

    fun restart() {
        table = null
        scanOffset = 0
        foundHistoryLost = null
        scannedRecords = 0
        scannedToTailSinceMs = null
    }

    /** Searches a batch of the log for a starting point; returns the initial state, or null if there is none yet. */
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
            ?: keptRecords
                .filterIsInstance<ShardRecord.HistoryLost>()
                .firstOrNull { it.nextOffset >= event.firstOffset }
        scanOffset = event.records.lastOrNull()?.let { it.offset + 1 } ?: maxOf(scanOffset, event.firstOffset)
        if (scanOffset < event.nextOffset) return null
        if (scannedToTailSinceMs == null) scannedToTailSinceMs = nowMs
        return foundHistoryLost?.let { ShardTable.empty(it.nextOffset, lostHistory = true) }
    }

    /** Returns the record that declares older records lost, or null while the lease of some holder may still run. */
    fun historyLostRecord(nowMs: Long): ShardRecord.HistoryLost? {
        val sinceMs = scannedToTailSinceMs ?: return null
        val maxLeaseMs = if (scannedRecords == 0) settings.leaseExpiryMs else settings.extensionExpiryMs
        if (nowMs < sinceMs + maxLeaseMs) return null
        scannedToTailSinceMs = nowMs
        return ShardRecord.HistoryLost(scanOffset)
    }
}
