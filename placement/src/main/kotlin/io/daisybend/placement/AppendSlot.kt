/*
 * Tracks the single append that an owner has in flight. An append with an unknown outcome is abandoned only after a
 * read that began later reaches the end of the stream without finding the record. If the record is appended after that,
 * the ledger refuses it or, if no record with the same precondition came first, accepts it once.
 */
package io.daisybend.placement

internal class AppendSlot(private val recordIdPrefix: String, private val retryDelayMs: Long) {
    private class Pending(val record: PlacementRecord, var unknownSinceMs: Long? = null)

    private var pending: Pending? = null
    private var nextNumber = 0L
    private var nextAppendAtMs = 0L

    fun isFree(nowMs: Long): Boolean = pending == null && nowMs >= nextAppendAtMs

    fun nextRecordId(): RecordId = RecordId("$recordIdPrefix/${nextNumber++}")

    fun start(record: PlacementRecord) {
        pending = Pending(record)
    }

    /** Handles the answer of the log; returns the record if its append is abandoned, else null. */
    fun handleAnswer(event: OwnerEvent.AppendAnswered, nowMs: Long): PlacementRecord? {
        val matching = pending?.takeIf { it.record.recordId == event.recordId } ?: return null
        if (event.answer == AppendAnswer.UNKNOWN) matching.unknownSinceMs = nowMs
        return if (event.answer == AppendAnswer.NOT_APPENDED) abandon(matching, nowMs) else null
    }

    /** Handles a record that the ledger applied or refused; returns whether it is the append in flight. */
    fun handleApplied(recordId: RecordId): Boolean {
        if (pending?.record?.recordId != recordId) return false
        pending = null
        return true
    }

    /**
     * Handles a read that began at [readAtMs] and reached the end of the stream; returns the record if its append is
     * abandoned, else null.
     */
    fun handleTailRead(readAtMs: Long, nowMs: Long): PlacementRecord? {
        val current = pending ?: return null
        val unknownSinceMs = current.unknownSinceMs ?: return null
        return if (readAtMs > unknownSinceMs) abandon(current, nowMs) else null
    }

    private fun abandon(abandoned: Pending, nowMs: Long): PlacementRecord {
        pending = null
        nextAppendAtMs = nowMs + retryDelayMs
        return abandoned.record
    }
}
