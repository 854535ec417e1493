/*
 * Defines why a non-idempotent call is refused. Every refusal means that this call did not run; EarlierCalls reports
 * separately whether an earlier call with the same key may have run.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.Failure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The reason for refusing a call, which did not run. */
@Serializable
public sealed interface CallRefusal : Failure {
    /** The intent could not be recorded because the log is unavailable. */
    @Serializable
    @SerialName("log_unavailable")
    public data object LogUnavailable : CallRefusal {
        override val message: String get() = "expected the log to record the call, but it is unavailable"
    }

    /** Old records of the stream have expired, and they may contain keys that are still within the retention time. */
    @Serializable
    @SerialName("history_incomplete")
    public data object HistoryIncomplete : CallRefusal {
        override val message: String get() = "expected all records of idempotency keys, but old ones have expired"
    }

    /** The partition already holds the maximum number of keys. */
    @Serializable
    @SerialName("too_many_keys")
    public data class TooManyKeys(val limit: Int) : CallRefusal {
        override val message: String get() = "expected fewer than $limit idempotency keys in the partition"
    }

    /** The maximum number of calls is already in progress. */
    @Serializable
    @SerialName("overloaded")
    public data class Overloaded(val limit: Int) : CallRefusal {
        override val message: String get() = "expected fewer than $limit calls in progress"
    }

    /** The idempotency key was already used for a different request. */
    @Serializable
    @SerialName("key_conflict")
    public data object KeyConflict : CallRefusal {
        override val message: String get() = "expected the same request as the first one with this idempotency key"
    }

    /** The permission to dispatch did not arrive in time. */
    @Serializable
    @SerialName("intent_timed_out")
    public data class IntentTimedOut(val waitedMs: Long) : CallRefusal {
        override val message: String get() = "expected the log to record the call in time, waited $waitedMs ms"
    }

    /** No endpoint was reached, or the endpoint refused the call before running it. */
    @Serializable
    @SerialName("endpoint_refused")
    public data object EndpointRefused : CallRefusal {
        override val message: String get() = "expected an endpoint to accept the call, got none or a refusal"
    }

    /** The gateway abandoned the attempt. */
    @Serializable
    @SerialName("attempt_abandoned")
    public data object AttemptAbandoned : CallRefusal {
        override val message: String get() = "expected an open attempt, but its gateway abandoned it"
    }
}
