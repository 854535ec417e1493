/*
 * Transfers snapshots between VMs, chunk by chunk, for a VM that lacks records which neither the log nor its peers
 * still hold.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.get
import io.daisybend.kernel.VmId

/** The progress of a download after a chunk from a peer. */
internal sealed interface DownloadProgress {
    class RequestNext(val request: GossipMessage.SnapshotRequest) : DownloadProgress

    class Complete(val state: ConfigurationState) : DownloadProgress

    data object NoProgress : DownloadProgress
}

internal class PeerSnapshots(private val timeoutMs: Long) {
    private class Download(val peer: VmId, var lastProgressAtMs: Long, var assembly: SnapshotAssembly? = null)

    private var download: Download? = null
    private var servedChunks = emptyList<SnapshotChunk>()
    private var servedSinceMs = Long.MIN_VALUE

    /** Starts a download from [peer] and returns the first request, or null if a download is already in progress. */
    fun startDownload(peer: VmId, nowMs: Long): GossipMessage.SnapshotRequest? {
        if (download != null) return null
        download = Download(peer, nowMs)
        return GossipMessage.SnapshotRequest()
    }

    fun dropStalledDownload(nowMs: Long) {
        val isStalled = download?.let { nowMs - it.lastProgressAtMs > timeoutMs } ?: return
        if (isStalled) download = null
    }

    fun handleChunk(peer: VmId, chunk: SnapshotChunk, nowMs: Long): DownloadProgress {
        val currentDownload = download?.takeIf { it.peer == peer } ?: return DownloadProgress.NoProgress
        val matchingAssembly = currentDownload.assembly?.takeIf { it.contentHash == chunk.contentHash }
        val assembly = matchingAssembly ?: SnapshotAssembly.startWith(chunk) ?: return DownloadProgress.NoProgress
        assembly.addChunk(chunk)
        currentDownload.assembly = assembly
        currentDownload.lastProgressAtMs = nowMs
        if (!assembly.isComplete) {
            return DownloadProgress.RequestNext(
                GossipMessage.SnapshotRequest(assembly.contentHash, assembly.firstMissingIndex),
            )
        }
        download = null
        return assembly.toState().get()?.let { DownloadProgress.Complete(it) } ?: DownloadProgress.NoProgress
    }

    /** Returns the requested chunk, or the first chunk of the snapshot being served if another one is requested. */
    fun chunkFor(request: GossipMessage.SnapshotRequest, state: ConfigurationState, nowMs: Long): SnapshotChunk? {
        val isServed = request.contentHash != null && servedChunks.firstOrNull()?.contentHash == request.contentHash
        if (isServed) return servedChunks.getOrNull(request.index)
        if (servedChunks.isEmpty() || nowMs - servedSinceMs > SERVED_SNAPSHOT_MAX_AGE_MS) {
            servedChunks = snapshotChunks(state)
            servedSinceMs = nowMs
        }
        return servedChunks.first()
    }

    private companion object {
        const val SERVED_SNAPSHOT_MAX_AGE_MS = 10_000L
    }
}
