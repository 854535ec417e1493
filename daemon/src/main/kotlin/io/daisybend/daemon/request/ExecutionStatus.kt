/*
 * Whether a request ran. Every answer and refusal carries one of these values.
 */
package io.daisybend.daemon.request

/** What is known about the execution of a request; [wireValue] is its name in answers. */
public enum class ExecutionStatus(public val wireValue: String) {
    /** No byte of the request can have reached an endpoint, or the endpoint refused before running it. */
    NOT_RUN("not_run"),

    /** Another call of the same request has not ended. */
    IN_PROGRESS("in_progress"),

    /** The endpoint ran the request and its whole answer is known. */
    COMPLETED("completed"),

    /** The endpoint failed while it ran the request, or its answer broke off; the request may have had effects. */
    FAILED("failed"),

    /** The request reached an endpoint and its end is not known. */
    UNKNOWN("unknown"),
}
