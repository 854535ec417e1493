/*
 * Endpoints that turned a request of this VM away and named a time for which they want no further one. A pause concerns
 * this VM alone, and no success of an earlier request ends it. It is no ejection: the endpoint works, but is full.
 */
package io.daisybend.serving.endpoint

/** The pauses of endpoints at this VM; thread-safe. */
public class EndpointPauses {
    private val lock = Any()
    private val endsAtMs = HashMap<Incarnation, Long>()

    /**
     * Records that [endpoint] turned a request away at [nowMs] for [pauseMs] milliseconds, of which at most
     * [MAX_PAUSE_MS] count. Returns the time that is left, or null if an earlier response named a later end.
     */
    public fun onTurnedAway(endpoint: Incarnation, pauseMs: Long, nowMs: Long): Long? = synchronized(lock) {
        val leftMs = pauseMs.coerceIn(0, MAX_PAUSE_MS)
        if (leftMs == 0L || nowMs + leftMs <= (endsAtMs[endpoint] ?: Long.MIN_VALUE)) return null
        endsAtMs[endpoint] = nowMs + leftMs
        leftMs
    }

    /** Returns the time until [endpoint] takes requests again at [nowMs], in milliseconds; 0 if it does now. */
    public fun leftMs(endpoint: Incarnation, nowMs: Long): Long =
        synchronized(lock) { ((endsAtMs[endpoint] ?: nowMs) - nowMs).coerceAtLeast(0) }

    /** Returns the time that is left of each pause at [nowMs], in milliseconds. */
    public fun current(nowMs: Long): Map<Incarnation, Long> =
        synchronized(lock) { endsAtMs.mapValues { it.value - nowMs }.filterValues { it > 0 } }

    /** Forgets the pauses that have ended before [nowMs]. */
    public fun removeEnded(nowMs: Long): Unit = synchronized(lock) { endsAtMs.values.removeIf { it <= nowMs } }

    public companion object {
        /** Longest pause, in milliseconds; an endpoint that names a longer one gets one request after this time. */
        public const val MAX_PAUSE_MS: Long = 600_000L
    }
}
