/*
 * Predicts the duration of runs on model engines from their maximum output. Engines differ by deployment, and runs
 * often end before the maximum output, so the prediction is a moving average over completed runs.
 */
package io.daisybend.serving.endpoint

/** Predicts the time from the first event of a run to its end; thread-safe. */
public class RunDurations {
    private var msPerToken = INITIAL_MS_PER_TOKEN

    /** Records that a run of at most [maxOutputTokens] took [tookMs] from its first event to its end. */
    @Synchronized
    public fun onEnded(maxOutputTokens: Int, tookMs: Long) {
        if (maxOutputTokens < MIN_OUTPUT_TOKENS) return
        msPerToken += (tookMs.toDouble() / maxOutputTokens - msPerToken) * SMOOTHING_FACTOR
    }

    /** Returns the predicted time from the first event to the end of a run of at most [maxOutputTokens]. */
    @Synchronized
    public fun expectedMs(maxOutputTokens: Int): Long = (maxOutputTokens * msPerToken).toLong()

    private companion object {
        /** Time per token before any run has ended, in milliseconds: one decoding step of a busy engine. */
        const val INITIAL_MS_PER_TOKEN = 8.0

        /** Runs with a smaller maximum output are ignored: network delay dominates their duration. */
        const val MIN_OUTPUT_TOKENS = 16

        /** Weight of the newest run in the moving average, which spans about 20 runs. */
        const val SMOOTHING_FACTOR = 0.05
    }
}
