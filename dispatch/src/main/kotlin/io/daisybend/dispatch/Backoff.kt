/*
 * Exponential backoff with full jitter. The random source is passed in, so that decisions stay reproducible.
 */
package io.daisybend.dispatch

import kotlin.random.Random

/** Delays that double from [baseMs] up to [maxMs]. */
public data class Backoff(val baseMs: Long, val maxMs: Long) {
    /** Returns a delay after [failures] failures in a row, between half and the whole of the exponential step. */
    public fun delayMs(failures: Int, random: Random): Long {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        val stepMs = (baseMs shl doublings).coerceIn(1L, maxMs)
        return stepMs / 2 + random.nextLong(stepMs / 2 + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
