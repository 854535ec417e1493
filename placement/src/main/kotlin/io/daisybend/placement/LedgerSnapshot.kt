/*
 * Snapshots of the ledger for VMs that start after old records have expired. They go to a stream of their own, which
 * only a starting VM reads, in chunks of bounded size. A snapshot counts only when all chunks are there and the
 * content hash matches; a writer that died half way leaves one that is never used.
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

/** The stream that snapshots of the ledger are written to. */
public val PLACEMENT_SNAPSHOT_STREAM: LogStream = LogStream("placement-snapshot")

private const val MAX_CHUNK_BYTES = 64 * 1024

/** The whole state of a ledger that has applied every offset below [nextOffset]. */
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

/** Returns the state of this ledger; the caller must not apply records at the same time. */
public fun PlacementLedger.snapshot(): LedgerSnapshot = LedgerSnapshot(nextOffset, endpoints(), replicaSets())

/** Returns a ledger that continues from this snapshot. */
public fun LedgerSnapshot.toLedger(): PlacementLedger = PlacementLedger().also { it.restore(this) }

/** Returns the payloads that carry this snapshot under [snapshotId], in the order in which to append them. */
public fun LedgerSnapshot.toPayloads(snapshotId: RecordId, maxChunkBytes: Int = MAX_CHUNK_BYTES): List<ByteArray> {
    val content = encodeCbor(LedgerSnapshot.serializer(), this)
    val starts = content.indices step maxChunkBytes
    return starts.mapIndexed { index, start ->
        val part = content.copyOfRange(start, minOf(start + maxChunkBytes, content.size))
        val chunk = SnapshotChunk(snapshotId, index, starts.count(), hashOf(content), part)
        encodeCbor(SnapshotChunk.serializer(), chunk)
    }
}

/** Collects chunks in the order of the stream and keeps the newest whole snapshot. */
public class SnapshotAssembler {
    private val partial = LinkedHashMap<RecordId, MutableList<SnapshotChunk>>()

    /** The newest whole snapshot so far, or null. */
    public var newestSnapshot: LedgerSnapshot? = null
        private set

    /** Takes one payload of the snapshot stream; ignores bytes that are not a chunk. */
    public fun add(payload: ByteArray) {
        val chunk = decodeCbor(SnapshotChunk.serializer(), payload).get() ?: return
        val chunks = partial.getOrPut(chunk.snapshotId) { mutableListOf() }
        if (chunk.index == chunks.size) chunks += chunk
        if (chunks.size == chunk.count) complete(chunk)
        while (partial.size > MAX_PARTIAL) partial.remove(partial.keys.first())
    }

    private fun complete(last: SnapshotChunk) {
        val chunks = partial.remove(last.snapshotId).orEmpty()
        val content = chunks.fold(ByteArray(0)) { bytes, chunk -> bytes + chunk.content }
        if (hashOf(content) != last.contentHash) return
        val snapshot = decodeCbor(LedgerSnapshot.serializer(), content).get() ?: return
        if (snapshot.nextOffset >= (newestSnapshot?.nextOffset ?: 0)) newestSnapshot = snapshot
    }

    private companion object {
        const val MAX_PARTIAL = 4
    }
}

private fun hashOf(content: ByteArray): Long = Hashing.komihash5_0().hashBytesToLong(content)
