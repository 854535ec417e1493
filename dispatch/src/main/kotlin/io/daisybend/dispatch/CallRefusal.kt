/*
 * Why a non-repeatable call was refused. Every case means that this call did not run; whether an earlier call with the
 * same key ran is said separately.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.Failure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A reason for refusing a call that did not run. */
@Serializable
public sealed interface CallRefusal : Failure {
    /** The intent could not be recorded, since the log does not take records. */
    @Serializable
    @SerialName("log_unavailable")
    public data object LogUnavailable : CallRefusal {
        override val message: String get() = "expected the log to record the call, but it does not answer"
    }

    /** The stream has lost old records, and keys that must still be known may be among them. */
    @Serializable
    @SerialName("history_incomplete")
    public data object HistoryIncomplete : CallRefusal {
        override val message: String get() = "expected the whole history of idempotency keys, but old records expired"
    }

    /** Too many keys are known already. */
    @Serializable
    @SerialName("too_many_keys")
    public data class TooManyKeys(val limit: Int) : CallRefusal {
        override val message: String get() = "expected fewer than $limit idempotency keys within the retry window"
    }

    /** Too many calls wait already. */
    @Serializable
    @SerialName("overloaded")
    public data class Overloaded(val limit: Int) : CallRefusal {
        override val message: String get() = "expected fewer than $limit calls under way"
    }

    /** The key came earlier with another request. */
    @Serializable
    @SerialName("key_conflict")
    public data object KeyConflict : CallRefusal {
        override val message: String get() = "expected the request that first came with this idempotency key"
    }

    /** No permission to dispatch came in time. */
    @Serializable
    @SerialName("intent_timed_out")
    public data class IntentTimedOut(val waitedMs: Long) : CallRefusal {
        override val message: String get() = "expected the call to be recorded in time, waited $waitedMs ms"
    }

    /** The endpoint was not reached, or it refused the call before running it. */
    @Serializable
    @SerialName("endpoint_refused")
    public data object EndpointRefused : CallRefusal {
        override val message: String get() = "expected an endpoint that takes the call, but none was reached"
    }

    /** The attempt has been given up by its gateway. */
    @Serializable
    @SerialName("attempt_abandoned")
    public data object AttemptAbandoned : CallRefusal {
        override val message: String get() = "expected an attempt that is under way, but it was given up"
    }
}
