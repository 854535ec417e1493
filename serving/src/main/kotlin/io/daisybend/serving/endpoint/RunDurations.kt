/*
 * Learns how long runs of model engines take for the output that they may have. Engines differ by deployment, and runs
 * often end before their largest output, so the figure is an average over the runs that were seen to their end.
 */
package io.daisybend.serving.endpoint

/** Predicts how long runs take after their first event; safe for use by several threads. */
public class RunDurations {
    private var msPerToken = FIRST_MS_PER_TOKEN

    /** Notes that a run of at most [maxOutputTokens] took [tookMs] from its first event to its end. */
    @Synchronized
    public fun onEnded(maxOutputTokens: Int, tookMs: Long) {
        if (maxOutputTokens < FEWEST_TOKENS) return
        msPerToken += (tookMs.toDouble() / maxOutputTokens - msPerToken) * WEIGHT
    }

    /** Returns how long a run of at most [maxOutputTokens] should take from its first event to its end. */
    @Synchronized
    public fun expectedMs(maxOutputTokens: Int): Long = (maxOutputTokens * msPerToken).toLong()

    private companion object {
        /** Time for a token before any run has ended, in milliseconds: a step of a busy engine. */
        const val FIRST_MS_PER_TOKEN = 8.0

        /** Runs of fewer tokens show the way of a message rather than the engine's pace. */
        const val FEWEST_TOKENS = 16

        /** Share of the newest run in the average: some twenty runs count. */
        const val WEIGHT = 0.05
    }
}
