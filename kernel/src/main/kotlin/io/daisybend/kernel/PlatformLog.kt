/*
 * Port to the platform's append-only log. Each stream is an independent sequence of records; offsets start at zero and
 * are never reused. Records are retained for a limited time. If the response to an append is lost, the record may have
 * been appended.
 */
package io.daisybend.kernel

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/** Name of a stream of the platform's log. */
@JvmInline
@Serializable
public value class LogStream(public val name: String) {
    override fun toString(): String = name
}

/** Record of a stream with its offset. */
public class LogRecord(public val offset: Long, public val payload: ByteArray)

/** Records in offset order, with the first retained offset and the offset of the next append. */
public class LogBatch(public val records: List<LogRecord>, public val firstOffset: Long, public val nextOffset: Long)

/** Reason why the log did not complete a request. */
public sealed interface LogFailure : Failure {
    /** The log did not accept the request; the request had no effect. */
    public data class Unavailable(override val message: String) : LogFailure

    /** The log sent no response; an append may have taken effect. */
    public data class OutcomeUnknown(override val message: String) : LogFailure

    /** The record at [wantedOffset] is no longer retained; the oldest retained record is at [firstOffset]. */
    public data class Expired(val wantedOffset: Long, val firstOffset: Long) : LogFailure {
        override val message: String = "expected a record at offset $wantedOffset, the oldest retained is $firstOffset"
    }
}

/** Appends to and reads from the platform's log. */
public interface PlatformLog {
    /**
     * Appends [payload] to [stream] and returns its offset; fails with a [LogFailure]. After
     * [LogFailure.OutcomeUnknown] the record may have been appended.
     */
    public suspend fun append(stream: LogStream, payload: ByteArray): Result<Long, LogFailure>

    /** Reads up to [maxRecords] records of [stream], starting at [fromOffset]; fails with a [LogFailure]. */
    public suspend fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): Result<LogBatch, LogFailure>
}
