/*
 * Whether a request ran. Every answer and refusal carries one of these values.
 */
package io.daisybend.daemon.request

/** What is known about the execution of a request; [wireValue] is its name in answers. */
public enum class ExecutionStatus(public val wireValue: String) {
    /** No byte of the request can have reached an endpoint, or the endpoint refused before running it. */
    NOT_RUN("not_run"),

    /** The endpoint ran the request and its whole answer is known. */
    COMPLETED("completed"),

    /** The request reached an endpoint and its end is not known. */
    UNKNOWN("unknown"),
}
