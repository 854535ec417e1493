/*
 * CBOR encoding of peer messages and log records. Decoding is strict and rejects unknown fields. The library's parser
 * recurses without bound on a truncated byte string of indefinite length, so a stack overflow is reported as malformed
 * input, like any other parse error.
 */
package io.daisybend.kernel

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** The bytes do not decode to a value of the expected type. */
public data class MalformedCbor(val expected: String, val sizeBytes: Int, val reason: String) : Failure {
    override val message: String = "expected a CBOR $expected, got $sizeBytes bytes that fail to decode: $reason"
}

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    ignoreUnknownKeys = false
    encodeDefaults = false
}

/** Encodes [value] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> encodeCbor(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

/** Decodes [bytes]; fails with [MalformedCbor] if they do not encode a value of the serializer's type. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> decodeCbor(serializer: KSerializer<T>, bytes: ByteArray): Result<T, MalformedCbor> = try {
    Ok(cbor.decodeFromByteArray(serializer, bytes))
} catch (exception: Exception) {
    Err(malformedCbor(serializer, bytes, exception))
} catch (overflow: StackOverflowError) {
    Err(malformedCbor(serializer, bytes, overflow))
}

private fun malformedCbor(serializer: KSerializer<*>, bytes: ByteArray, cause: Throwable): MalformedCbor {
    val expected = serializer.descriptor.serialName.substringAfterLast('.')
    return MalformedCbor(expected, bytes.size, cause.javaClass.simpleName)
}
