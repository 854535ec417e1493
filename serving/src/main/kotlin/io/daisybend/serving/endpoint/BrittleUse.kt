/*
 * What one VM does at a brittle endpoint beyond its requests in flight: places that are taken for requests not begun
 * yet, requests that may still be turned away, and those that were.
 */
package io.daisybend.serving.endpoint

/** The use of one endpoint by this VM; used under the lock of [BrittleEngines]. */
internal class BrittleUse {
    private val reservedAtMs = ArrayDeque<Long>()
    private val undecidedAtMs = ArrayDeque<Long>()
    private val abortedAtMs = ArrayDeque<Long>()
    private val countsUntilMs = ArrayList<Long>()
    private var turnedAwayAtMs = NEVER

    /** Returns the places that are taken for requests that have not begun; one that never begins counts shortly. */
    fun reserved(nowMs: Long): Int = reservedAtMs.dropBefore(nowMs - MAX_RESERVED_MS)

    /** Number of places that are taken for requests that have not begun. */
    val hasReserved: Int get() = reservedAtMs.size

    /** Returns the requests of the last [sinceMs] that may still be turned away. */
    fun undecided(nowMs: Long, sinceMs: Long = UNDECIDED_MS): Int {
        undecidedAtMs.dropBefore(nowMs - UNDECIDED_MS)
        return undecidedAtMs.count { it > nowMs - sinceMs }
    }

    /** Returns the requests that were ended lately and may still be in place. */
    fun aborted(nowMs: Long): Int = abortedAtMs.dropBefore(nowMs - ABORT_MS)

    /** Returns the requests turned away that still count. */
    fun turnedAway(nowMs: Long): Int {
        countsUntilMs.removeIf { it <= nowMs }
        return countsUntilMs.size
    }

    /** Returns the time until one request less counts as turned away, in milliseconds. */
    fun untilNextMs(nowMs: Long): Long = ((countsUntilMs.minOrNull() ?: nowMs) - nowMs).coerceAtLeast(1)

    /** Takes a place at [nowMs]. */
    fun reserve(nowMs: Long) {
        reservedAtMs.addLast(nowMs)
        undecidedAtMs.addLast(nowMs)
    }

    /** The request that was taken at [takenAtMs] counts in the requests in flight from now on. */
    fun begin(takenAtMs: Long) {
        reservedAtMs.remove(takenAtMs)
    }

    /** Gives back what was taken at [takenAtMs]. */
    fun giveBack(takenAtMs: Long) {
        reservedAtMs.remove(takenAtMs)
        undecidedAtMs.remove(takenAtMs)
    }

    /** Records that a request is written at [nowMs]. */
    fun write(nowMs: Long) {
        undecidedAtMs.addLast(nowMs)
    }

    /** Records that the request that was written at [writtenAtMs] was accepted or turned away. */
    fun decide(writtenAtMs: Long) {
        undecidedAtMs.remove(writtenAtMs)
    }

    /** Records that a request was turned away at [nowMs], which counts for [windowMs]. */
    fun turnAway(nowMs: Long, windowMs: Long) {
        countsUntilMs.add(nowMs + windowMs)
        turnedAwayAtMs = nowMs
    }

    /** Records that this VM ended a request at [nowMs] before its response was complete. */
    fun abort(nowMs: Long) {
        abortedAtMs.addLast(nowMs)
    }

    /** Returns whether a request was turned away shortly before [nowMs]. */
    fun wasTurnedAway(nowMs: Long): Boolean = nowMs - turnedAwayAtMs < FALL_MS

    /** Returns whether nothing of this use matters any more at [nowMs]. */
    fun isForgotten(nowMs: Long): Boolean = !wasTurnedAway(nowMs) &&
        turnedAway(nowMs) + reserved(nowMs) + undecided(nowMs) + aborted(nowMs) == 0

    private fun ArrayDeque<Long>.dropBefore(timeMs: Long): Int {
        while (isNotEmpty() && first() <= timeMs) removeFirst()
        return size
    }

    internal companion object {
        private const val NEVER = Long.MIN_VALUE / 4

        /** Time after which a request that was not turned away counts as accepted, in milliseconds. */
        const val UNDECIDED_MS = 50L

        /** Time in which a request that has an endpoint begins, in milliseconds. */
        private const val MAX_RESERVED_MS = 1_000L

        /** Time in which an endpoint notices that a connection was closed, in milliseconds. */
        private const val ABORT_MS = 100L

        /** Time from a refusal to the end of connections that shows that the endpoint fell over, in milliseconds. */
        private const val FALL_MS = 3_000L
    }
}
