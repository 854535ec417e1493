/*
 * Every way in which a caller's request ends without its answer. Each failure knows its HTTP status, the type that
 * callers see, whether the request ran, and when a retry makes sense.
 */
package io.daisybend.daemon.request

import io.daisybend.kernel.Failure

/** A request that is refused or has failed. */
public sealed class RequestFailure : Failure {
    /** The HTTP status of the answer. */
    public abstract val httpStatus: Int

    /** The failure's type as callers see it. */
    public abstract val type: String

    /** Whether the request ran. */
    public open val execution: ExecutionStatus get() = ExecutionStatus.NOT_RUN

    /** After how long a retry makes sense, or null when a retry of the same request does not. */
    public open val retryAfterMs: Long? get() = null

    /** Whether it is not known if an earlier call with the same idempotency key ran. */
    public open val earlierCallsMayHaveRun: Boolean get() = false

    /** The request is malformed. */
    public data class Invalid(override val message: String) : RequestFailure() {
        override val httpStatus: Int = 400
        override val type: String = "invalid_request_error"
    }

    /** The request's key is missing, unknown or withdrawn. */
    public data class Unauthenticated(override val message: String) : RequestFailure() {
        override val httpStatus: Int = 401
        override val type: String = "authentication_error"
    }

    /** The key was withdrawn while the request ran. */
    public data class KeyWithdrawn(override val execution: ExecutionStatus) : RequestFailure() {
        override val httpStatus: Int = 401
        override val type: String = "authentication_error"
        override val message: String = "expected a valid key, this key was withdrawn while the request was in progress"
    }

    /** The team may not use what the request names. */
    public data class Forbidden(override val message: String) : RequestFailure() {
        override val httpStatus: Int = 403
        override val type: String = "permission_error"
    }

    /** The request names something that does not exist. */
    public data class NotFound(override val message: String) : RequestFailure() {
        override val httpStatus: Int = 404
        override val type: String = "not_found_error"
    }

    /** The same idempotency key came with another request, or the first request with it is still in progress. */
    public data class IdempotencyConflict(
        override val message: String,
        override val execution: ExecutionStatus,
        override val retryAfterMs: Long?,
    ) : RequestFailure() {
        override val httpStatus: Int = 409
        override val type: String = "idempotency_error"
    }

    /** The body is larger than allowed. */
    public data class TooLarge(val maxBytes: Long) : RequestFailure() {
        override val httpStatus: Int = 413
        override val type: String = "invalid_request_error"
        override val message: String = "expected a body of at most $maxBytes bytes, got more"
    }

    /** The team has used its rate and burst. */
    public data class RateExceeded(override val message: String, override val retryAfterMs: Long) : RequestFailure() {
        override val httpStatus: Int = 429
        override val type: String = "rate_limit_error"
    }

    /** The request cannot be served before its deadline, or too many wait. */
    public data class Overloaded(override val message: String, override val retryAfterMs: Long) : RequestFailure() {
        override val httpStatus: Int = 503
        override val type: String = "overloaded_error"
    }

    /** The endpoint that the request waited for takes no new work; another one may. */
    public data object EndpointLeaving : RequestFailure() {
        override val httpStatus: Int = 503
        override val type: String = "overloaded_error"
        override val message: String = "expected a serving endpoint, it is leaving"
        override val retryAfterMs: Long = 1_000
    }

    /** This VM cannot serve now: it is stopping, has no configuration, or cannot confirm that it is current. */
    public data class NotReady(override val message: String, override val retryAfterMs: Long) : RequestFailure() {
        override val httpStatus: Int = 503
        override val type: String = "not_ready_error"
    }

    /** The endpoint or the platform failed; [execution] says what is known about the request. */
    public data class Unavailable(
        override val message: String,
        override val execution: ExecutionStatus,
        override val retryAfterMs: Long? = null,
        override val earlierCallsMayHaveRun: Boolean = false,
    ) : RequestFailure() {
        override val httpStatus: Int = if (execution == ExecutionStatus.NOT_RUN) 503 else 502
        override val type: String = "endpoint_error"
    }
}
