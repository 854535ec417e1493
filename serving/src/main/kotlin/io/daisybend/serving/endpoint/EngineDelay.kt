/*
 * Predicts what it costs a request to be sent to a model engine: the delay until its first event, with the tokens that
 * the engine need not read again and those that it loses from its prefix cache.
 */
package io.daisybend.serving.endpoint

import io.daisybend.serving.site.EngineSpec

/** The predicted cost of sending a request to [endpoint]. */
internal class EngineCost(
    val endpoint: Endpoint,
    /** Delay until the first event, in milliseconds. */
    val delayMs: Double,
    /** Reading time saved by the prefix cache, in milliseconds. */
    val savedMs: Double,
    /** Whether the engine has no free slot, or no memory for the request, or requests wait there. */
    val isFull: Boolean,
    val cachedTokens: Int,
    /** Cost of displacing a token that other requests share from the prefix cache, in milliseconds. */
    val evictedTokenMs: Double,
)

/** Predicts costs with [model] for a VM in [failureDomain]. */
internal class EngineDelayPrediction(private val model: EngineDelayModel, private val failureDomain: String) {
    fun costOf(
        endpoint: Endpoint,
        engine: EngineSpec,
        demand: ModelDemand,
        load: EndpointLoad,
        cachedTokens: Int,
    ): EngineCost {
        val tokensPerMs = load.prefillTokensPerMs ?: model.prefillTokensPerMs
        val unreadTokens = (demand.promptTokens - cachedTokens).coerceAtLeast(0)
        val isFull = isFull(endpoint, engine, demand, load)
        val workMs = (load.pendingPromptTokens + unreadTokens) / tokensPerMs + load.inFlight * model.slowdownPerRunMs
        val overloadMs = if (isFull) overloadMs(engine, load) else 0.0
        return EngineCost(
            endpoint,
            delayMs = workMs * load.pace + overloadMs + domainPenaltyMs(endpoint),
            savedMs = minOf(cachedTokens, demand.promptTokens) / tokensPerMs * load.pace,
            isFull,
            cachedTokens,
            evictedTokenMs = load.pace / tokensPerMs * REUSE_SHARE,
        )
    }

    /** Returns the delay added for [endpoint] if it is in another failure domain, in milliseconds. */
    fun domainPenaltyMs(endpoint: Endpoint): Double =
        if (endpoint.entry.failureDomain == failureDomain) 0.0 else model.crossDomainMs

    private fun isFull(endpoint: Endpoint, engine: EngineSpec, demand: ModelDemand, load: EndpointLoad): Boolean {
        val kvTokensAfter = load.kvTokens + demand.promptTokens + demand.maxOutputTokens
        val kvCapacity = load.kvTotalTokens ?: engine.kvCapacityTokens.toLong()
        return kvTokensAfter > kvCapacity * model.kvHighWatermark ||
            load.inFlight >= endpoint.entry.slots ||
            load.waiting >= MIN_WAITING
    }

    private fun overloadMs(engine: EngineSpec, load: EndpointLoad): Double {
        val slowness = load.outputMsPerToken?.let { it / model.outputMsPerToken } ?: 1.0
        val runMs = model.overloadPenaltyMs * (slowness * load.pace).coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        return runMs * (1 + load.inFlight.toDouble() / engine.slots)
    }

    private companion object {
        /** Share of the evicted tokens that a later request is assumed to need again. */
        const val REUSE_SHARE = 0.25

        /** Waiting requests, faded by the age of the sample, from which on an engine counts as full. */
        const val MIN_WAITING = 0.5

        /** Bounds of the factor by which runs are longer than the prior: a full engine must not look free. */
        const val MIN_SLOWNESS = 0.6
        const val MAX_SLOWNESS = 4.0
    }
}
