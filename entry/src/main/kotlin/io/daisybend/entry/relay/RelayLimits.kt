/*
 * What a VM spends on the relays of its peers.
 */
package io.daisybend.entry.relay

/** Bounds of the relays of one VM. */
internal data class RelayLimits(
    val maxRelays: Int = MAX_RELAYS,
    /** Bytes that are queued for each relay and direction before reading pauses. */
    val maxQueuedBytes: Int = MAX_QUEUED_BYTES,
    /** Time in which a peer must send its request, in milliseconds. */
    val requestTimeoutMs: Long = REQUEST_TIMEOUT_MS,
    /** Longest time for a connection to an endpoint, in milliseconds. */
    val maxConnectTimeoutMs: Long = MAX_CONNECT_TIMEOUT_MS,
    /** Time without a byte in either direction after which a relay ends, in milliseconds. */
    val idleTimeoutMs: Long = IDLE_TIMEOUT_MS,
) {
    companion object {
        private const val MAX_RELAYS = 512
        private const val MAX_QUEUED_BYTES = 16_384
        private const val REQUEST_TIMEOUT_MS = 1_000L
        private const val MAX_CONNECT_TIMEOUT_MS = 2_000L

        /** As long as the longest request may take. */
        private const val IDLE_TIMEOUT_MS = 600_000L

        /** A relay has two sockets; callers of this VM and its own connections to endpoints need most descriptors. */
        private const val DESCRIPTORS_PER_RELAY = 8

        /** Returns the bounds of a process that may have [maxFileDescriptors] open. */
        fun forDescriptors(maxFileDescriptors: Int) =
            RelayLimits(maxRelays = minOf(MAX_RELAYS, maxFileDescriptors / DESCRIPTORS_PER_RELAY))
    }
}
