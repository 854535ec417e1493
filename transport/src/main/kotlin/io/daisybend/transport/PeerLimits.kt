/*
 * Limits of peer connections.
 */
package io.daisybend.transport

/**
 * Size, concurrency and time limits of peer connections. Idle connections stay open because heartbeats are sent more
 * often than the inactivity timeout. [maxConcurrentCalls] applies to the incoming calls of a connection;
 * [maxConcurrentHandshakes] applies to incoming connections that are not yet authenticated.
 */
public data class PeerLimits(
    val maxFrameBytes: Int = 4 shl 20,
    val maxQueuedFrames: Int = 1_024,
    val maxConcurrentCalls: Int = 256,
    val connectTimeoutMs: Long = 1_000,
    val heartbeatIntervalMs: Long = 5_000,
    val inactivityTimeoutMs: Long = 15_000,
    val maxConcurrentHandshakes: Int = 1_024,
)
