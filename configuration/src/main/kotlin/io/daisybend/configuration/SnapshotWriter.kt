/*
 * Writes snapshots into the log, by the number of records since the last one and by its age, well before retention
 * ends. Of the live VMs the one with the best rendezvous rank writes; the next one steps in a little later. The marker
 * in the configuration stream follows only after every chunk was taken, so a writer that dies half way leaves chunks
 * that no reader uses and that the next writer's chunks of the same content complete.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

/** What a [SnapshotWriter] is told. */
public sealed interface SnapshotWriterEvent {
    /** Time has passed; [state] is confirmed by the log, or null, and [liveVms] names all VMs with this one. */
    public class Tick(public val state: ConfigurationState?, public val liveVms: List<VmId>) : SnapshotWriterEvent

    /** The append took effect. */
    public data object Appended : SnapshotWriterEvent

    /** The append failed. */
    public data class AppendFailed(val failure: LogFailure) : SnapshotWriterEvent
}

/** Asks the runtime to append [payload] to [stream]. */
public class SnapshotAppend(public val stream: LogStream, public val payload: ByteArray)

/** When snapshots are written. The interval has to be a quarter of the log's retention at most. */
public data class SnapshotSettings(
    val maxRecords: Long = 1_000,
    val intervalMs: Long = 30 * 60 * 1_000L,
    val takeoverDelayMs: Long = 15_000,
    val retryIntervalMs: Long = 1_000,
    val chunkBytes: Int = CHUNK_BYTES,
)

/** Writes snapshots on the VM [vmId]. */
public class SnapshotWriter(private val vmId: VmId, private val settings: SnapshotSettings = SnapshotSettings()) {
    private class Writing(val appends: List<SnapshotAppend>, var position: Int = 0, var retryAtMs: Long? = null)

    private var dueSinceMs: Long? = null
    private var startedAtMs: Long? = null
    private var writing: Writing? = null

    /** Takes [event] and returns what to append now, or null. */
    public fun handle(event: SnapshotWriterEvent, nowMs: Long): SnapshotAppend? = when (event) {
        is SnapshotWriterEvent.Tick -> tick(event, nowMs)
        SnapshotWriterEvent.Appended -> appended()
        is SnapshotWriterEvent.AppendFailed -> retryLater(nowMs)
    }

    private fun tick(event: SnapshotWriterEvent.Tick, nowMs: Long): SnapshotAppend? {
        val running = writing
        if (running != null) return retry(running, nowMs)
        val state = event.state ?: return null
        if (!isDue(state, nowMs) || awaitsMarker(nowMs)) {
            dueSinceMs = null
            return null
        }
        val since = dueSinceMs ?: nowMs
        dueSinceMs = since
        return if (isMyTurn(state, event.liveVms, nowMs - since)) start(state, nowMs) else null
    }

    /** Tells whether the marker of this VM's own last snapshot may still be on its way back through the log. */
    private fun awaitsMarker(nowMs: Long): Boolean = startedAtMs?.let { nowMs - it < settings.takeoverDelayMs } == true

    private fun isMyTurn(state: ConfigurationState, liveVms: List<VmId>, dueForMs: Long): Boolean {
        val ranked = rankByRendezvous("snapshot-${state.lastSnapshot?.nextOffset}", liveVms)
        val rank = ranked.indexOf(vmId)
        return rank >= 0 && dueForMs >= rank * settings.takeoverDelayMs
    }

    private fun isDue(state: ConfigurationState, nowMs: Long): Boolean {
        val last = state.lastSnapshot ?: return state.nextOffset > 0
        val records = state.nextOffset - last.nextOffset
        return records >= settings.maxRecords || nowMs - last.writtenAtMs >= settings.intervalMs
    }

    private fun start(state: ConfigurationState, nowMs: Long): SnapshotAppend {
        dueSinceMs = null
        startedAtMs = nowMs
        val chunks = snapshotChunks(state, settings.chunkBytes).map { SnapshotAppend(SNAPSHOT_STREAM, encodeChunk(it)) }
        val marker = encodeRecord(ConfigurationRecord.SnapshotWritten(state.nextOffset, nowMs))
        val started = Writing(chunks + SnapshotAppend(CONFIGURATION_STREAM, marker))
        writing = started
        return started.appends.first()
    }

    private fun appended(): SnapshotAppend? {
        val running = writing ?: return null
        running.position += 1
        if (running.position == running.appends.size) writing = null
        return running.appends.getOrNull(running.position)
    }

    private fun retryLater(nowMs: Long): SnapshotAppend? {
        writing?.retryAtMs = nowMs + settings.retryIntervalMs
        return null
    }

    private fun retry(running: Writing, nowMs: Long): SnapshotAppend? {
        val retryAtMs = running.retryAtMs ?: return null
        if (nowMs < retryAtMs) return null
        running.retryAtMs = null
        return running.appends[running.position]
    }
}
