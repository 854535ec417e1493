/*
 * An in-memory log that simulates outages and lost append responses.
 */
package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.PlatformLog

internal class FakeLog : PlatformLog {
    private val streams = HashMap<LogStream, MutableList<LogRecord>>()

    @Volatile
    var isDown = false

    @Volatile
    var responsesToLose = 0

    @Synchronized
    private fun store(stream: LogStream, payload: ByteArray): Long {
        val records = streams.getOrPut(stream) { mutableListOf() }
        records += LogRecord(records.size.toLong(), payload)
        return records.size - 1L
    }

    override suspend fun append(stream: LogStream, payload: ByteArray): Result<Long, LogFailure> {
        if (isDown) return Err(LogFailure.Unavailable("expected the log to be up"))
        val offset = store(stream, payload)
        if (responsesToLose-- > 0) return Err(LogFailure.OutcomeUnknown("expected an answer, it was lost"))
        return Ok(offset)
    }

    @Synchronized
    private fun recordsOf(stream: LogStream): List<LogRecord> = streams[stream].orEmpty().toList()

    override suspend fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): Result<LogBatch, LogFailure> {
        if (isDown) return Err(LogFailure.Unavailable("expected the log to be up"))
        val records = recordsOf(stream)
        val batch = records.drop(fromOffset.toInt()).take(maxRecords)
        return Ok(LogBatch(batch, firstOffset = 0L, nextOffset = records.size.toLong()))
    }
}
