/*
 * The messages that open a relay, and the frames of its answers. A VM sends a request and gets a reply, each with its
 * length before it. After that its bytes go to the endpoint as they are, and those of the endpoint come back in frames:
 * only an explicit last frame marks the orderly end of the endpoint's connection, because the system ends the
 * connections of a process that was killed in order, too.
 */
package io.daisybend.entry.relay

import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer

/** The version of the messages and frames. */
internal const val RELAY_VERSION = 1

/** Asks for a connection to the endpoint at [host]:[port], to be opened within [connectTimeoutMs]. */
@Serializable
internal data class RelayRequest(
    val version: Int,
    val vm: String,
    val host: String,
    val port: Int,
    val connectTimeoutMs: Long,
)

/** How a peer answers a request for a relay. */
@Serializable
internal enum class RelayOutcome { CONNECTED, ENDPOINT_UNREACHABLE, REFUSED }

/** The answer of [vm] to a request; a refusal has a [reason]. */
@Serializable
internal data class RelayReply(
    val version: Int,
    val vm: String,
    val outcome: RelayOutcome,
    val reason: String? = null,
)

/** Returns [message] with its length before it. */
internal fun <T> encodeRelayMessage(serializer: KSerializer<T>, message: T): ByteArray {
    val bytes = encodeCbor(serializer, message)
    return ByteBuffer.allocate(Int.SIZE_BYTES + bytes.size).putInt(bytes.size).put(bytes).array()
}

/** Frames of a relay: a length and that many bytes, or a negative code. */
internal object RelayFrame {
    /** Maximum length of a message that opens a relay, in bytes. */
    const val MAX_MESSAGE_BYTES = 1_024

    /** Maximum number of bytes in one frame. */
    const val MAX_DATA_BYTES = 65_536

    /** The endpoint's connection has ended; the number of bytes that were forwarded to it follows. */
    const val END = -1

    /** The peer is about to stop: the relay may get no further request. */
    const val STOPPING = -2

    /** Stands for the number of forwarded bytes if the endpoint's connection broke. */
    const val BROKEN = -1L

    /** Without meaning; sent to learn whether the other VM is still there. */
    val probe: ByteArray = header(0)
    val stopping: ByteArray = header(STOPPING)

    /** Returns what comes before [length] bytes of data. */
    fun header(length: Int): ByteArray = ByteBuffer.allocate(Int.SIZE_BYTES).putInt(length).array()

    /** Returns the last frame, after [forwardedBytes] were sent to the endpoint. */
    fun end(forwardedBytes: Long): ByteArray =
        ByteBuffer.allocate(Int.SIZE_BYTES + Long.SIZE_BYTES).putInt(END).putLong(forwardedBytes).array()
}
