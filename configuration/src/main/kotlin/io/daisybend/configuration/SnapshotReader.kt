/*
 * Finds the newest whole snapshot in the log. It reads a window at the end of the stream and widens it towards the
 * first kept record until a snapshot is whole and matches its hash.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.get
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure

/** What a [SnapshotReader] is told. */
public sealed interface SnapshotReaderEvent {
    /** Starts the search. */
    public data object Start : SnapshotReaderEvent

    /** The log answered the last read. */
    public class Read(public val batch: LogBatch) : SnapshotReaderEvent

    /** The last read failed. */
    public data class ReadFailed(val failure: LogFailure) : SnapshotReaderEvent
}

/** What a [SnapshotReader] wants next. */
public sealed interface SnapshotReaderStep {
    /** Read at most [maxRecords] records of the snapshot stream from [fromOffset]. */
    public data class Read(val fromOffset: Long, val maxRecords: Int) : SnapshotReaderStep

    /** The newest whole snapshot is [state]. */
    public class Found(public val state: ConfigurationState) : SnapshotReaderStep

    /** The log holds no whole snapshot. */
    public data object Missing : SnapshotReaderStep

    /** The log did not answer. */
    public data class Failed(val failure: LogFailure) : SnapshotReaderStep
}

/** Searches the snapshot stream once. */
public class SnapshotReader {
    private val assemblies = LinkedHashMap<ContentHash, SnapshotAssembly>()
    private var window = FIRST_WINDOW_RECORDS
    private var windowStart: Long? = null
    private var position = 0L

    /** Takes [event] and returns the next step. */
    public fun handle(event: SnapshotReaderEvent): SnapshotReaderStep = when (event) {
        SnapshotReaderEvent.Start -> SnapshotReaderStep.Read(fromOffset = 0, maxRecords = 1)
        is SnapshotReaderEvent.Read -> if (windowStart == null) openWindow(event.batch) else readOn(event.batch)
        is SnapshotReaderEvent.ReadFailed -> readFailed(event.failure)
    }

    private fun readFailed(failure: LogFailure): SnapshotReaderStep {
        if (failure !is LogFailure.Expired) return SnapshotReaderStep.Failed(failure)
        windowStart = null
        return SnapshotReaderStep.Read(failure.firstOffset, maxRecords = 1)
    }

    private fun openWindow(batch: LogBatch): SnapshotReaderStep {
        assemblies.clear()
        if (batch.nextOffset <= batch.firstOffset) return SnapshotReaderStep.Missing
        val start = maxOf(batch.firstOffset, batch.nextOffset - window)
        windowStart = start
        position = start
        return SnapshotReaderStep.Read(start, READ_RECORDS)
    }

    private fun readOn(batch: LogBatch): SnapshotReaderStep {
        batch.records.forEach { record -> decodeChunk(record.payload).get()?.let { take(it) } }
        position = batch.records.lastOrNull()?.let { it.offset + 1 } ?: batch.nextOffset
        if (position < batch.nextOffset) return SnapshotReaderStep.Read(position, READ_RECORDS)
        val found = newestWhole()
        val start = windowStart ?: batch.firstOffset
        return when {
            found != null -> SnapshotReaderStep.Found(found)
            start <= batch.firstOffset -> SnapshotReaderStep.Missing
            else -> {
                window *= 2
                openWindow(batch)
            }
        }
    }

    private fun take(chunk: SnapshotChunk) {
        val known = assemblies[chunk.contentHash]
        if (known != null) return known.take(chunk)
        val started = SnapshotAssembly.startedWith(chunk) ?: return
        assemblies[chunk.contentHash] = started
        if (assemblies.size > MAX_ASSEMBLIES) dropOldest()
    }

    private fun dropOldest() {
        val newestWhole = assemblies.values.filter { it.isWhole }.maxByOrNull { it.nextOffset }
        val oldest = assemblies.values.filter { it !== newestWhole }.minByOrNull { it.nextOffset } ?: return
        assemblies.remove(oldest.contentHash)
    }

    private fun newestWhole(): ConfigurationState? = assemblies.values
        .filter { it.isWhole }
        .sortedByDescending { it.nextOffset }
        .firstNotNullOfOrNull { it.state().get() }

    private companion object {
        const val FIRST_WINDOW_RECORDS = 32L
        const val READ_RECORDS = 32
        const val MAX_ASSEMBLIES = 4
    }
}
