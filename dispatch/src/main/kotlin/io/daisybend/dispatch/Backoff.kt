/*
 * Computes exponential backoff with jitter over the upper half of each step. The random source is passed in, so that
 * decisions stay reproducible.
 */
package io.daisybend.dispatch

import kotlin.random.Random

/** Retry delays that double from [baseMs] up to [maxMs]. */
public data class Backoff(val baseMs: Long, val maxMs: Long) {
    /** Returns the delay after [consecutiveFailures] failures in a row, from half to all of the exponential step. */
    public fun delayMs(consecutiveFailures: Int, random: Random): Long {
        val doublings = (consecutiveFailures - 1).coerceIn(0, MAX_DOUBLINGS)
        val stepMs = (baseMs shl doublings).coerceIn(1L, maxMs)
        return stepMs / 2 + random.nextLong(stepMs / 2 + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
