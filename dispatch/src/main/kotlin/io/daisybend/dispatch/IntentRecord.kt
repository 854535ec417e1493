/*
 * Defines the records of an intent stream and their encoding. One append contains a batch of records. The replay of a
 * stream is deterministic, so all processes that have read the same records agree on the winning attempt for each key,
 * and duplicate records have no effect.
 */
package io.daisybend.dispatch

import com.github.michaelbull.result.Result
import io.daisybend.kernel.MalformedCbor
import io.daisybend.kernel.VmId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One run of a gateway process; a restarted process has another [startId] and never continues earlier attempts. */
@Serializable
public data class GatewayIncarnation(@SerialName("v") val vmId: VmId, @SerialName("s") val startId: Long)

/** Identifies one attempt of one gateway process to run a request; never reused. */
@Serializable
public data class AttemptId(@SerialName("e") val executor: GatewayIncarnation, @SerialName("n") val sequence: Long)

/** The response of the endpoint as stored for later calls with the same key. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("StoredAnswer")
public class StoredResponse(
    @SerialName("s") public val statusCode: Int,
    @SerialName("t") public val contentType: String,
    @SerialName("b") @ByteString public val body: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is StoredResponse &&
            statusCode == other.statusCode &&
            contentType == other.contentType &&
            body.contentEquals(other.body)

    override fun hashCode(): Int = statusCode + body.contentHashCode()

    override fun toString(): String = "StoredResponse($statusCode, $contentType, ${body.size} bytes)"
}

/** How an attempt ended; [response] is null if none was received or if it was too large to store. */
@Serializable
public data class StoredOutcome(
    @SerialName("x") val status: ExecutionStatus,
    @SerialName("a") val response: StoredResponse? = null,
)

/** One record of an intent stream. */
@Serializable
public sealed interface IntentRecord {
    /** A gateway intends to run the request; the first intent of a key that is not abandoned wins. */
    @Serializable
    @SerialName("i")
    public data class Intent(
        @SerialName("k") val key: RequestKey,
        @SerialName("f") val fingerprint: RequestFingerprint,
        @SerialName("a") val attemptId: AttemptId,
    ) : IntentRecord

    /** The gateway of the attempt has not dispatched it and never will. */
    @Serializable
    @SerialName("a")
    public data class Abandonment(
        @SerialName("k") val key: RequestKey,
        @SerialName("a") val attemptId: AttemptId,
    ) : IntentRecord

    /** The attempt ended with [outcome]. */
    @Serializable
    @SerialName("o")
    public data class Outcome(
        @SerialName("k") val key: RequestKey,
        @SerialName("a") val attemptId: AttemptId,
        @SerialName("o") val outcome: StoredOutcome,
    ) : IntentRecord

    /** One part of a checkpoint, which holds the state of the stream before [asOfOffset]. */
    @Serializable
    @SerialName("c")
    public data class CheckpointPart(
        @SerialName("o") val asOfOffset: Long,
        @SerialName("w") val writer: GatewayIncarnation,
        @SerialName("p") val partIndex: Int,
        @SerialName("n") val partCount: Int,
        @SerialName("t") val streamTimeMs: Long,
        @SerialName("e") val entries: List<CheckpointEntry> = emptyList(),
        @SerialName("b") val abandoned: List<AbandonedAttempt> = emptyList(),
    ) : IntentRecord
}

/** The attempt that the record belongs to; null for a checkpoint part. */
internal val IntentRecord.attemptIdOrNull: AttemptId?
    get() = when (this) {
        is IntentRecord.Intent -> attemptId
        is IntentRecord.Abandonment -> attemptId
        is IntentRecord.Outcome -> attemptId
        is IntentRecord.CheckpointPart -> null
    }

/** The state of one key in a checkpoint. */
@Serializable
public data class CheckpointEntry(
    @SerialName("k") val key: RequestKey,
    @SerialName("f") val fingerprint: RequestFingerprint,
    @SerialName("a") val attemptId: AttemptId,
    @SerialName("t") val recordedAtMs: Long,
    @SerialName("o") val outcome: StoredOutcome? = null,
)

/** One abandoned attempt in a checkpoint. */
@Serializable
public data class AbandonedAttempt(
    @SerialName("a") val attemptId: AttemptId,
    @SerialName("t") val recordedAtMs: Long,
)

/** The payload of one append to an intent stream. */
@Serializable
public data class IntentBatch(
    @SerialName("t") val appendedAtMs: Long,
    @SerialName("r") val records: List<IntentRecord>,
)

/** Encodes [batch] as the payload of a log record. */
public fun encodeIntentBatch(batch: IntentBatch): ByteArray = encodeCbor(IntentBatch.serializer(), batch)

/** Decodes the payload of a log record; fails if it is not a valid batch. */
public fun decodeIntentBatch(payload: ByteArray): Result<IntentBatch, MalformedCbor> =
    decodeCbor(IntentBatch.serializer(), payload)
