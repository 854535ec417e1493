/*
 * Wire format between peers: each frame is a four-byte length followed by a CBOR value. Payloads are opaque to this
 * layer; the code that uses a channel encodes its messages.
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
    /** First frame of a connection, from VM [from] to VM [to]; [nonce] challenges the listener. */
    @Serializable
    @SerialName("hello")
    data class Hello(val from: VmId, val to: VmId, @ByteString val nonce: ByteArray) : Frame()

    /** Proves that the listener knows the secret; [nonce] challenges the dialer. */
    @Serializable
    @SerialName("challenge")
    data class Challenge(@ByteString val nonce: ByteArray, @ByteString val proof: ByteArray) : Frame()

    /** Proves that the dialer, which opened the connection, knows the secret. */
    @Serializable
    @SerialName("proof")
    data class Proof(@ByteString val proof: ByteArray) : Frame()

    @Serializable
    @SerialName("call")
    data class Call(val id: Long, val channel: String, @ByteString val payload: ByteArray) : Frame()

    @Serializable
    @SerialName("answer")
    data class Response(val id: Long, @ByteString val payload: ByteArray) : Frame()

    @Serializable
    @SerialName("refusal")
    data class Refusal(val id: Long) : Frame()

    @Serializable
    @SerialName("heartbeat")
    data object Heartbeat : Frame()
}

/** The received bytes are not a valid frame, or the frame's size is out of range. */
internal class BadFrameException(message: String) : IOException(message)

internal fun Frame.encode(): ByteArray = encodeCbor(Frame.serializer(), this)

internal fun decodeFrame(bytes: ByteArray): Frame =
    decodeCbor(Frame.serializer(), bytes).getOrElse { throw BadFrameException(it.message) }

internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): Frame {
    val sizeBytes = readInt()
    if (sizeBytes !in 1..maxBytes) throw BadFrameException("expected a frame of 1 to $maxBytes bytes, got $sizeBytes")
    return decodeFrame(readByteArray(sizeBytes))
}

internal suspend fun ByteWriteChannel.writeFrame(encoded: ByteArray) {
    writeInt(encoded.size)
    writeByteArray(encoded)
    flush()
}
