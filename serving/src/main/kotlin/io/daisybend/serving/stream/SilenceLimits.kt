/*
 * Decides how long an engine may be silent before the rest of its stream is offered to another one. A silent engine may
 * be sound: it preempts streams when its memory runs out. Callers give up a stream after a gap, and another engine
 * needs a part of that gap to take over.
 */
package io.daisybend.serving.stream

/** Limits on the silence of an engine that has a request. */
public data class SilenceLimits(
    /** Silence after which a stream is offered if its engine accepts no connections, in milliseconds. */
    val checkAfterMs: Long,
    /** Silence after which a stream is offered even if its engine is still there, in milliseconds. */
    val toleranceMs: Long,
) {
    /** Returns whether to offer the stream after [silentMs] of silence; [hasEnded] checks the engine. */
    public suspend fun isOfferDue(silentMs: Long, hasEnded: suspend () -> Boolean): Boolean = when {
        silentMs < checkAfterMs -> false
        silentMs >= toleranceMs -> true
        else -> hasEnded()
    }

    /** Returns how long to wait after an engine was silent for [silentMs] and the stream stayed with it. */
    public fun nextCheckInMs(silentMs: Long): Long =
        if (silentMs < toleranceMs) minOf(CHECK_INTERVAL_MS, toleranceMs - silentMs) else OFFER_INTERVAL_MS

    public companion object {
        /** Interval at which a silent engine is checked, in milliseconds: a check opens a connection. */
        private const val CHECK_INTERVAL_MS = 1_000L

        /** Interval at which a stream is offered to others, in milliseconds. */
        private const val OFFER_INTERVAL_MS = 200L

        /** Silence after which an engine is checked, in milliseconds: many times a usual pause. */
        private const val CHECK_AFTER_MS = 1_200L

        /** Share of the callers' gap that an engine may be silent, in percent; the next engine needs the rest. */
        private const val TOLERATED_GAP_PERCENT = 75
        private const val PERCENT = 100

        /** Limits for the first response to a stream: the engine may have queued the request. */
        public val firstResponse: SilenceLimits = SilenceLimits(checkAfterMs = 4_000, toleranceMs = 4_000)

        /** Returns the limits between events of a stream whose callers give up after a gap of [callerGapMs]. */
        public fun betweenEvents(callerGapMs: Long): SilenceLimits =
            SilenceLimits(CHECK_AFTER_MS, maxOf(CHECK_AFTER_MS, callerGapMs * TOLERATED_GAP_PERCENT / PERCENT))
    }
}
