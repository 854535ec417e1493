/*
 * Defines the requests and events of a replica router. Load reports are stale, and cache events arrive late or get
 * lost, so both are only hints: a wrong one costs latency but never correctness.
 */
package io.daisybend.scheduling.routing

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId

/** A replica that may serve the request, with the one-way network delay to its endpoint. */
public data class ReplicaCandidate(
    val endpointId: EndpointId,
    val networkDelayMs: Double = 0.0,
)

/** A request to route; [prefixHashes] are the hashes of its prompt prefixes in whole blocks, shortest first. */
public data class RoutingRequest(
    val requestId: RequestId,
    val modelId: ModelId,
    val promptTokens: Int,
    val expectedTokens: Long,
    val prefixHashes: LongArray = LongArray(0),
)

/** An input of a [ReplicaRouter]. */
public sealed interface RouterEvent {
    /** The owner of [endpointId] reported the tokens of its waiting and running requests at [reportedAtMs]. */
    public data class LoadReported(
        val endpointId: EndpointId,
        val pendingTokens: Long,
        val reportedAtMs: Long,
    ) : RouterEvent

    /** The endpoint added a prefix to its cache or evicted it; [sequence] has no gaps unless events were lost. */
    public data class CacheChanged(
        val endpointId: EndpointId,
        val sequence: Long,
        val prefixHash: Long,
        val isCached: Boolean,
    ) : RouterEvent

    /** A request that this router sent ended. */
    public data class Finished(val requestId: RequestId) : RouterEvent

    /** The endpoint left or lost its cache. */
    public data class EndpointReset(val endpointId: EndpointId) : RouterEvent
}
