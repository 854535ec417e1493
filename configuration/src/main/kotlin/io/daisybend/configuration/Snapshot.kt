/*
 * A snapshot is the complete replayed state, compressed and split into chunks that each carry the hash of the content.
 * Several writers may write chunks of the same content. A set of chunks that is incomplete or does not match its hash
 * is never used.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.TeamId
import kotlinx.serialization.Serializable

/** The stream of configuration records. */
public val CONFIGURATION_STREAM: LogStream = LogStream("config")

/** The stream of snapshot chunks. */
public val SNAPSHOT_STREAM: LogStream = LogStream("config-snapshots")

/** One chunk of the snapshot of the state before [nextOffset]. */
@Serializable
public class SnapshotChunk(
    public val nextOffset: Long,
    public val contentHash: ContentHash,
    public val index: Int,
    public val count: Int,
    public val content: ByteArray,
)

@Serializable
private data class TeamRevision(val teamId: TeamId, val revision: Long)

@Serializable
private class SnapshotContent(
    val revision: Long,
    val nextOffset: Long,
    val manifestRevision: Long,
    val manifest: Manifest,
    val issuedKeyIds: List<KeyId>,
    val withdrawnKeyIds: List<KeyId>,
    val teamRevisions: List<TeamRevision>,
    val drains: List<DrainState>,
    val outcomes: List<List<KeptOutcome>>,
    val staged: List<StagedUpload>,
    val lastSnapshot: ConfigurationRecord.SnapshotWritten?,
)

/** Returns the snapshot of [state] as chunks of at most [chunkBytes] bytes. */
public fun snapshotChunks(state: ConfigurationState, chunkBytes: Int = CHUNK_BYTES): List<SnapshotChunk> {
    val compressed = compress(encode(SnapshotContent.serializer(), state.toContent()))
    val contentHash = sha256(compressed)
    val chunks = split(compressed, chunkBytes)
    return chunks.mapIndexed { index, chunk -> SnapshotChunk(state.nextOffset, contentHash, index, chunks.size, chunk) }
}

/** Encodes a chunk for the snapshot stream. */
public fun encodeChunk(chunk: SnapshotChunk): ByteArray = encode(SnapshotChunk.serializer(), chunk)

/** Decodes a chunk of the snapshot stream; fails with a [CodecFailure] if the bytes are not a chunk. */
public fun decodeChunk(bytes: ByteArray): Result<SnapshotChunk, CodecFailure> =
    decode(SnapshotChunk.serializer(), bytes)

/** Assembles the chunks of one snapshot. */
internal class SnapshotAssembly(val nextOffset: Long, val contentHash: ContentHash, private val count: Int) {
    private val chunks = sortedMapOf<Int, ByteArray>()

    val isComplete: Boolean get() = chunks.size == count
    val firstMissingIndex: Int get() = (0 until count).first { it !in chunks }

    /** Adds [chunk] if it belongs to this snapshot; ignores it otherwise. */
    fun addChunk(chunk: SnapshotChunk) {
        if (chunk.contentHash != contentHash || chunk.nextOffset != nextOffset || chunk.count != count) return
        chunks.putIfAbsent(chunk.index, chunk.content)
    }

    /**
     * Returns the state in the snapshot; fails if a chunk is missing or the content does not match its hash or offset.
     */
    fun toState(): Result<ConfigurationState, CodecFailure> {
        if (!isComplete) return Err(CodecFailure.Malformed("expected $count chunks, got ${chunks.size}"))
        val compressed = concatenate(chunks.values)
        val found = sha256(compressed)
        if (found != contentHash) return Err(CodecFailure.Malformed("expected content $contentHash, got $found"))
        val state = decompress(compressed)
            .andThen { decode(SnapshotContent.serializer(), it, MAX_CONTENT_BYTES) }
            .map { it.toState() }
        return state.andThen { if (it.nextOffset == nextOffset) Ok(it) else Err(offsetMismatch(it.nextOffset)) }
    }

    private fun offsetMismatch(found: Long) = CodecFailure.Malformed("expected a snapshot at $nextOffset, got $found")

    companion object {
        /** Returns an assembly that contains [chunk], or null if the chunk exceeds the limits. */
        fun startWith(chunk: SnapshotChunk): SnapshotAssembly? {
            if (!chunk.isWithinLimits()) return null
            return SnapshotAssembly(chunk.nextOffset, chunk.contentHash, chunk.count).apply { addChunk(chunk) }
        }
    }
}

internal fun SnapshotChunk.isWithinLimits(): Boolean =
    count in 1..MAX_CHUNKS && index in 0 until count && content.size in 1..CHUNK_BYTES && nextOffset >= 0

private fun ConfigurationState.toContent() = SnapshotContent(
    revision = revision,
    nextOffset = nextOffset,
    manifestRevision = manifestRevision,
    manifest = manifest(),
    issuedKeyIds = issuedKeyIds.toList(),
    withdrawnKeyIds = withdrawnKeyIds.toList(),
    teamRevisions = teamRevisions.map { (id, revision) -> TeamRevision(id, revision) },
    drains = drains.values.toList(),
    outcomes = outcomes.toKeptOutcomes(),
    staged = staged.uploads,
    lastSnapshot = lastSnapshot,
)

private fun SnapshotContent.toState() = ConfigurationState(
    revision = revision,
    nextOffset = nextOffset,
    manifestRevision = manifestRevision,
    tables = manifest.toTables(),
    issuedKeyIds = issuedKeyIds.toSet(),
    withdrawnKeyIds = withdrawnKeyIds.toSet(),
    teamRevisions = teamRevisions.associate { it.teamId to it.revision },
    drains = drains.associateBy { it.endpointId },
    outcomes = OutcomeWindow.fromKeptOutcomes(outcomes),
    staged = StagedContent(staged),
    lastSnapshot = lastSnapshot,
)
