/*
 * When a VM calls the platform's store to follow what others write there. Each call is priced, so a fleet of more than
 * a few VMs calls as seldom as the platform's bounds allow. Small fleets keep the shortest times.
 */
package io.daisybend.serving.site

import kotlin.random.Random

/** The platform's bounds on how late this VM may follow the store, in milliseconds. */
public data class StorePollingBounds(
    /** From the acknowledgement of a configuration until it is in force. */
    val configApplyMs: Long,
    /** From the withdrawal of a key until it is refused everywhere. */
    val revokeMs: Long,
    /** From the acknowledgement that an endpoint leaves until it gets no requests. */
    val drainMs: Long,
)

/** Times of the long polls of the operators' topic and of the ages that follow from them, in milliseconds. */
public data class OperatorPollTimes(
    /** How long the store holds a poll without new records. */
    val longPollMs: Long,
) {
    /** Greatest age of the configuration at which an unknown key or route is denied: one long poll and its response. */
    val maxDenialAgeMs: Long get() = longPollMs + StorePolling.RESPONSE_TIMEOUT_MS

    /** Greatest age of the configuration at which a VM is used by others: two long polls and their responses. */
    val maxUsableAgeMs: Long get() = 2 * longPollMs + USABLE_MARGIN_MS

    private companion object {
        const val USABLE_MARGIN_MS = 200L
    }
}

/** Derives the times of calls to the store from [bounds]. */
public class StorePolling(private val bounds: StorePollingBounds) {
    /** Returns whether a fleet of [vmCount] is large enough for fewer calls. */
    public fun isLargeFleet(vmCount: Int): Boolean = vmCount > MAX_SMALL_FLEET_VMS

    /**
     * Returns the times of the operators' topic in a fleet of [vmCount]. A poll on a connection that went silent ends
     * one response timeout after the wait, and the read that follows it at once takes up to another one.
     */
    public fun operatorTimes(vmCount: Int): OperatorPollTimes {
        if (!isLargeFleet(vmCount)) return OperatorPollTimes(MIN_LONG_POLL_MS)
        val allowedMs = bounds.configApplyMs - 2 * RESPONSE_TIMEOUT_MS - SCHEDULING_MARGIN_MS
        // Keys must stay valid while the store is unavailable for a while, whatever is left of the last confirmation.
        return OperatorPollTimes(minOf(allowedMs, bounds.revokeMs / 2).coerceAtLeast(MIN_LONG_POLL_MS))
    }

    /** Returns the delay before another call after a failed one, in milliseconds; [random] spreads the VMs. */
    public fun retryDelayMs(vmCount: Int, random: Random): Long =
        if (isLargeFleet(vmCount)) random.nextLong(RETRY_DELAY_MS, MAX_RETRY_DELAY_MS + 1) else RETRY_DELAY_MS

    /**
     * Returns the interval between reads of the kept evidence of quarantines, in milliseconds, while
     * [unreachableShare] of [vmCount] VMs is out of contact. In a large fleet some VM restarts at nearly any time, and
     * what it saw was reported to all others; a share as large as that of a failure domain means that links are down.
     */
    public fun evidenceIntervalMs(vmCount: Int, unreachableShare: Double): Long =
        if (isLargeFleet(vmCount) && unreachableShare < MIN_PARTITION_SHARE) RELAXED_EVIDENCE_MS else EVIDENCE_MS

    public companion object {
        /** Interval at which evidence of quarantines is read while many peers are out of contact, in milliseconds. */
        public const val EVIDENCE_MS: Long = 1_500
        private const val RELAXED_EVIDENCE_MS = 6_000L
        private const val MIN_PARTITION_SHARE = 0.1

        /** Timeout for a response beyond the wait, in milliseconds: many times the store's usual response time. */
        public const val RESPONSE_TIMEOUT_MS: Long = 700

        /** Largest fleet in which each VM follows the store by itself: its calls cost less than sharing them. */
        private const val MAX_SMALL_FLEET_VMS = 16

        private const val MIN_LONG_POLL_MS = 1_200L
        private const val SCHEDULING_MARGIN_MS = 100L
        private const val RETRY_DELAY_MS = 250L

        /** With a usual response, a VM notices within half a second that the store is available again. */
        private const val MAX_RETRY_DELAY_MS = 450L
    }
}
