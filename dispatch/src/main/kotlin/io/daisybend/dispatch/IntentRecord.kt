/*
 * The records of an intent stream. One append carries a batch of records. Replaying a stream is a pure function, so
 * every process that has read the same records knows the same winner for each key; repeated records change nothing.
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

/** One run of a gateway process; a restarted process gets another [startId] and never continues old attempts. */
@Serializable
public data class GatewayIncarnation(@SerialName("v") val vmId: VmId, @SerialName("s") val startId: Long)

/** One attempt of one gateway process to run a request; never used twice. */
@Serializable
public data class AttemptId(@SerialName("e") val executor: GatewayIncarnation, @SerialName("n") val sequence: Long)

/** The endpoint's answer as kept for later calls with the same key. */
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

/** How an attempt ended; [answer] is absent when none came or when it was too large to keep. */
@Serializable
public data class StoredOutcome(
    @SerialName("x") val status: ExecutionStatus,
    @SerialName("a") val response: StoredResponse? = null,
)

/** One record of an intent stream. */
@Serializable
public sealed interface IntentRecord {
    /** A gateway wants to run the request; the first open intent of a key wins. */
    @Serializable
    @SerialName("i")
    public data class Intent(
        @SerialName("k") val key: RequestKey,
        @SerialName("f") val fingerprint: RequestFingerprint,
        @SerialName("a") val attemptId: AttemptId,
    ) : IntentRecord

    /** The gateway of the attempt never dispatched it and never will. */
    @Serializable
    @SerialName("a")
    public data class Abandonment(
        @SerialName("k") val key: RequestKey,
        @SerialName("a") val attemptId: AttemptId,
    ) : IntentRecord

    /** The attempt ended with an outcome. */
    @Serializable
    @SerialName("o")
    public data class Outcome(
        @SerialName("k") val key: RequestKey,
        @SerialName("a") val attemptId: AttemptId,
        @SerialName("o") val outcome: StoredOutcome,
    ) : IntentRecord

    /** A part of the state of the stream as it was before [asOfOffset]. */
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

/** The attempt that the record is about; a checkpoint is about none. */
internal val IntentRecord.attemptIdOrNull: AttemptId?
    get() = when (this) {
        is IntentRecord.Intent -> attemptId
        is IntentRecord.Abandonment -> attemptId
        is IntentRecord.Outcome -> attemptId
        is IntentRecord.CheckpointPart -> null
    }

/** One key in a checkpoint. */
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

/** The payload of one append. */
@Serializable
public data class IntentBatch(
    @SerialName("t") val appendedAtMs: Long,
    @SerialName("r") val records: List<IntentRecord>,
)

/** Returns the bytes of [batch] for the log. */
public fun encodeIntentBatch(batch: IntentBatch): ByteArray = encodeCbor(IntentBatch.serializer(), batch)

/** Reads a batch from the bytes of a log record; fails when they are not one. */
public fun decodeIntentBatch(payload: ByteArray): Result<IntentBatch, MalformedCbor> =
    decodeCbor(IntentBatch.serializer(), payload)
