/*
 * CBOR encoding of records, gossip messages and snapshots. The first byte is the format version: a VM that reads a
 * higher version stops following instead of skipping a record that newer VMs apply. Declared sizes are checked before
 * the CBOR library allocates memory for them.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.Failure
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** The maximum size of a record or message that is decoded. */
public const val MAX_RECORD_BYTES: Int = 256 * 1024

/** The maximum size of a staged manifest difference or snapshot before compression. */
public const val MAX_CONTENT_BYTES: Int = 32 * 1024 * 1024

/** The maximum size of one chunk of a staged manifest difference or snapshot. */
public const val CHUNK_BYTES: Int = 48 * 1024

internal const val MAX_CHUNKS = MAX_CONTENT_BYTES / CHUNK_BYTES
private const val CODEC_FORMAT: Byte = 1

/** The highest first byte that is read as a newer format; a payload with a higher first byte is malformed. */
private const val MAX_NEWER_FORMAT: Byte = 15
private const val COMPRESSION_BUFFER_BYTES = 64 * 1024

private val cbor = Cbor {
    useDefiniteLengthEncoding = true
    alwaysUseByteString = true
}

/** The reason why bytes cannot be decoded. */
public sealed interface CodecFailure : Failure {
    /** The bytes are malformed. A change outcome may store [message], so its text must be the same on all VMs. */
    public data class Malformed(override val message: String) : CodecFailure

    /** The bytes were written by a newer version of the system. */
    public data class NewerFormat(val format: Int) : CodecFailure {
        override val message: String get() = "expected format $CODEC_FORMAT, came $format"
    }
}

internal fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
    byteArrayOf(CODEC_FORMAT) + cbor.encodeToByteArray(serializer, value)

internal fun <T> decode(
    serializer: KSerializer<T>,
    bytes: ByteArray,
    maxBytes: Int = MAX_RECORD_BYTES,
): Result<T, CodecFailure> {
    val failure = formatFailureOf(bytes, maxBytes)
    if (failure != null) return Err(failure)
    return try {
        Ok(cbor.decodeFromByteArray(serializer, bytes.copyOfRange(1, bytes.size)))
    } catch (e: Exception) {
        Err(CodecFailure.Malformed("expected CBOR, came ${e.javaClass.simpleName}: ${e.message?.take(120)}"))
    }
}

private fun formatFailureOf(bytes: ByteArray, maxBytes: Int): CodecFailure? = when {
    bytes.isEmpty() || bytes.size > maxBytes ->
        CodecFailure.Malformed("expected 1 to $maxBytes bytes, came ${bytes.size}")
    bytes[0] in CODEC_FORMAT + 1..MAX_NEWER_FORMAT -> CodecFailure.NewerFormat(bytes[0].toInt())
    bytes[0] != CODEC_FORMAT -> CodecFailure.Malformed("expected format $CODEC_FORMAT, came ${bytes[0]}")
    !hasValidSizes(bytes) -> CodecFailure.Malformed("expected whole CBOR, came sizes beyond the end")
    else -> null
}

/**
 * Returns whether each CBOR item after the format byte declares a size that fits the bytes after it. Items of
 * indefinite length are refused: the encoder does not write them, and the library decodes them recursively.
 */
private fun hasValidSizes(bytes: ByteArray): Boolean {
    var position = 1
    while (position < bytes.size) {
        val majorType = (bytes[position].toInt() and 0xff) shr 5
        val additionalInfo = bytes[position].toInt() and 0x1f
        val argumentBytes = if (additionalInfo < 24) 0 else 1 shl (additionalInfo - 24).coerceAtMost(4)
        if (additionalInfo > 27 || position + argumentBytes >= bytes.size) return false
        val argument =
            if (argumentBytes == 0) additionalInfo.toLong() else readUnsigned(bytes, position + 1, argumentBytes)
        position += 1 + argumentBytes
        val hasDeclaredSize = majorType in 2..5
        if (hasDeclaredSize && argument !in 0..(bytes.size - position).toLong()) return false
        if (hasDeclaredSize && majorType <= 3) position += argument.toInt()
    }
    return true
}

private fun readUnsigned(bytes: ByteArray, from: Int, count: Int): Long =
    (from until from + count).fold(0L) { value, position -> (value shl 8) or (bytes[position].toLong() and 0xff) }

internal fun sha256(bytes: ByteArray): ContentHash =
    ContentHash(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes)))

internal fun compress(bytes: ByteArray): ByteArray {
    val deflater = Deflater(Deflater.BEST_SPEED)
    deflater.setInput(bytes)
    deflater.finish()
    val output = ByteArrayOutputStream(bytes.size / 4 + 64)
    val buffer = ByteArray(COMPRESSION_BUFFER_BYTES)
    while (!deflater.finished()) output.write(buffer, 0, deflater.deflate(buffer))
    deflater.end()
    return output.toByteArray()
}

internal fun decompress(bytes: ByteArray): Result<ByteArray, CodecFailure> {
    val inflater = Inflater()
    inflater.setInput(bytes)
    val output = ByteArrayOutputStream()
    val buffer = ByteArray(COMPRESSION_BUFFER_BYTES)
    return try {
        while (!inflater.finished() && output.size() <= MAX_CONTENT_BYTES) {
            val count = inflater.inflate(buffer)
            if (count == 0 && !inflater.finished()) return Err(CodecFailure.Malformed("expected whole content"))
            output.write(buffer, 0, count)
        }
        if (output.size() <= MAX_CONTENT_BYTES) Ok(output.toByteArray()) else Err(contentTooLarge())
    } catch (e: DataFormatException) {
        Err(CodecFailure.Malformed("expected compressed content, came ${e.message}"))
    } finally {
        inflater.end()
    }
}

private fun contentTooLarge() = CodecFailure.Malformed("expected at most $MAX_CONTENT_BYTES bytes, came more")

internal fun split(content: ByteArray, chunkBytes: Int = CHUNK_BYTES): List<ByteArray> =
    (content.indices step chunkBytes).map { content.copyOfRange(it, minOf(it + chunkBytes, content.size)) }

internal fun concatenate(chunks: Collection<ByteArray>): ByteArray {
    val output = ByteArrayOutputStream(chunks.sumOf { it.size })
    chunks.forEach { output.write(it) }
    return output.toByteArray()
}

/** Encodes a record for the configuration stream. */
public fun encodeRecord(record: ConfigurationRecord): ByteArray = encode(ConfigurationRecord.serializer(), record)

/** Decodes a record of the configuration stream; fails with a [CodecFailure] if the bytes are not a record. */
public fun decodeRecord(bytes: ByteArray): Result<ConfigurationRecord, CodecFailure> =
    decode(ConfigurationRecord.serializer(), bytes)
