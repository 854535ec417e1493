/*
 * Snapshots between VMs, chunk by chunk, for a VM that lacks records which neither the log nor its peers still hold.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.get
import io.daisybend.kernel.VmId

/** What a chunk from a peer led to. */
internal sealed interface SnapshotProgress {
    class Next(val request: GossipMessage.SnapshotRequest) : SnapshotProgress

    class Whole(val state: ConfigurationState) : SnapshotProgress

    data object None : SnapshotProgress
}

internal class PeerSnapshots(private val timeoutMs: Long) {
    private class Download(val peer: VmId, var lastProgressAtMs: Long, var assembly: SnapshotAssembly? = null)

    private var download: Download? = null
    private var served = emptyList<SnapshotChunk>()
    private var servedSinceMs = Long.MIN_VALUE

    /** Starts a download from [peer] unless one is under way; returns the first request. */
    fun start(peer: VmId, nowMs: Long): GossipMessage.SnapshotRequest? {
        if (download != null) return null
        download = Download(peer, nowMs)
        return GossipMessage.SnapshotRequest()
    }

    fun dropStalled(nowMs: Long) {
        val stalled = download?.let { nowMs - it.lastProgressAtMs > timeoutMs } ?: return
        if (stalled) download = null
    }

    fun take(peer: VmId, chunk: SnapshotChunk, nowMs: Long): SnapshotProgress {
        val running = download?.takeIf { it.peer == peer } ?: return SnapshotProgress.None
        val known = running.assembly?.takeIf { it.contentHash == chunk.contentHash }
        val assembly = known ?: SnapshotAssembly.startedWith(chunk) ?: return SnapshotProgress.None
        assembly.take(chunk)
        running.assembly = assembly
        running.lastProgressAtMs = nowMs
        if (!assembly.isWhole) {
            return SnapshotProgress.Next(GossipMessage.SnapshotRequest(assembly.contentHash, assembly.firstMissing))
        }
        download = null
        return assembly.state().get()?.let { SnapshotProgress.Whole(it) } ?: SnapshotProgress.None
    }

    /** Returns the wanted chunk; the first one of a newer snapshot if the wanted snapshot is gone. */
    fun chunkFor(request: GossipMessage.SnapshotRequest, state: ConfigurationState, nowMs: Long): SnapshotChunk? {
        val isServed = request.contentHash != null && served.firstOrNull()?.contentHash == request.contentHash
        if (isServed) return served.getOrNull(request.index)
        if (served.isEmpty() || nowMs - servedSinceMs > SERVED_MS) {
            served = snapshotChunks(state)
            servedSinceMs = nowMs
        }
        return served.first()
    }

    private companion object {
        const val SERVED_MS = 10_000L
    }
}
