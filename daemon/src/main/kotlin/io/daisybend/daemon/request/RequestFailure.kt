/*
 * The errors that a caller can receive. Each one has an HTTP status, an error type, the execution status of the
 * request, and a retry delay if a retry can succeed.
 */
package io.daisybend.daemon.request

import io.daisybend.kernel.Failure

/** The error of a request that was refused or has failed. */
public sealed class RequestFailure : Failure {
    /** HTTP status of the response. */
    public abstract val httpStatus: Int

    /** Error type in the response body. */
    public abstract val type: String

    /** Whether the request was executed. */
    public open val execution: ExecutionStatus get() = ExecutionStatus.NOT_RUN

    /** Delay before a retry, or null if a retry of the same request cannot succeed. */
    public open val retryAfterMs: Long? get() = null

    /** Whether an earlier call with the same idempotency key may have been executed. */
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

    /** The key was withdrawn while the request was in progress. */
    public data class KeyWithdrawn(override val execution: ExecutionStatus) : RequestFailure() {
        override val httpStatus: Int = 401
        override val type: String = "authentication_error"
        override val message: String = "expected a valid key, this key was withdrawn while the request was in progress"
    }

    /** The team may not use the requested model, adapter or route. */
    public data class Forbidden(override val message: String) : RequestFailure() {
        override val httpStatus: Int = 403
        override val type: String = "permission_error"
    }

    /** The requested model, adapter or route does not exist. */
    public data class NotFound(override val message: String) : RequestFailure() {
        override val httpStatus: Int = 404
        override val type: String = "not_found_error"
    }

    /** The idempotency key was used with a different request, or the first request with it is still in progress. */
    public data class IdempotencyConflict(
        override val message: String,
        override val execution: ExecutionStatus,
        override val retryAfterMs: Long?,
    ) : RequestFailure() {
        override val httpStatus: Int = 409
        override val type: String = "idempotency_error"
    }

    /** The request body exceeds [maxBytes]. */
    public data class TooLarge(val maxBytes: Long) : RequestFailure() {
        override val httpStatus: Int = 413
        override val type: String = "invalid_request_error"
        override val message: String = "expected a body of at most $maxBytes bytes, got more"
    }

    /** The team has exceeded its rate and burst. */
    public data class RateExceeded(override val message: String, override val retryAfterMs: Long) : RequestFailure() {
        override val httpStatus: Int = 429
        override val type: String = "rate_limit_error"
    }

    /** The request cannot be served before its deadline, or too many requests are queued or in progress. */
    public data class Overloaded(override val message: String, override val retryAfterMs: Long) : RequestFailure() {
        override val httpStatus: Int = 503
        override val type: String = "overloaded_error"
    }

    /** The endpoint that the request was queued for accepts no new requests; another endpoint may. */
    public data object EndpointLeaving : RequestFailure() {
        override val httpStatus: Int = 503
        override val type: String = "overloaded_error"
        override val message: String = "expected a serving endpoint, it is leaving"
        override val retryAfterMs: Long = 1_000
    }

    /** This VM cannot serve now: it is stopping, has no configuration, or cannot confirm that it is up to date. */
    public data class NotReady(override val message: String, override val retryAfterMs: Long) : RequestFailure() {
        override val httpStatus: Int = 503
        override val type: String = "not_ready_error"
    }

    /** The endpoint or the platform failed; [execution] states whether the request was executed. */
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
