/*
 * Chooses the endpoint of a request. Plain services get the request with the fewest exchanges for their slots. Model
 * engines must hold the model and the adapter; among them the one with the least predicted delay is taken, counting
 * the prompt parts that were read there lately as cached. Hashing the session's part breaks near ties, so that all VMs
 * send a new session to the same engine.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.site.EngineSpec

/** A part of a prompt that requests share. */
public data class PromptPart(val id: String, val tokens: Int)

/** What a request asks of a model engine. */
public data class ModelDemand(
    val model: String,
    val adapter: String?,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val parts: List<PromptPart>,
) {
    /** The last part that several requests share: what ties requests to one engine. */
    val session: PromptPart? get() = parts.getOrNull(parts.size - 2) ?: parts.firstOrNull()
}

/** Load of an endpoint over all VMs. */
public data class EndpointLoad(val inFlight: Int, val pendingPromptTokens: Long, val kvTokens: Long)

/** Figures that predict the delay of an engine. */
public data class EngineDelayModel(
    /** Prompt tokens that an engine reads in a millisecond. */
    val prefillTokensPerMs: Double = 38.0,
    /** Share of an engine's memory that requests may claim before new ones are counted as waiting. */
    val kvHighWatermark: Double = 0.85,
    /** Delay counted for work sent beyond the memory or the slots, in milliseconds: about one run. */
    val overloadPenaltyMs: Double = 1_500.0,
    /** Delay accepted to keep a session on the engine that hashing gives it, in milliseconds. */
    val affinityBonusMs: Double = 40.0,
    /** Delay counted for another failure domain, in milliseconds. */
    val crossDomainMs: Double = 4.0,
    /** Slowdown of all runs that one more run brings, in milliseconds. */
    val slowdownPerRunMs: Double = 1.0,
)

/** What the choice says. */
public sealed interface EndpointChoice {
    /** Send to [endpoint]; [predictedFirstEventMs] is the delay expected there. */
    public data class Send(val endpoint: Endpoint, val predictedFirstEventMs: Double) : EndpointChoice

    /** Engines are there, but none that may be used holds the model or the adapter. */
    public data object NotHeld : EndpointChoice

    /** No endpoint may be used now. */
    public data object NoEndpoint : EndpointChoice
}

/** Chooses endpoints; holds no state. */
public class EndpointChooser(
    private val model: EngineDelayModel = EngineDelayModel(),
    private val failureDomain: String,
) {
    /** Chooses among [endpoints] of a plain service the one with the fewest exchanges for its slots. */
    public fun choosePlain(endpoints: List<Endpoint>, load: (Endpoint) -> EndpointLoad, nowMs: Long): EndpointChoice {
        val present = endpoints.filter { !it.entry.isDraining }
        // When all have failed lately, a failing one is still a better chance than none.
        val usable = present.filter { it.isUsable(nowMs) }.ifEmpty { present }
        val chosen = usable.minByOrNull { endpoint ->
            val perSlot = load(endpoint).inFlight.toDouble() / endpoint.entry.slots.coerceAtLeast(1)
            perSlot + domainPenalty(endpoint) * PLAIN_DOMAIN_WEIGHT
        } ?: return EndpointChoice.NoEndpoint
        return EndpointChoice.Send(chosen, 0.0)
    }

    /** Chooses among [endpoints] of [engine]'s class the one that answers [demand] first. */
    public fun chooseEngine(
        endpoints: List<Endpoint>,
        engine: EngineSpec,
        demand: ModelDemand,
        load: (Endpoint) -> EndpointLoad,
        cachedTokens: (Endpoint) -> Int,
        nowMs: Long,
    ): EndpointChoice {
        val usable = endpoints.filter { it.isUsable(nowMs) }
        if (usable.isEmpty()) return EndpointChoice.NoEndpoint
        val holders = usable.filter { it.holds(demand) }
        if (holders.isEmpty()) return EndpointChoice.NotHeld
        val affinity = demand.session?.let { session ->
            firstHolder("${demand.model}/${demand.adapter.orEmpty()}/${session.id}", holders)
        }
        val delays = holders.associateWith { delayMs(it, engine, demand, load(it), cachedTokens(it)) }
        val best =
            delays.minBy { (endpoint, delay) -> if (endpoint === affinity) delay - model.affinityBonusMs else delay }
        return EndpointChoice.Send(best.key, best.value)
    }

    private fun firstHolder(key: String, holders: List<Endpoint>): Endpoint? {
        val first = rankByRendezvous(key, holders.map { it.incarnation.id }).firstOrNull() ?: return null
        return holders.first { it.incarnation.id == first }
    }

    private fun delayMs(
        endpoint: Endpoint,
        engine: EngineSpec,
        demand: ModelDemand,
        load: EndpointLoad,
        cachedTokens: Int,
    ): Double {
        val prefill = (load.pendingPromptTokens + demand.promptTokens - cachedTokens) / model.prefillTokensPerMs
        val kvAfter = load.kvTokens + demand.promptTokens + demand.maxOutputTokens
        val beyondMemory = kvAfter > engine.kvCapacityTokens * model.kvHighWatermark
        val beyondSlots = load.inFlight >= endpoint.entry.slots
        val isOverfull = beyondMemory || beyondSlots
        val overflow = if (isOverfull) model.overloadPenaltyMs * (1 + load.inFlight.toDouble() / engine.slots) else 0.0
        return prefill + overflow + load.inFlight * model.slowdownPerRunMs + domainPenalty(endpoint)
    }

    private fun domainPenalty(endpoint: Endpoint) =
        if (endpoint.entry.failureDomain == failureDomain) 0.0 else model.crossDomainMs

    private fun Endpoint.isUsable(nowMs: Long) = !entry.isDraining && !isEjected(nowMs)

    private companion object {
        const val PLAIN_DOMAIN_WEIGHT = 0.02
    }
}

/** Whether the endpoint holds the model and the adapter of [demand]. */
public fun Endpoint.holds(demand: ModelDemand): Boolean {
    val held = holdings?.models?.get(demand.model) ?: return false
    return demand.adapter == null || demand.adapter in held.adapters
}
