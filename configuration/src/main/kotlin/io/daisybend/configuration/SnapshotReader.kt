/*
 * Finds the newest complete snapshot in the log. It reads a window at the end of the stream and widens the window
 * towards the first kept record until a snapshot is complete and matches its hash.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.get
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure

/** An event that a [SnapshotReader] handles. */
public sealed interface SnapshotReaderEvent {
    /** Starts the search. */
    public data object Start : SnapshotReaderEvent

    /** The last read returned [batch]. */
    public class Read(public val batch: LogBatch) : SnapshotReaderEvent

    /** The last read failed. */
    public data class ReadFailed(val failure: LogFailure) : SnapshotReaderEvent
}

/** The next step of a [SnapshotReader]. */
public sealed interface SnapshotReaderStep {
    /** Read at most [maxRecords] records of the snapshot stream from [fromOffset] on. */
    public data class Read(val fromOffset: Long, val maxRecords: Int) : SnapshotReaderStep

    /** The search ended; the newest complete snapshot holds [state]. */
    public class Found(public val state: ConfigurationState) : SnapshotReaderStep

    /** The search ended; the log holds no complete snapshot. */
    public data object Missing : SnapshotReaderStep

    /** The search ended because a read failed. */
    public data class Failed(val failure: LogFailure) : SnapshotReaderStep
}

/** Searches the snapshot stream once. */
public class SnapshotReader {
    private val assemblies = LinkedHashMap<ContentHash, SnapshotAssembly>()
    private var windowRecords = INITIAL_WINDOW_RECORDS
    private var windowStart: Long? = null
    private var nextReadOffset = 0L

    /** Handles [event] and returns the next step. */
    public fun handle(event: SnapshotReaderEvent): SnapshotReaderStep = when (event) {
        SnapshotReaderEvent.Start -> SnapshotReaderStep.Read(fromOffset = 0, maxRecords = 1)
        is SnapshotReaderEvent.Read ->
            if (windowStart == null) startWindow(event.batch) else continueWindow(event.batch)
        is SnapshotReaderEvent.ReadFailed -> handleReadFailed(event.failure)
    }

    private fun handleReadFailed(failure: LogFailure): SnapshotReaderStep {
        if (failure !is LogFailure.Expired) return SnapshotReaderStep.Failed(failure)
        windowStart = null
        return SnapshotReaderStep.Read(failure.firstOffset, maxRecords = 1)
    }

    private fun startWindow(batch: LogBatch): SnapshotReaderStep {
        assemblies.clear()
        if (batch.nextOffset <= batch.firstOffset) return SnapshotReaderStep.Missing
        val start = maxOf(batch.firstOffset, batch.nextOffset - windowRecords)
        windowStart = start
        nextReadOffset = start
        return SnapshotReaderStep.Read(start, MAX_READ_RECORDS)
    }

    private fun continueWindow(batch: LogBatch): SnapshotReaderStep {
        batch.records.forEach { record -> decodeChunk(record.payload).get()?.let { addChunk(it) } }
        nextReadOffset = batch.records.lastOrNull()?.let { it.offset + 1 } ?: batch.nextOffset
        if (nextReadOffset < batch.nextOffset) return SnapshotReaderStep.Read(nextReadOffset, MAX_READ_RECORDS)
        val found = newestComplete()
        val start = windowStart ?: batch.firstOffset
        return when {
            found != null -> SnapshotReaderStep.Found(found)
            start <= batch.firstOffset -> SnapshotReaderStep.Missing
            else -> {
                windowRecords *= 2
                startWindow(batch)
            }
        }
    }

    private fun addChunk(chunk: SnapshotChunk) {
        val existing = assemblies[chunk.contentHash]
        if (existing != null) return existing.addChunk(chunk)
        val started = SnapshotAssembly.startWith(chunk) ?: return
        assemblies[chunk.contentHash] = started
        if (assemblies.size > MAX_ASSEMBLIES) dropOldestAssembly()
    }

    private fun dropOldestAssembly() {
        val newestComplete = assemblies.values.filter { it.isComplete }.maxByOrNull { it.nextOffset }
        val oldest = assemblies.values.filter { it !== newestComplete }.minByOrNull { it.nextOffset } ?: return
        assemblies.remove(oldest.contentHash)
    }

    private fun newestComplete(): ConfigurationState? = assemblies.values
        .filter { it.isComplete }
        .sortedByDescending { it.nextOffset }
        .firstNotNullOfOrNull { it.toState().get() }

    private companion object {
        const val INITIAL_WINDOW_RECORDS = 32L
        const val MAX_READ_RECORDS = 32
        const val MAX_ASSEMBLIES = 4
    }
}
