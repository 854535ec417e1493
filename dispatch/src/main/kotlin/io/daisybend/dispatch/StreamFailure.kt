/*
 * Why a streamed answer ended before its finish.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.Failure

/** A streamed answer that did not finish. */
public sealed interface StreamFailure : Failure {
    /** The time of the request ran out. */
    public data class DeadlineExceeded(val deliveredTokens: Int) : StreamFailure {
        override val message: String = "expected the answer before its deadline, delivered $deliveredTokens tokens"
    }

    /** No attempt of [attempts] brought the answer to its end. */
    public data class AttemptsExhausted(val attempts: Int, val deliveredTokens: Int) : StreamFailure {
        override val message: String =
            "expected a whole answer within $attempts attempts, delivered $deliveredTokens tokens"
    }

    /** The budget of retries is used up. */
    public data class RetryBudgetExhausted(val deliveredTokens: Int) : StreamFailure {
        override val message: String = "expected retries to be left in the budget, delivered $deliveredTokens tokens"
    }
}
