/*
 * Snapshots of the ledger for VMs that start after old records have expired. They are written in chunks of bounded size
 * to a stream of their own, which only a starting VM reads. A snapshot is used only if all of its chunks are present
 * and the content hash matches, so the chunks of a writer that crashed halfway are never used.
 */
package io.daisybend.placement

import com.dynatrace.hash4j.hashing.Hashing
import com.github.michaelbull.result.get
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** The stream of ledger snapshots. */
public val PLACEMENT_SNAPSHOT_STREAM: LogStream = LogStream("placement-snapshot")

private const val MAX_CHUNK_BYTES = 64 * 1024

/** The state of a ledger that has applied all offsets below [nextOffset]. */
@Serializable
public data class LedgerSnapshot(
    val nextOffset: Long,
    val endpoints: List<EndpointEntry>,
    val replicaSets: List<ReplicaSet>,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class SnapshotChunk(
    val snapshotId: RecordId,
    val index: Int,
    val count: Int,
    val contentHash: Long,
    @ByteString val content: ByteArray,
)

/** Returns the state of this ledger; no other thread may apply records during the call. */
public fun PlacementLedger.snapshot(): LedgerSnapshot = LedgerSnapshot(nextOffset, endpoints(), replicaSets())

/** Returns a ledger that continues from this snapshot. */
public fun LedgerSnapshot.toLedger(): PlacementLedger = PlacementLedger().also { it.restore(this) }

/** Returns the chunks of this snapshot as payloads under [snapshotId], in the order in which to append them. */
public fun LedgerSnapshot.toPayloads(snapshotId: RecordId, maxChunkBytes: Int = MAX_CHUNK_BYTES): List<ByteArray> {
    val content = encodeCbor(LedgerSnapshot.serializer(), this)
    val chunkStarts = content.indices step maxChunkBytes
    return chunkStarts.mapIndexed { index, start ->
        val part = content.copyOfRange(start, minOf(start + maxChunkBytes, content.size))
        val chunk = SnapshotChunk(snapshotId, index, chunkStarts.count(), hashOf(content), part)
        encodeCbor(SnapshotChunk.serializer(), chunk)
    }
}

/** Assembles snapshots from chunks in stream order and keeps the newest complete one. */
public class SnapshotAssembler {
    private val partialSnapshots = LinkedHashMap<RecordId, MutableList<SnapshotChunk>>()

    /** The newest complete snapshot so far, or null. */
    public var newestSnapshot: LedgerSnapshot? = null
        private set

    /** Adds one payload of the snapshot stream; ignores a payload that is not a chunk. */
    public fun add(payload: ByteArray) {
        val chunk = decodeCbor(SnapshotChunk.serializer(), payload).get() ?: return
        val chunks = partialSnapshots.getOrPut(chunk.snapshotId) { mutableListOf() }
        if (chunk.index == chunks.size) chunks += chunk
        if (chunks.size == chunk.count) complete(chunk)
        while (partialSnapshots.size > MAX_PARTIAL_SNAPSHOTS) partialSnapshots.remove(partialSnapshots.keys.first())
    }

    private fun complete(lastChunk: SnapshotChunk) {
        val chunks = partialSnapshots.remove(lastChunk.snapshotId).orEmpty()
        val content = chunks.fold(ByteArray(0)) { bytes, chunk -> bytes + chunk.content }
        if (hashOf(content) != lastChunk.contentHash) return
        val snapshot = decodeCbor(LedgerSnapshot.serializer(), content).get() ?: return
        if (snapshot.nextOffset >= (newestSnapshot?.nextOffset ?: 0)) newestSnapshot = snapshot
    }

    private companion object {
        const val MAX_PARTIAL_SNAPSHOTS = 4
    }
}

private fun hashOf(content: ByteArray): Long = Hashing.komihash5_0().hashBytesToLong(content)
