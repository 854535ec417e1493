/*
 * Keeps the most recent records that a VM replayed, to pass them on to VMs that cannot read the log.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogRecord

internal class RecentRecords(private val maxBytes: Int = MAX_KEPT_BYTES) {
    private val records = ArrayDeque<LogRecord>()
    private var sizeBytes = 0
    private var fromOffset = 0L
    private var nextOffset = 0L

    /** Drops all records and continues at [offset]. */
    fun resetTo(offset: Long) {
        records.clear()
        sizeBytes = 0
        fromOffset = offset
        nextOffset = offset
    }

    fun add(record: LogRecord) {
        records += record
        sizeBytes += record.payload.size
        nextOffset = record.offset + 1
        while (sizeBytes > maxBytes) {
            val dropped = records.removeFirst()
            sizeBytes -= dropped.payload.size
            fromOffset = dropped.offset + 1
        }
    }

    /** Returns the records from [offset] on that fit one message, at least one if any; null if [offset] is not kept. */
    fun readFrom(offset: Long): PassedRecords? {
        if (offset < fromOffset || offset > nextOffset) return null
        val passedRecords = mutableListOf<PassedRecord>()
        var passedBytes = 0
        var index = records.binarySearchBy(offset) { it.offset }.let { if (it < 0) -it - 1 else it }
        while (index < records.size) {
            val record = records[index]
            if (passedRecords.isNotEmpty() && passedBytes + record.payload.size > MAX_MESSAGE_RECORD_BYTES) break
            passedRecords += PassedRecord(record.offset, record.payload)
            passedBytes += record.payload.size
            index += 1
        }
        val passedTo = if (index < records.size) records[index].offset else nextOffset
        return PassedRecords(passedRecords, passedTo)
    }

    private companion object {
        const val MAX_KEPT_BYTES = 4 * 1024 * 1024
        const val MAX_MESSAGE_RECORD_BYTES = 64 * 1024
    }
}

internal class PassedRecords(val records: List<PassedRecord>, val passedTo: Long)
