/*
 * The capacity of a fake endpoint that is brittle: a few requests run and a few wait, and an endpoint that turns more
 * than a named number away within one second falls over.
 */
package io.daisybend.entry.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** An endpoint with [slots] and [places] to wait that takes [runMs] for a request and falls over beyond [limit]. */
internal class BrittleCapacity(
    private val slots: Int = 6,
    private val places: Int = 1,
    val limit: Int = 3,
    private val runMs: Long = 100,
) {
    private val running = Semaphore(slots)
    private val accepted = AtomicInteger()
    private val turnedAwayAtMs = ConcurrentLinkedQueue<Long>()

    /** Number of times that the endpoint fell over. */
    val falls = AtomicInteger()

    /** Number of requests that the endpoint answered. */
    val answered = AtomicInteger()

    /** The most requests that were turned away within one second. */
    val mostTurnedAway: Int
        get() = turnedAwayAtMs.toList().let { all ->
            all.maxOfOrNull { from -> all.count { it - from in 0 until 1_000 } } ?: 0
        }

    /** Takes a place for a request, or returns false and calls [fall] if it is one too many. */
    fun enter(fall: () -> Unit): Boolean {
        if (accepted.incrementAndGet() <= slots + places) return true
        accepted.decrementAndGet()
        val now = System.nanoTime() / NANOS_PER_MILLI
        turnedAwayAtMs.add(now)
        if (turnedAwayAtMs.count { now - it < 1_000 } > limit) {
            falls.incrementAndGet()
            fall()
        }
        return false
    }

    /** Runs a request that has a place. */
    suspend fun run(answer: suspend () -> Unit) {
        try {
            running.acquire()
            try {
                delay(runMs)
            } finally {
                running.release()
            }
        } finally {
            accepted.decrementAndGet()
        }
        answer()
        answered.incrementAndGet()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
