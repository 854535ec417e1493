/*
 * Times of the reports between VMs. Each VM hears every peer, so what it receives grows with the size of the fleet and
 * with the rate of each sender. The interval therefore grows with the fleet, and early reports are limited by the link
 * and the processor time of the sender.
 */
package io.daisybend.entry.peers

/** Returns the times of reports for a VM whose link carries [linkMbps]. */
internal class ReportSchedule(private val linkMbps: Double) {
    /** Returns the interval between regular reports in a fleet of [vmCount], in milliseconds. */
    fun intervalMs(vmCount: Int): Long = (vmCount * INTERVAL_PER_VM_MS).coerceAtLeast(MIN_INTERVAL_MS)

    /** Returns how long a change is contained in regular reports, in milliseconds: some reports may be lost. */
    fun repeatWindowMs(vmCount: Int): Long = REPEATS * intervalMs(vmCount)

    /** Returns the time without reports after which a peer is not alive, in milliseconds: four reports may be lost. */
    fun aliveTimeoutMs(vmCount: Int): Long = ALIVE_INTERVALS * intervalMs(vmCount) + DELAY_MARGIN_MS

    /**
     * Returns the age of the newest report of a peer above which the directory does not name the peer, in milliseconds.
     * In large fleets that is before the peer counts as not alive, and a peer may be left out after one lost report.
     */
    fun directoryTimeoutMs(vmCount: Int): Long = minOf(aliveTimeoutMs(vmCount), MAX_DIRECTORY_AGE_MS)

    /**
     * Returns the time without reports after which a peer may use rates that this VM does not see, in milliseconds: two
     * reports may be lost.
     */
    fun mutualTimeoutMs(vmCount: Int): Long = MUTUAL_INTERVALS * intervalMs(vmCount) + MUTUAL_MARGIN_MS

    /**
     * Returns the pause after a round of reports to a fleet of [vmCount] that took [tookMs] and sent [sentBytes], in
     * milliseconds.
     */
    fun pauseMs(vmCount: Int, sentBytes: Long, tookMs: Long): Long {
        val linkMs = sentBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MEGABIT_MS)
        val pausesPerRound = 1 / MAX_EARLY_SHARE - 1
        val ownPauseMs = maxOf(linkMs / MAX_EARLY_SHARE, tookMs * pausesPerRound).toLong()
        return maxOf(ownPauseMs, vmCount * PAUSE_PER_VM_MS).coerceIn(MIN_PAUSE_MS, MAX_PAUSE_MS)
    }

    /**
     * Returns the pause between early reports to the holder of the order duty, in milliseconds: the whole fleet of
     * [vmCount] may send them at the same time.
     */
    fun demandPauseMs(vmCount: Int): Long = (vmCount * DEMAND_PAUSE_PER_VM_MS).coerceAtLeast(MIN_PAUSE_MS)

    companion object {
        /** Number of successive reports that contain a change. */
        const val REPEATS = 3

        private const val MIN_INTERVAL_MS = 250L

        /** A VM receives one regular report in this time: a percent of a small core and a tenth of a 7 Mbit/s link. */
        private const val INTERVAL_PER_VM_MS = 10L
        private const val DEMAND_PAUSE_PER_VM_MS = 4L

        /** Pause between early reports for each VM: all of them are woken by each round. */
        private const val PAUSE_PER_VM_MS = 1L
        private const val ALIVE_INTERVALS = 4L
        private const val DELAY_MARGIN_MS = 200L

        /**
         * The platform allows the directory to name a VM for 6,000 ms after its end: the least time after which a VM is
         * in touch, and 3 s. The rest is for the answer and the estimate of the age.
         */
        private const val MAX_DIRECTORY_AGE_MS = 5_500L
        private const val MUTUAL_INTERVALS = 2L
        private const val MUTUAL_MARGIN_MS = 300L
        private const val MIN_PAUSE_MS = 8L
        private const val MAX_PAUSE_MS = 2_000L

        /** Largest share of the link and of the processor time that early reports take. */
        private const val MAX_EARLY_SHARE = 0.4
        private const val BITS_PER_BYTE = 8
        private const val BITS_PER_MEGABIT_MS = 1_000.0
    }
}
