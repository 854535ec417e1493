/*
 * Chunks of large manifest differences that have been read but not applied yet. The number of uploads and their total
 * size are limited. The oldest upload is dropped first, on every VM alike, because this is part of the replayed state.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import kotlinx.serialization.Serializable

/** The chunks of one content that have been read. */
@Serializable
internal class StagedUpload(val contentHash: ContentHash, val count: Int, val chunks: Map<Int, ByteArray>) {
    val sizeBytes: Int get() = chunks.values.sumOf { it.size }
}

internal class StagedContent(val uploads: List<StagedUpload> = emptyList()) {
    fun withChunk(chunk: ConfigurationRecord.StagedChunk): StagedContent {
        if (!chunk.isWithinLimits()) return this
        val existing = uploads.find { it.contentHash == chunk.contentHash && it.count == chunk.count }
        val chunks = existing?.chunks.orEmpty() + (chunk.index to chunk.content)
        val upload = StagedUpload(chunk.contentHash, chunk.count, chunks)
        return StagedContent(dropExcessUploads(without(chunk.contentHash).uploads + upload))
    }

    fun without(contentHash: ContentHash): StagedContent =
        StagedContent(uploads.filterNot { it.contentHash == contentHash })

    /** Returns the difference [contentHash]; fails if a chunk is missing or the content does not match the hash. */
    fun assembleDiff(contentHash: ContentHash): Result<ManifestDiff, ChangeRefusal> =
        assembleContent(contentHash).andThen { compressed ->
            decompress(compressed)
                .andThen { decode(ManifestDiff.serializer(), it, MAX_CONTENT_BYTES) }
                .mapError { unusableContent(contentHash, "a manifest difference", it.message) }
        }

    private fun assembleContent(contentHash: ContentHash): Result<ByteArray, ChangeRefusal> {
        val upload = uploads.find { it.contentHash == contentHash }
            ?: return Err(unusableContent(contentHash, "staged parts", "none"))
        val chunks = (0 until upload.count).mapNotNull { upload.chunks[it] }
        if (chunks.size != upload.count) {
            return Err(unusableContent(contentHash, "${upload.count} parts", "${chunks.size}"))
        }
        val content = concatenate(chunks)
        val found = sha256(content)
        return if (found == contentHash) Ok(content) else Err(unusableContent(contentHash, "this hash", found.hex))
    }

    private fun dropExcessUploads(candidates: List<StagedUpload>): List<StagedUpload> {
        val keptUploads = candidates.takeLast(MAX_UPLOADS).toMutableList()
        while (keptUploads.size > 1 && keptUploads.sumOf { it.sizeBytes } > MAX_STAGED_BYTES) keptUploads.removeAt(0)
        return keptUploads.filter { it.sizeBytes <= MAX_STAGED_BYTES }
    }

    private fun ConfigurationRecord.StagedChunk.isWithinLimits() =
        count in 1..MAX_CHUNKS && index in 0 until count && content.size in 1..CHUNK_BYTES

    private fun unusableContent(contentHash: ContentHash, expected: String, found: String) =
        ChangeRefusal.StagedContentUnusable(contentHash, expected, found)

    private companion object {
        const val MAX_UPLOADS = 4
        const val MAX_STAGED_BYTES = 8 * 1024 * 1024
    }
}
