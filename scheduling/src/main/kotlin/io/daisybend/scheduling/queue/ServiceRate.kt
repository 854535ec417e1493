/*
 * Keeps an exponentially weighted moving average of the tokens that one slot of an endpoint serves per millisecond. It
 * counts the tokens charged for a request, not those used, so that expected waits stay accurate if requests use fewer
 * tokens than they are charged.
 */
package io.daisybend.scheduling.queue

internal class ServiceRate(initialTokensPerSecond: Long) {
    private var tokensPerMs = initialTokensPerSecond / MILLIS_PER_SECOND

    fun observe(costTokens: Long, durationMs: Long) {
        if (costTokens <= 0 || durationMs <= 0) return
        val sample = costTokens.toDouble() / durationMs
        tokensPerMs += (sample - tokensPerMs) * SAMPLE_WEIGHT
    }

    fun durationMs(tokens: Long, slots: Int): Long =
        if (slots == 0) Long.MAX_VALUE / 2 else (tokens / (tokensPerMs * slots)).toLong()

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val SAMPLE_WEIGHT = 0.1
    }
}
