/*
 * What is known about the execution of one call. The value is sent to callers, so each case is a claim that has to be
 * true: NotRun only when no byte of the call can have reached an endpoint, or when the endpoint itself said that it
 * refused the call before running it.
 */
package io.daisybend.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Says whether a call ran, as far as that can be known. */
@Serializable
public sealed interface ExecutionStatus {
    /** The value in the callers' interface. */
    public val wireValue: String

    /** The call did not run and will not run. */
    @Serializable
    @SerialName("not_run")
    public data object NotRun : ExecutionStatus {
        override val wireValue: String = "not_run"
    }

    /** Another attempt of the same call has not ended yet. */
    @Serializable
    @SerialName("in_progress")
    public data object InProgress : ExecutionStatus {
        override val wireValue: String = "in_progress"
    }

    /** The endpoint ran the call and its whole answer is known. */
    @Serializable
    @SerialName("completed")
    public data object Completed : ExecutionStatus {
        override val wireValue: String = "completed"
    }

    /** The endpoint answered that it failed; the call may have had effects there. */
    @Serializable
    @SerialName("failed")
    public data object Failed : ExecutionStatus {
        override val wireValue: String = "failed"
    }

    /** A byte of the call may have reached the endpoint, and no whole answer came back. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : ExecutionStatus {
        override val wireValue: String = "unknown"
    }
}
