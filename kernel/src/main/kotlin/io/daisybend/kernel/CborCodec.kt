/*
 * CBOR encoding of the system's own messages and log records. Decoding is strict: unknown fields are refused. The
 * library's parser recurses without end on a truncated byte string of indefinite length, so a stack overflow counts as
 * malformed input like any other parse failure.
 */
package io.daisybend.kernel

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Bytes that are not a message of the expected type. */
public data class MalformedCbor(val expected: String, val sizeBytes: Int, val reason: String) : Failure {
    override val message: String = "expected a CBOR $expected, got $sizeBytes bytes that are not: $reason"
}

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    ignoreUnknownKeys = false
    encodeDefaults = false
}

/** Returns [value] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> encodeCbor(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

/** Returns the value that [bytes] encode; fails when they do not encode a value of the serializer's type. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> decodeCbor(serializer: KSerializer<T>, bytes: ByteArray): Result<T, MalformedCbor> = try {
    Ok(cbor.decodeFromByteArray(serializer, bytes))
} catch (invalid: Exception) {
    Err(malformed(serializer, bytes, invalid))
} catch (endless: StackOverflowError) {
    Err(malformed(serializer, bytes, endless))
}

private fun malformed(serializer: KSerializer<*>, bytes: ByteArray, cause: Throwable): MalformedCbor {
    val expected = serializer.descriptor.serialName.substringAfterLast('.')
    return MalformedCbor(expected, bytes.size, cause.javaClass.simpleName)
}
