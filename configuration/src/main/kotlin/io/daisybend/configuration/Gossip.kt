/*
 * What VMs tell each other about the configuration. A probe says how far the sender is; its answer says how far the
 * receiver is, how long ago it knew that it had everything, and passes the records that the sender lacks. Field names
 * are short because every VM sends a few of these every second.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between two VMs. */
@Serializable
public sealed interface GossipMessage {
    /** Asks for an answer; the sender has replayed all records before [nextOffset]. */
    @Serializable
    @SerialName("p")
    public data class Probe(
        @SerialName("s") val sequence: Int,
        @SerialName("n") val nextOffset: Long,
    ) : GossipMessage

    /**
     * Answers the probe [sequence]. The sender has replayed all records before [nextOffset] and had, [confirmedAgeMs]
     * ago, every record of the log. It [counts] towards a majority unless it restarted and has not learnt yet, from the
     * log or from a majority, what it forgot. [records] are all records from the probe's offset up to [passedTo].
     */
    @Serializable
    @SerialName("a")
    public class ProbeResponse(
        @SerialName("s") public val sequence: Int,
        @SerialName("n") public val nextOffset: Long,
        @SerialName("c") public val confirmedAgeMs: Long? = null,
        @SerialName("v") public val counts: Boolean = false,
        @SerialName("f") public val passedFrom: Long = 0,
        @SerialName("t") public val passedTo: Long = 0,
        @SerialName("r") public val records: List<PassedRecord> = emptyList(),
    ) : GossipMessage

    /** Asks for the chunk [index] of the snapshot [contentHash], or of any snapshot. */
    @Serializable
    @SerialName("q")
    public data class SnapshotRequest(
        @SerialName("h") val contentHash: ContentHash? = null,
        @SerialName("i") val index: Int = 0,
    ) : GossipMessage

    /** Answers a request for a snapshot chunk. */
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

/** Encodes a message for another VM. */
public fun encodeGossip(message: GossipMessage): ByteArray = encode(GossipMessage.serializer(), message)

/** Decodes a message of another VM; fails with a [CodecFailure] on any other bytes. */
public fun decodeGossip(bytes: ByteArray): Result<GossipMessage, CodecFailure> =
    decode(GossipMessage.serializer(), bytes)
