/*
 * A histogram of the times between uses of one model, with buckets that grow by the square root of two. Old counts are
 * halved regularly, so the histogram follows a change of habits.
 */
package io.daisybend.scheduling.replicas

internal class InterArrivalHistogram {
    private val counts = IntArray(BUCKET_COUNT)

    var total = 0
        private set

    fun observe(gapMs: Long) {
        counts[bucketOf(gapMs)]++
        total++
        if (total >= MAX_TOTAL) halve()
    }

    /** Returns the share of gaps longer than [idleMs] that end within the next [horizonMs]. */
    fun useProbability(idleMs: Long, horizonMs: Long): Double {
        val from = bucketOf(idleMs)
        val until = bucketOf(idleMs + horizonMs)
        var ending = 0
        var open = 0
        for (bucket in from until BUCKET_COUNT) {
            open += counts[bucket]
            if (bucket <= until) ending += counts[bucket]
        }
        return (ending + PRIOR_ENDING) / (open + PRIOR_OPEN)
    }

    private fun halve() {
        for (bucket in counts.indices) counts[bucket] /= 2
        total = counts.sum()
    }

    private companion object {
        const val BUCKET_COUNT = 36
        const val FIRST_EDGE_MS = 1_000L
        const val BUCKETS_PER_DOUBLING = 2
        const val MAX_TOTAL = 128
        const val PRIOR_ENDING = 0.5
        const val PRIOR_OPEN = 1.0
        val edgesMs = LongArray(BUCKET_COUNT) { bucket ->
            (FIRST_EDGE_MS * Math.pow(2.0, bucket.toDouble() / BUCKETS_PER_DOUBLING)).toLong()
        }

        fun bucketOf(gapMs: Long): Int {
            val found = edgesMs.binarySearch(gapMs)
            val bucket = if (found >= 0) found else -found - 1
            return minOf(bucket, BUCKET_COUNT - 1)
        }
    }
}
