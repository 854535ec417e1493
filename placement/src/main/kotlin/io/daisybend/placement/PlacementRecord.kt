/*
 * The records of the placement stream. The ledger is a fold over them, so a record carries everything that the fold
 * needs, and nothing in it depends on the reader. Every record names what its writer believed (a fence, a revision, an
 * offset); the fold refuses it when that no longer holds. A record that lands late or twice is refused the same way.
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

/** The stream that all placement records are written to. */
public val PLACEMENT_STREAM: LogStream = LogStream("placement")

/** The fence of an endpoint that was never claimed. */
public const val NO_FENCE: Long = -1L

/** The revision of a replica set that was never decided on. */
public const val NO_REVISION: Long = -1L

/** Identifies a record, and the order that a decision leads to. */
@JvmInline
@Serializable
public value class RecordId(public val value: String) {
    override fun toString(): String = value
}

/** One run of the daemon on a VM; a restarted daemon has another [incarnation] and owns nothing. */
@Serializable
public data class OwnerId(val vmId: VmId, val incarnation: String)

/** The accelerator memory of an endpoint, the part kept for the KV cache, and whether it checks fencing numbers. */
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

    /** The endpoint that the record is about. */
    public val endpointId: EndpointId

    /** Makes [owner] the owner; the offset of the accepted record becomes the endpoint's fence. */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val owner: OwnerId,
        val expectedFence: Long,
        val capacity: EndpointCapacity,
    ) : PlacementRecord

    /** Ends the ownership with [fence]; the endpoint has no owner until the next claim. */
    @Serializable
    @SerialName("relinquish")
    public data class Relinquish(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val fence: Long,
    ) : PlacementRecord

    /** Reserves memory for [artifact] and permits one load order whose fencing number is this record's offset. */
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

    /** Permits one unload order whose fencing number is this record's offset; the memory stays reserved. */
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
     * What the owner read from the engine after it had applied [expectedOffset], the endpoint's last record;
     * [engineFence] is the highest fencing number that a checking engine had then seen; [settledOrders] counts at an
     * engine that ignores numbers.
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

    /** States that the orders [settledOrders] were never sent and never will be. */
    @Serializable
    @SerialName("withdrawn")
    public data class Withdrawn(
        override val recordId: RecordId,
        override val endpointId: EndpointId,
        val settledOrders: List<RecordId>,
    ) : PlacementRecord
}

/** The artifact that a decision is about; null for records of other kinds. */
public val PlacementRecord.decidedArtifact: Artifact?
    get() = when (this) {
        is PlacementRecord.DecideLoad -> artifact
        is PlacementRecord.DecideUnload -> artifact
        else -> null
    }

/** An artifact that an engine held without a decision, such as one loaded before the endpoint joined. */
@Serializable
public data class FoundArtifact(val artifact: Artifact, val weightsBytes: Long)

/** Returns the payload of this record for the log. */
public fun PlacementRecord.toPayload(): ByteArray = encodeCbor(PlacementRecord.serializer(), this)

/** Returns the record in [payload]; fails with [MalformedCbor] when the bytes are not one. */
public fun decodePlacementRecord(payload: ByteArray): Result<PlacementRecord, MalformedCbor> =
    decodeCbor(PlacementRecord.serializer(), payload)
