/*
 * An in-memory log with retention for tests.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.daisybend.kernel.Failure
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.LogStream

internal class FakeLog {
    private class StoredRecord(val atMs: Long, val record: LogRecord)

    private val streams = HashMap<LogStream, ArrayDeque<StoredRecord>>()
    private val nextOffsets = HashMap<LogStream, Long>()

    fun append(stream: LogStream, payload: ByteArray, nowMs: Long): Long {
        val offset = nextOffset(stream)
        streams.getOrPut(stream) { ArrayDeque() } += StoredRecord(nowMs, LogRecord(offset, payload))
        nextOffsets[stream] = offset + 1
        return offset
    }

    fun nextOffset(stream: LogStream): Long = nextOffsets[stream] ?: 0

    /** Drops records that are older than [beforeMs], in the configuration stream only those before [readOffset]. */
    fun expire(beforeMs: Long, readOffset: Long) = streams.forEach { (stream, storedRecords) ->
        val limit = if (stream == CONFIGURATION_STREAM) readOffset else Long.MAX_VALUE
        while (storedRecords.isNotEmpty() &&
            storedRecords.first().atMs < beforeMs &&
            storedRecords.first().record.offset < limit
        ) {
            storedRecords.removeFirst()
        }
    }

    fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): Result<LogBatch, LogFailure> {
        val storedRecords: List<StoredRecord> = streams[stream].orEmpty()
        val next = nextOffset(stream)
        val first = storedRecords.firstOrNull()?.record?.offset ?: next
        if (fromOffset < first) return Err(LogFailure.Expired(fromOffset, first))
        val start = (fromOffset - first).toInt().coerceAtMost(storedRecords.size)
        val records = storedRecords.subList(start, minOf(start + maxRecords, storedRecords.size)).map { it.record }
        return Ok(LogBatch(records, first, next))
    }
}

/** Runs a snapshot search to its last step. */
internal fun findSnapshot(read: (Long, Int) -> Result<LogBatch, LogFailure>): SnapshotReaderStep {
    val reader = SnapshotReader()
    var step = reader.handle(SnapshotReaderEvent.Start)
    while (step is SnapshotReaderStep.Read) {
        val answer = read(step.fromOffset, step.maxRecords)
        step = reader.handle(answer.mapBoth({ SnapshotReaderEvent.Read(it) }, { SnapshotReaderEvent.ReadFailed(it) }))
    }
    return step
}

/** Returns the value of a result; throws [AssertionError] if it is a failure. */
internal fun <V> Result<V, Failure>.expectOk(): V = getOrElse { throw AssertionError(it.message) }
