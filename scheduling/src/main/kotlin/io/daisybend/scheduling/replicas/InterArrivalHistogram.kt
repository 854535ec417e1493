/*
 * Counts the times between consecutive uses in a histogram whose bucket bounds grow by a factor of the square root of
 * two. The counts are halved when their total reaches a limit, so that the histogram adapts to changes in usage.
 */
package io.daisybend.scheduling.replicas

internal class InterArrivalHistogram {
    private val counts = IntArray(BUCKET_COUNT)

    var total = 0
        private set

    fun observe(gapMs: Long) {
        counts[bucketOf(gapMs)]++
        total++
        if (total >= MAX_TOTAL_COUNT) halve()
    }

    /** Estimates the share of the times longer than [idleMs] that end within the next [horizonMs]. */
    fun useProbability(idleMs: Long, horizonMs: Long): Double {
        val firstBucket = bucketOf(idleMs)
        val lastBucket = bucketOf(idleMs + horizonMs)
        var endingCount = 0
        var longerCount = 0
        for (bucket in firstBucket until BUCKET_COUNT) {
            longerCount += counts[bucket]
            if (bucket <= lastBucket) endingCount += counts[bucket]
        }
        return (endingCount + PRIOR_ENDING_COUNT) / (longerCount + PRIOR_LONGER_COUNT)
    }

    private fun halve() {
        for (bucket in counts.indices) counts[bucket] /= 2
        total = counts.sum()
    }

    private companion object {
        const val BUCKET_COUNT = 36
        const val FIRST_UPPER_BOUND_MS = 1_000L
        const val BUCKETS_PER_DOUBLING = 2
        const val MAX_TOTAL_COUNT = 128
        const val PRIOR_ENDING_COUNT = 0.5
        const val PRIOR_LONGER_COUNT = 1.0
        val bucketUpperBoundsMs = LongArray(BUCKET_COUNT) { bucket ->
            (FIRST_UPPER_BOUND_MS * Math.pow(2.0, bucket.toDouble() / BUCKETS_PER_DOUBLING)).toLong()
        }

        fun bucketOf(gapMs: Long): Int {
            val found = bucketUpperBoundsMs.binarySearch(gapMs)
            val bucket = if (found >= 0) found else -found - 1
            return minOf(bucket, BUCKET_COUNT - 1)
        }
    }
}
