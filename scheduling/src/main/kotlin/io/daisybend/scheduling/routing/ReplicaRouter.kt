/*
 * Routes requests to the replica with the lowest expected time to first token, computed from the backlog, the uncached
 * part of the prompt and the network delay. Only a few replicas are compared, the one with the longest cached prefix
 * and two chosen at random, so that many routers with the same stale load report do not all choose the same replica.
 */
package io.daisybend.scheduling.routing

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import kotlin.random.Random

/** Assumed engine speeds and limits of a [ReplicaRouter]. */
public data class ReplicaRouterSettings(
    val prefillTokensPerSecond: Long = 8_000,
    val decodeTokensPerSecond: Long = 800,
    val prefixBlockTokens: Int = 256,
    val maxPrefixesPerEndpoint: Int = 2_048,
    val prefixLifetimeMs: Long = 600_000,
    val randomChoices: Int = 2,
)

/** Routes the requests of one entry VM; not thread-safe. */
public class ReplicaRouter(
    private val random: Random,
    private val settings: ReplicaRouterSettings = ReplicaRouterSettings(),
) {
    private val loads = HashMap<EndpointId, EndpointLoad>()
    private val prefixIndexes = HashMap<EndpointId, PrefixIndex>()
    private val endpointByRequest = HashMap<RequestId, EndpointId>()

    /** Chooses a replica for [request] and records it as sent; returns null if [candidates] is empty. */
    public fun route(request: RoutingRequest, candidates: List<ReplicaCandidate>, nowMs: Long): EndpointId? {
        val best = sampleCandidates(request, candidates, nowMs)
            .minByOrNull { expectedFirstTokenMs(request, it, nowMs) }
            ?: return null
        loadOf(best.endpointId).recordSent(request.requestId, request.expectedTokens, nowMs)
        prefixesOf(best.endpointId).expect(request.prefixHashes, nowMs)
        endpointByRequest[request.requestId] = best.endpointId
        return best.endpointId
    }

    /** Applies [event] at [nowMs]; unknown request ids are ignored. */
    public fun handle(event: RouterEvent, nowMs: Long) {
        when (event) {
            is RouterEvent.LoadReported -> loadOf(event.endpointId).applyReport(event.pendingTokens, event.reportedAtMs)
            is RouterEvent.CacheChanged -> prefixesOf(event.endpointId).apply(event, nowMs)
            is RouterEvent.Finished -> endpointByRequest.remove(event.requestId)?.let {
                loads[it]?.recordFinished(event.requestId)
            }
            is RouterEvent.EndpointReset -> removeEndpoint(event.endpointId)
        }
    }

    private fun sampleCandidates(
        request: RoutingRequest,
        candidates: List<ReplicaCandidate>,
        nowMs: Long,
    ): List<ReplicaCandidate> {
        if (candidates.size <= settings.randomChoices) return candidates
        val sampled = List(settings.randomChoices) { candidates[random.nextInt(candidates.size)] }
        if (request.prefixHashes.isEmpty()) return sampled
        val longestCached = candidates.maxBy { cachedBlocks(request, it.endpointId, nowMs) }
        return sampled + longestCached
    }

    private fun expectedFirstTokenMs(request: RoutingRequest, candidate: ReplicaCandidate, nowMs: Long): Double {
        val cachedTokens = cachedBlocks(request, candidate.endpointId, nowMs) * settings.prefixBlockTokens
        val uncachedTokens = maxOf(0, request.promptTokens - cachedTokens)
        val backlogTokens = loads[candidate.endpointId]?.estimatedTokens ?: 0L
        return 2 * candidate.networkDelayMs +
            uncachedTokens * MILLIS_PER_SECOND / settings.prefillTokensPerSecond +
            backlogTokens * MILLIS_PER_SECOND / settings.decodeTokensPerSecond
    }

    private fun cachedBlocks(request: RoutingRequest, endpointId: EndpointId, nowMs: Long): Int =
        prefixIndexes[endpointId]?.cachedBlocks(request.prefixHashes, nowMs) ?: 0

    private fun removeEndpoint(endpointId: EndpointId) {
        loads -= endpointId
        prefixIndexes -= endpointId
        endpointByRequest.values.removeIf { it == endpointId }
    }

    private fun loadOf(endpointId: EndpointId): EndpointLoad = loads.getOrPut(endpointId, ::EndpointLoad)

    private fun prefixesOf(endpointId: EndpointId): PrefixIndex =
        prefixIndexes.getOrPut(endpointId) { PrefixIndex(settings.maxPrefixesPerEndpoint, settings.prefixLifetimeMs) }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
