/*
 * The one append that an owner has under way. An append whose outcome is unknown is settled by reading: it is given up
 * only when a read that began later reached the end of the stream without it. Should it land after that, the fold
 * refuses it or, if nothing came between, accepts it once.
 */
package io.daisybend.placement

internal class AppendSlot(private val recordIdPrefix: String, private val retryDelayMs: Long) {
    private class Pending(val record: PlacementRecord, var unknownSinceMs: Long? = null)

    private var pending: Pending? = null
    private var nextNumber = 0L
    private var freeAtMs = 0L

    fun isFree(nowMs: Long): Boolean = pending == null && nowMs >= freeAtMs

    fun nextRecordId(): RecordId = RecordId("$recordIdPrefix/${nextNumber++}")

    fun put(record: PlacementRecord) {
        pending = Pending(record)
    }

    /** Takes an answer and returns the record if it is given up. */
    fun answered(event: OwnerEvent.AppendAnswered, nowMs: Long): PlacementRecord? {
        val own = pending?.takeIf { it.record.recordId == event.recordId } ?: return null
        if (event.answer == AppendAnswer.UNKNOWN) own.unknownSinceMs = nowMs
        return if (event.answer == AppendAnswer.NOT_APPENDED) giveUp(own, nowMs) else null
    }

    /** Notes that the fold has met [recordId]; true when it is the append under way. */
    fun applied(recordId: RecordId): Boolean {
        if (pending?.record?.recordId != recordId) return false
        pending = null
        return true
    }

    /** Notes that a read that began at [readAtMs] reached the end and returns the record if it is given up. */
    fun tailRead(readAtMs: Long, nowMs: Long): PlacementRecord? {
        val own = pending ?: return null
        val unknownSinceMs = own.unknownSinceMs ?: return null
        return if (readAtMs > unknownSinceMs) giveUp(own, nowMs) else null
    }

    private fun giveUp(given: Pending, nowMs: Long): PlacementRecord {
        pending = null
        freeAtMs = nowMs + retryDelayMs
        return given.record
    }
}
