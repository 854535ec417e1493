/*
 * The port to the platform's append-only log. Streams are independent sequences of records with offsets that start at
 * zero and never repeat. A record is kept for a limited time. An append whose answer is lost may have taken effect.
 */
package io.daisybend.kernel

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/** Names one stream of the platform's log. */
@JvmInline
@Serializable
public value class LogStream(public val name: String) {
    override fun toString(): String = name
}

/** One record of a stream at its offset. */
public class LogRecord(public val offset: Long, public val payload: ByteArray)

/** Records in offset order, with the first kept offset and the offset that the next append will get. */
public class LogBatch(public val records: List<LogRecord>, public val firstOffset: Long, public val nextOffset: Long)

/** Why the log did not do what was asked. */
public sealed interface LogFailure : Failure {
    /** The log did not take the request; it had no effect. */
    public data class Unavailable(override val message: String) : LogFailure

    /** No answer came; an append may have taken effect. */
    public data class OutcomeUnknown(override val message: String) : LogFailure

    /** The record at [wantedOffset] is no longer kept; the oldest one is at [firstOffset]. */
    public data class Expired(val wantedOffset: Long, val firstOffset: Long) : LogFailure {
        override val message: String = "expected a record at offset $wantedOffset, the oldest kept is $firstOffset"
    }
}

/** Appends to and reads from the platform's log. */
public interface PlatformLog {
    /** Appends [payload] to [stream] and returns its offset; fails with a [LogFailure], maybe after taking effect. */
    public suspend fun append(stream: LogStream, payload: ByteArray): Result<Long, LogFailure>

    /** Reads at most [maxRecords] records of [stream] from [fromOffset]; fails with a [LogFailure]. */
    public suspend fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): Result<LogBatch, LogFailure>
}
