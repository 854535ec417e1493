/*
 * Frames between peers: a length of four bytes, then one CBOR value. Payloads are opaque here; each channel's owner
 * encodes its own messages.
 */
package io.daisybend.transport

import com.github.michaelbull.result.getOrElse
import io.daisybend.kernel.VmId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.io.IOException

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal sealed class Frame {
    /** Opens a connection and challenges the listener with [nonce]. */
    @Serializable
    @SerialName("hello")
    data class Hello(val from: VmId, val to: VmId, @ByteString val nonce: ByteArray) : Frame()

    /** Proves the listener's knowledge of the secret and challenges the opener. */
    @Serializable
    @SerialName("challenge")
    data class Challenge(@ByteString val nonce: ByteArray, @ByteString val proof: ByteArray) : Frame()

    /** Proves the opener's knowledge of the secret. */
    @Serializable
    @SerialName("proof")
    data class Proof(@ByteString val proof: ByteArray) : Frame()

    @Serializable
    @SerialName("call")
    data class Call(val id: Long, val channel: String, @ByteString val payload: ByteArray) : Frame()

    @Serializable
    @SerialName("answer")
    data class Answer(val id: Long, @ByteString val payload: ByteArray) : Frame()

    @Serializable
    @SerialName("refusal")
    data class Refusal(val id: Long) : Frame()

    @Serializable
    @SerialName("heartbeat")
    data object Heartbeat : Frame()
}

/** Bytes that are not a frame, or a frame above the size limit. */
internal class BadFrameException(message: String) : IOException(message)

internal fun Frame.encode(): ByteArray = encodeCbor(Frame.serializer(), this)

internal fun decodeFrame(bytes: ByteArray): Frame =
    decodeCbor(Frame.serializer(), bytes).getOrElse { throw BadFrameException(it.message) }

internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): Frame {
    val sizeBytes = readInt()
    if (sizeBytes !in 1..maxBytes) throw BadFrameException("expected 1 to $maxBytes bytes, got $sizeBytes")
    return decodeFrame(readByteArray(sizeBytes))
}

internal suspend fun ByteWriteChannel.writeFrame(encoded: ByteArray) {
    writeInt(encoded.size)
    writeByteArray(encoded)
    flush()
}
