/*
 * The records of the placement stream. A record carries everything that the ledger needs to apply it, so all readers
 * reach the same state. Every record except a withdrawal names a precondition (a fence, a revision or an offset), and
 * the ledger refuses the record if the precondition no longer holds. This also makes late and duplicate records
 * harmless.
 */
package io.daisybend.placement

import com.github.michaelbull.result.Result
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.MalformedCbor
import io.daisybend.kernel.VmId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The stream of placement records. */
public val PLACEMENT_STREAM: LogStream = LogStream("placement")

/** The fence of an endpoint that was never claimed. */
public const val NO_FENCE: Long = -1L

/** The revision of a replica set without any decision. */
public const val NO_REVISION: Long = -1L

/** Identifies a record and, for a decision, the order that follows from it. */
@JvmInline
@Serializable
public value class RecordId(public val value: String) {
    override fun toString(): String = value
}

/** One run of the daemon on a VM; a restarted daemon has another [incarnation] and owns no endpoints. */
@Serializable
public data class OwnerId(val vmId: VmId, val incarnation: String)

/** The accelerator memory of an endpoint, its share for the KV cache, and whether the engine checks fencing numbers. */
@Serializable
public data class EndpointCapacity(
    val memoryBytes: Long,
    val kvCacheBytes: Long = 0,
    val checksFencing: Boolean = false,
)

/** A record of the placement stream. */
@Serializable
public sealed interface PlacementRecord {
    /** Identifies this record. */
    public val recordId: RecordId

    /** The endpoint that the record concerns. */
    public val endpointId: EndpointId

    /** Makes [owner] the endpoint's owner; the offset of the accepted record becomes the endpoint's fence. */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val owner: OwnerId,
        val expectedFence: Long,
        val capacity: EndpointCapacity,
    ) : PlacementRecord

    /** Ends the ownership under [fence]; the endpoint has no owner until the next accepted claim. */
    @Serializable
    @SerialName("relinquish")
    public data class Relinquish(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val fence: Long,
    ) : PlacementRecord

    /** Reserves memory for [artifact] and permits one load order with this record's offset as its fencing number. */
    @Serializable
    @SerialName("load")
    public data class DecideLoad(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val fence: Long,
        val artifact: Artifact,
        val weightsBytes: Long,
        val expectedRevision: Long,
    ) : PlacementRecord

    /** Permits one unload order with this record's offset as its fencing number; the memory stays reserved. */
    @Serializable
    @SerialName("unload")
    public data class DecideUnload(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val fence: Long,
        val artifact: Artifact,
        val expectedRevision: Long,
    ) : PlacementRecord

    /**
     * Reports the state that the owner read from the engine after applying [expectedOffset], the endpoint's last
     * record. [engineFence] is the highest fencing number that an engine that checks them had seen; [settledOrders] is
     * used only for an engine that ignores fencing numbers.
     */
    @Serializable
    @SerialName("observed")
    public data class Observed(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val fence: Long,
        val expectedOffset: Long,
        val engineFence: Long = NO_FENCE,
        val loaded: List<Artifact> = emptyList(),
        val absent: List<Artifact> = emptyList(),
        val found: List<FoundArtifact> = emptyList(),
        val settledOrders: List<RecordId> = emptyList(),
    ) : PlacementRecord

    /** Declares that the orders [settledOrders] were not sent and never will be. */
    @Serializable
    @SerialName("withdrawn")
    public data class Withdrawn(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val settledOrders: List<RecordId>,
    ) : PlacementRecord
}

/** The artifact that a decision concerns, or null for other records. */
public val PlacementRecord.decidedArtifact: Artifact?
    get() = when (this) {
        is PlacementRecord.DecideLoad -> artifact
        is PlacementRecord.DecideUnload -> artifact
        else -> null
    }

/** An artifact that an engine holds without a decision, such as one loaded before the endpoint joined. */
@Serializable
public data class FoundArtifact(val artifact: Artifact, val weightsBytes: Long)

/** Encodes this record as a payload for the log. */
public fun PlacementRecord.toPayload(): ByteArray = encodeCbor(PlacementRecord.serializer(), this)

/** Decodes the record in [payload]; fails with [MalformedCbor] if the bytes are not a record. */
public fun decodePlacementRecord(payload: ByteArray): Result<PlacementRecord, MalformedCbor> =
    decodeCbor(PlacementRecord.serializer(), payload)
