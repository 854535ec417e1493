/*
 * What a router learns about replicas and what it is asked. Load reports lag and cache events come late and with gaps,
 * so both are hints: a wrong one costs time, never correctness.
 */
package io.daisybend.scheduling.routing

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId

/** A replica that may serve the request, with the one-way delay to its endpoint. */
public data class ReplicaCandidate(
    val endpointId: EndpointId,
    val networkDelayMs: Double = 0.0,
)

/** A request to be routed; [prefixHashes] name its prompt's prefixes in blocks, shortest first. */
public data class RoutingRequest(
    val requestId: RequestId,
    val modelId: ModelId,
    val promptTokens: Int,
    val expectedTokens: Long,
    val prefixHashes: LongArray = LongArray(0),
)

/** What may happen at a router. */
public sealed interface RouterEvent {
    /** The owner of [endpointId] reports the tokens that waited or ran there at [reportedAtMs]. */
    public data class LoadReported(
        val endpointId: EndpointId,
        val pendingTokens: Long,
        val reportedAtMs: Long,
    ) : RouterEvent

    /** The endpoint's cache has taken or dropped a prefix; [sequence] has no gaps unless events were lost. */
    public data class CacheChanged(
        val endpointId: EndpointId,
        val sequence: Long,
        val prefixHash: Long,
        val isCached: Boolean,
    ) : RouterEvent

    /** A request that this router sent has ended. */
    public data class Finished(val requestId: RequestId) : RouterEvent

    /** The endpoint is gone or has lost its cache. */
    public data class EndpointReset(val endpointId: EndpointId) : RouterEvent
}
