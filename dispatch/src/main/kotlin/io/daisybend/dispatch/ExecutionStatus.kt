/*
 * Defines the execution status of a call. Callers receive it, so it must never claim more than is known: NotRun is
 * reported only if no byte of the call can have reached an endpoint, or if the endpoint itself reported that it refused
 * the call before running it.
 */
package io.daisybend.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a call ran, as far as the system can know. */
@Serializable
public sealed interface ExecutionStatus {
    /** The value that callers receive. */
    public val wireValue: String

    /** The call did not run and will not run. */
    @Serializable
    @SerialName("not_run")
    public data object NotRun : ExecutionStatus {
        override val wireValue: String = "not_run"
    }

    /** Another attempt to run the same request has not ended yet. */
    @Serializable
    @SerialName("in_progress")
    public data object InProgress : ExecutionStatus {
        override val wireValue: String = "in_progress"
    }

    /** The endpoint ran the call and its complete response was received. */
    @Serializable
    @SerialName("completed")
    public data object Completed : ExecutionStatus {
        override val wireValue: String = "completed"
    }

    /** The endpoint reported a failure; the call may have had side effects there. */
    @Serializable
    @SerialName("failed")
    public data object Failed : ExecutionStatus {
        override val wireValue: String = "failed"
    }

    /** A byte of the call may have reached the endpoint, and no complete response was received. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : ExecutionStatus {
        override val wireValue: String = "unknown"
    }
}
