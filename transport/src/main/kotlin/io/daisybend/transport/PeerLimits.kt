/*
 * Bounds of peer connections.
 */
package io.daisybend.transport

/** Sizes, counts and times that bound a peer connection. */
public data class PeerLimits(
    val maxFrameBytes: Int = 4 shl 20,
    val maxQueuedFrames: Int = 1_024,
    val maxConcurrentCalls: Int = 256,
    val connectTimeoutMs: Long = 1_000,
    val heartbeatIntervalMs: Long = 5_000,
    val inactivityTimeoutMs: Long = 15_000,
    val maxIncomingConnections: Int = 1_024,
)
