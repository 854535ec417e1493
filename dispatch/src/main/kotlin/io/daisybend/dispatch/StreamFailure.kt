/*
 * Defines the reasons why a streamed response ends without finishing.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.Failure

/** The reason why a streamed response did not finish. */
public sealed interface StreamFailure : Failure {
    /** The deadline of the request passed. */
    public data class DeadlineExceeded(val deliveredTokens: Int) : StreamFailure {
        override val message: String = "expected the response to end before its deadline, got $deliveredTokens tokens"
    }

    /** None of [attempts] attempts completed the response. */
    public data class AttemptsExhausted(val attempts: Int, val deliveredTokens: Int) : StreamFailure {
        override val message: String =
            "expected a complete response within $attempts attempts, got $deliveredTokens tokens"
    }

    /** The retry budget is exhausted. */
    public data class RetryBudgetExhausted(val deliveredTokens: Int) : StreamFailure {
        override val message: String = "expected a retry left in the budget, got none after $deliveredTokens tokens"
    }
}
