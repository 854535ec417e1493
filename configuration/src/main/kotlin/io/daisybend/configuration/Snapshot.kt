/*
 * A snapshot is the whole replayed state, compressed and cut into chunks that each name the content's hash. Chunks of
 * one content may come from several writers; a set that is incomplete or does not match its hash is never used.
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

/** One part of the snapshot of the state before [nextOffset]. */
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

/** Returns the snapshot of [state] as chunks of at most [chunkBytes]. */
public fun snapshotChunks(state: ConfigurationState, chunkBytes: Int = CHUNK_BYTES): List<SnapshotChunk> {
    val compressed = compress(encode(SnapshotContent.serializer(), state.toContent()))
    val contentHash = sha256(compressed)
    val parts = split(compressed, chunkBytes)
    return parts.mapIndexed { index, part -> SnapshotChunk(state.nextOffset, contentHash, index, parts.size, part) }
}

/** Encodes a chunk for the snapshot stream. */
public fun encodeChunk(chunk: SnapshotChunk): ByteArray = encode(SnapshotChunk.serializer(), chunk)

/** Decodes a chunk of the snapshot stream; fails with a [CodecFailure] on any other bytes. */
public fun decodeChunk(bytes: ByteArray): Result<SnapshotChunk, CodecFailure> =
    decode(SnapshotChunk.serializer(), bytes)

/** Collects the chunks of one snapshot. */
internal class SnapshotAssembly(val nextOffset: Long, val contentHash: ContentHash, private val count: Int) {
    private val chunks = sortedMapOf<Int, ByteArray>()

    val isWhole: Boolean get() = chunks.size == count
    val firstMissing: Int get() = (0 until count).first { it !in chunks }

    /** Takes [chunk] if it is a part of this snapshot. */
    fun take(chunk: SnapshotChunk) {
        if (chunk.contentHash != contentHash || chunk.nextOffset != nextOffset || chunk.count != count) return
        chunks.putIfAbsent(chunk.index, chunk.content)
    }

    /** Returns the state of the whole snapshot; fails if a chunk is missing or the content is not what it says. */
    fun state(): Result<ConfigurationState, CodecFailure> {
        if (!isWhole) return Err(CodecFailure.Malformed("expected $count chunks, came ${chunks.size}"))
        val compressed = join(chunks.values)
        val came = sha256(compressed)
        if (came != contentHash) return Err(CodecFailure.Malformed("expected content $contentHash, came $came"))
        val state = decompress(compressed)
            .andThen { decode(SnapshotContent.serializer(), it, MAX_CONTENT_BYTES) }
            .map { it.toState() }
        return state.andThen { if (it.nextOffset == nextOffset) Ok(it) else Err(wrongOffset(it.nextOffset)) }
    }

    private fun wrongOffset(came: Long) = CodecFailure.Malformed("expected a snapshot at $nextOffset, came $came")

    companion object {
        /** Returns an assembly for the snapshot of [chunk], or null if the chunk is not plausible. */
        fun startedWith(chunk: SnapshotChunk): SnapshotAssembly? {
            if (!chunk.isPlausible()) return null
            return SnapshotAssembly(chunk.nextOffset, chunk.contentHash, chunk.count).apply { take(chunk) }
        }
    }
}

internal fun SnapshotChunk.isPlausible(): Boolean =
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
    outcomes = outcomes.toKept(),
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
    outcomes = OutcomeWindow.fromKept(outcomes),
    staged = StagedContent(staged),
    lastSnapshot = lastSnapshot,
)
