/*
 * Whether a request was executed. Every response to a caller includes one of these values.
 */
package io.daisybend.daemon.request

/** Execution state of a request; [wireValue] is its name in responses. */
public enum class ExecutionStatus(public val wireValue: String) {
    /** No byte of the request can have reached an endpoint, or the endpoint refused it before execution. */
    NOT_RUN("not_run"),

    /** Another call of the same request is still in progress. */
    IN_PROGRESS("in_progress"),

    /** The endpoint executed the request and its complete response is known. */
    COMPLETED("completed"),

    /** The endpoint failed during execution, or its response was truncated; the request may have had side effects. */
    FAILED("failed"),

    /** The request may have reached an endpoint and its result is not known. */
    UNKNOWN("unknown"),
}
