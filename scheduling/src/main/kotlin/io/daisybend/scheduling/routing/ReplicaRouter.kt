/*
 * Chooses among the replicas of a model by the expected time to the first token: the backlog, the part of the prompt
 * that is not cached, and the way to the endpoint. Only a few replicas are compared: the one with the longest cached
 * prefix and two drawn at random. Many routers that share one lagging report therefore do not all pick the same one.
 */
package io.daisybend.scheduling.routing

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import kotlin.random.Random

/** Speeds and bounds of a [ReplicaRouter]. */
public data class ReplicaRouterSettings(
    val prefillTokensPerSecond: Long = 8_000,
    val decodeTokensPerSecond: Long = 800,
    val prefixBlockTokens: Int = 256,
    val maxPrefixesPerEndpoint: Int = 2_048,
    val prefixLifetimeMs: Long = 600_000,
    val randomChoices: Int = 2,
)

/** Routes the requests of one entry VM; not safe for use by several threads. */
public class ReplicaRouter(
    private val random: Random,
    private val settings: ReplicaRouterSettings = ReplicaRouterSettings(),
) {
    private val loads = HashMap<EndpointId, EndpointLoad>()
    private val prefixes = HashMap<EndpointId, PrefixIndex>()
    private val endpointByRequest = HashMap<RequestId, EndpointId>()

    /** Chooses a replica for [request] and counts it as sent; returns null when [candidates] is empty. */
    public fun route(request: RoutingRequest, candidates: List<ReplicaCandidate>, nowMs: Long): EndpointId? {
        val best = comparedCandidates(request, candidates, nowMs)
            .minByOrNull { expectedFirstTokenMs(request, it, nowMs) }
            ?: return null
        loadOf(best.endpointId).send(request.requestId, request.expectedTokens, nowMs)
        prefixesOf(best.endpointId).expect(request.prefixHashes, nowMs)
        endpointByRequest[request.requestId] = best.endpointId
        return best.endpointId
    }

    /** Applies [event] at [nowMs]; unknown request ids are ignored. */
    public fun handle(event: RouterEvent, nowMs: Long) {
        when (event) {
            is RouterEvent.LoadReported -> loadOf(event.endpointId).report(event.pendingTokens, event.reportedAtMs)
            is RouterEvent.CacheChanged -> prefixesOf(event.endpointId).apply(event, nowMs)
            is RouterEvent.Finished -> endpointByRequest.remove(event.requestId)?.let {
                loads[it]?.finish(event.requestId)
            }
            is RouterEvent.EndpointReset -> forget(event.endpointId)
        }
    }

    private fun comparedCandidates(
        request: RoutingRequest,
        candidates: List<ReplicaCandidate>,
        nowMs: Long,
    ): List<ReplicaCandidate> {
        if (candidates.size <= settings.randomChoices) return candidates
        val drawn = List(settings.randomChoices) { candidates[random.nextInt(candidates.size)] }
        if (request.prefixHashes.isEmpty()) return drawn
        val cached = candidates.maxBy { cachedBlocks(request, it.endpointId, nowMs) }
        return drawn + cached
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
        prefixes[endpointId]?.cachedBlocks(request.prefixHashes, nowMs) ?: 0

    private fun forget(endpointId: EndpointId) {
        loads -= endpointId
        prefixes -= endpointId
        endpointByRequest.values.removeIf { it == endpointId }
    }

    private fun loadOf(endpointId: EndpointId): EndpointLoad = loads.getOrPut(endpointId, ::EndpointLoad)

    private fun prefixesOf(endpointId: EndpointId): PrefixIndex =
        prefixes.getOrPut(endpointId) { PrefixIndex(settings.maxPrefixesPerEndpoint, settings.prefixLifetimeMs) }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
