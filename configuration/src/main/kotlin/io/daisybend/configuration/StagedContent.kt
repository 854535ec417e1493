/*
 * Parts of large manifest differences that have been read and not yet applied. Few uploads and few bytes are kept; the
 * oldest upload is dropped first, and every VM drops the same one because this is part of the replayed state.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import kotlinx.serialization.Serializable

/** The parts of one content that have been read. */
@Serializable
internal class StagedUpload(val contentHash: ContentHash, val count: Int, val chunks: Map<Int, ByteArray>) {
    val sizeBytes: Int get() = chunks.values.sumOf { it.size }
}

internal class StagedContent(val uploads: List<StagedUpload> = emptyList()) {
    fun with(chunk: ConfigurationRecord.StagedChunk): StagedContent {
        if (!chunk.isPlausible()) return this
        val found = uploads.find { it.contentHash == chunk.contentHash && it.count == chunk.count }
        val chunks = found?.chunks.orEmpty() + (chunk.index to chunk.content)
        val upload = StagedUpload(chunk.contentHash, chunk.count, chunks)
        return StagedContent(bounded(without(chunk.contentHash).uploads + upload))
    }

    fun without(contentHash: ContentHash): StagedContent =
        StagedContent(uploads.filterNot { it.contentHash == contentHash })

    /** Returns the difference whose parts are all here; fails if one is missing or the whole is not what it says. */
    fun difference(contentHash: ContentHash): Result<ManifestDiff, ChangeRefusal> =
        wholeContent(contentHash).andThen { compressed ->
            decompress(compressed)
                .andThen { decode(ManifestDiff.serializer(), it, MAX_CONTENT_BYTES) }
                .mapError { unusable(contentHash, "a manifest difference", it.message) }
        }

    private fun wholeContent(contentHash: ContentHash): Result<ByteArray, ChangeRefusal> {
        val upload = uploads.find { it.contentHash == contentHash }
            ?: return Err(unusable(contentHash, "staged parts", "none"))
        val parts = (0 until upload.count).mapNotNull { upload.chunks[it] }
        if (parts.size != upload.count) {
            return Err(unusable(contentHash, "${upload.count} parts", "${parts.size}"))
        }
        val content = join(parts)
        val came = sha256(content)
        return if (came == contentHash) Ok(content) else Err(unusable(contentHash, "this hash", came.hex))
    }

    private fun bounded(candidates: List<StagedUpload>): List<StagedUpload> {
        val kept = candidates.takeLast(MAX_UPLOADS).toMutableList()
        while (kept.size > 1 && kept.sumOf { it.sizeBytes } > MAX_STAGED_BYTES) kept.removeAt(0)
        return kept.filter { it.sizeBytes <= MAX_STAGED_BYTES }
    }

    private fun ConfigurationRecord.StagedChunk.isPlausible() =
        count in 1..MAX_CHUNKS && index in 0 until count && content.size in 1..CHUNK_BYTES

    private fun unusable(contentHash: ContentHash, expected: String, came: String) =
        ChangeRefusal.StagedContentUnusable(contentHash, expected, came)

    private companion object {
        const val MAX_UPLOADS = 4
        const val MAX_STAGED_BYTES = 8 * 1024 * 1024
    }
}
