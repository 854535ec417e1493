/*
 * Writes snapshots to the log after a number of records or a time since the last one, well before the retention period
 * of the log ends. The live VM with the best rendezvous rank writes; the VM of the next rank takes over after a delay.
 * The marker in the configuration stream is appended only after all chunks have been appended. A writer that crashes
 * halfway therefore leaves only chunks that no reader uses until chunks of the same content from the next writer
 * complete them.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

/** An event that a [SnapshotWriter] handles. */
public sealed interface SnapshotWriterEvent {
    /**
     * Time has passed; [state] is null unless the log confirmed it, and [liveVms] are all live VMs including this one.
     */
    public class Tick(public val state: ConfigurationState?, public val liveVms: List<VmId>) : SnapshotWriterEvent

    /** The append succeeded. */
    public data object Appended : SnapshotWriterEvent

    /** The append failed. */
    public data class AppendFailed(val failure: LogFailure) : SnapshotWriterEvent
}

/** Asks the runtime to append [payload] to [stream]. */
public class SnapshotAppend(public val stream: LogStream, public val payload: ByteArray)

/** When snapshots are written. [intervalMs] must be at most a quarter of the retention period of the log. */
public data class SnapshotSettings(
    val maxRecords: Long = 1_000,
    val intervalMs: Long = 30 * 60 * 1_000L,
    val takeoverDelayMs: Long = 15_000,
    val retryIntervalMs: Long = 1_000,
    val chunkBytes: Int = CHUNK_BYTES,
)

/** Writes snapshots on the VM [vmId]. */
public class SnapshotWriter(private val vmId: VmId, private val settings: SnapshotSettings = SnapshotSettings()) {
    private class PendingWrite(val appends: List<SnapshotAppend>, var nextIndex: Int = 0, var retryAtMs: Long? = null)

    private var dueSinceMs: Long? = null
    private var writeStartedAtMs: Long? = null
    private var pendingWrite: PendingWrite? = null

    /** Handles [event] and returns the next append, or null if there is none now. */
    public fun handle(event: SnapshotWriterEvent, nowMs: Long): SnapshotAppend? = when (event) {
        is SnapshotWriterEvent.Tick -> handleTick(event, nowMs)
        SnapshotWriterEvent.Appended -> handleAppended()
        is SnapshotWriterEvent.AppendFailed -> scheduleRetry(nowMs)
    }

    private fun handleTick(event: SnapshotWriterEvent.Tick, nowMs: Long): SnapshotAppend? {
        val currentWrite = pendingWrite
        if (currentWrite != null) return retry(currentWrite, nowMs)
        val state = event.state ?: return null
        if (!isDue(state, nowMs) || isAwaitingMarker(nowMs)) {
            dueSinceMs = null
            return null
        }
        val sinceMs = dueSinceMs ?: nowMs
        dueSinceMs = sinceMs
        return if (mayWrite(state, event.liveVms, nowMs - sinceMs)) startWrite(state, nowMs) else null
    }

    /** Returns whether the marker of this VM's last snapshot may not have been read back from the log yet. */
    private fun isAwaitingMarker(nowMs: Long): Boolean =
        writeStartedAtMs?.let { nowMs - it < settings.takeoverDelayMs } == true

    private fun mayWrite(state: ConfigurationState, liveVms: List<VmId>, dueForMs: Long): Boolean {
        val ranked = rankByRendezvous("snapshot-${state.lastSnapshot?.nextOffset}", liveVms)
        val rank = ranked.indexOf(vmId)
        return rank >= 0 && dueForMs >= rank * settings.takeoverDelayMs
    }

    private fun isDue(state: ConfigurationState, nowMs: Long): Boolean {
        val lastSnapshot = state.lastSnapshot ?: return state.nextOffset > 0
        val records = state.nextOffset - lastSnapshot.nextOffset
        return records >= settings.maxRecords || nowMs - lastSnapshot.writtenAtMs >= settings.intervalMs
    }

    private fun startWrite(state: ConfigurationState, nowMs: Long): SnapshotAppend {
        dueSinceMs = null
        writeStartedAtMs = nowMs
        val chunks = snapshotChunks(state, settings.chunkBytes).map { SnapshotAppend(SNAPSHOT_STREAM, encodeChunk(it)) }
        val marker = encodeRecord(ConfigurationRecord.SnapshotWritten(state.nextOffset, nowMs))
        val newWrite = PendingWrite(chunks + SnapshotAppend(CONFIGURATION_STREAM, marker))
        pendingWrite = newWrite
        return newWrite.appends.first()
    }

    private fun handleAppended(): SnapshotAppend? {
        val currentWrite = pendingWrite ?: return null
        currentWrite.nextIndex += 1
        if (currentWrite.nextIndex == currentWrite.appends.size) pendingWrite = null
        return currentWrite.appends.getOrNull(currentWrite.nextIndex)
    }

    private fun scheduleRetry(nowMs: Long): SnapshotAppend? {
        pendingWrite?.retryAtMs = nowMs + settings.retryIntervalMs
        return null
    }

    private fun retry(currentWrite: PendingWrite, nowMs: Long): SnapshotAppend? {
        val retryAtMs = currentWrite.retryAtMs ?: return null
        if (nowMs < retryAtMs) return null
        currentWrite.retryAtMs = null
        return currentWrite.appends[currentWrite.nextIndex]
    }
}
