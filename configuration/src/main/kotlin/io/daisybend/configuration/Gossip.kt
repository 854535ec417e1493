/*
 * The messages that VMs exchange about the configuration. A probe carries the next offset of its sender. The response
 * carries that of the receiver and the time since the receiver last had all records of the log, and it passes on
 * records that the sender lacks. Field names are short because every VM sends several messages per second.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between two VMs. */
@Serializable
public sealed interface GossipMessage {
    /** Requests a [ProbeResponse]; the sender has replayed all records before [nextOffset]. */
    @Serializable
    @SerialName("p")
    public data class Probe(
        @SerialName("s") val sequence: Int,
        @SerialName("n") val nextOffset: Long,
    ) : GossipMessage

    /**
     * Answers the probe [sequence]. The sender has replayed all records before [nextOffset], and [confirmedAgeMs] ago
     * it had all records of the log. It counts towards a majority, as [isVoter] says, unless it restarted and neither
     * the log nor a majority has confirmed its configuration since. [records] are the records from [passedFrom], the
     * probe's offset, up to [passedTo].
     */
    @Serializable
    @SerialName("a")
    public class ProbeResponse(
        @SerialName("s") public val sequence: Int,
        @SerialName("n") public val nextOffset: Long,
        @SerialName("c") public val confirmedAgeMs: Long? = null,
        @SerialName("v") public val isVoter: Boolean = false,
        @SerialName("f") public val passedFrom: Long = 0,
        @SerialName("t") public val passedTo: Long = 0,
        @SerialName("r") public val records: List<PassedRecord> = emptyList(),
    ) : GossipMessage

    /** Requests the chunk [index] of the snapshot [contentHash], or the first chunk of any snapshot if that is null. */
    @Serializable
    @SerialName("q")
    public data class SnapshotRequest(
        @SerialName("h") val contentHash: ContentHash? = null,
        @SerialName("i") val index: Int = 0,
    ) : GossipMessage

    /** Answers a [SnapshotRequest] with a chunk. */
    @Serializable
    @SerialName("c")
    public class SnapshotResponse(@SerialName("c") public val chunk: SnapshotChunk) : GossipMessage
}

/** A record that one VM passes on to another. */
@Serializable
public class PassedRecord(
    @SerialName("o") public val offset: Long,
    @SerialName("p") public val payload: ByteArray,
)

/** Encodes a message to another VM. */
public fun encodeGossip(message: GossipMessage): ByteArray = encode(GossipMessage.serializer(), message)

/** Decodes a message of another VM; fails with a [CodecFailure] if the bytes are not a message. */
public fun decodeGossip(bytes: ByteArray): Result<GossipMessage, CodecFailure> =
    decode(GossipMessage.serializer(), bytes)
