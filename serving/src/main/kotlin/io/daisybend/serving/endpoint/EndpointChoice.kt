/*
 * Chooses the endpoint of a request. For a plain service, it chooses the endpoint with the fewest exchanges per slot.
 * For a model engine, it chooses the engine with the least predicted delay among those that hold the model and the
 * adapter; prompt parts that the engine read recently count as cached. Rendezvous hashing of the session decides
 * between engines with similar delays, so that all VMs send a new session to the same engine.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.site.EngineSpec

/** A part of a prompt; requests with the same [id] share it. */
public data class PromptPart(val id: String, val tokens: Int)

/** The model, the adapter and the tokens that a request needs from a model engine. */
public data class ModelDemand(
    val model: String,
    val adapter: String?,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val parts: List<PromptPart>,
) {
    /** The parts that other requests may share: all but the last one. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)

    /** The part that identifies the session: the one before the last, or the only one. */
    val session: PromptPart? get() = parts.getOrNull(parts.size - 2) ?: parts.firstOrNull()
}

/** The load that all VMs together put on an endpoint. */
public data class EndpointLoad(val inFlight: Int, val pendingPromptTokens: Long, val kvTokens: Long)

/** Parameters that predict the delay of a request on an engine. */
public data class EngineDelayModel(
    /** Prompt tokens that an engine processes per millisecond. */
    val prefillTokensPerMs: Double = 38.0,
    /** Share of the KV cache of an engine above which a new request is predicted to wait. */
    val kvHighWatermark: Double = 0.85,
    /** Delay added when the KV cache or the slots are full, in milliseconds: about one run. */
    val overloadPenaltyMs: Double = 1_500.0,
    /** Delay accepted to keep a session on the engine that the hash selects, in milliseconds. */
    val affinityBonusMs: Double = 40.0,
    /** Delay added for an endpoint in another failure domain, in milliseconds. */
    val crossDomainMs: Double = 4.0,
    /** Delay added for each request in flight on the engine, in milliseconds. */
    val slowdownPerRunMs: Double = 1.0,
)

/** The result of choosing an endpoint. */
public sealed interface EndpointChoice {
    /** Send to [endpoint]; [predictedFirstEventMs] is the delay predicted until the first event. */
    public data class Send(val endpoint: Endpoint, val predictedFirstEventMs: Double) : EndpointChoice

    /** Engines are usable, but none of them holds the model and the adapter. */
    public data object NotHeld : EndpointChoice

    /** The usable endpoints are at the limits that they named; one may get a request after [waitMs] milliseconds. */
    public data class Limited(val waitMs: Long) : EndpointChoice

    /** The endpoints that could serve the request take none from this VM for another [leftMs] milliseconds. */
    public data class Paused(val leftMs: Long) : EndpointChoice

    /** No endpoint is usable now. */
    public data object NoEndpoint : EndpointChoice
}

/** Chooses endpoints; stateless. */
public class EndpointChooser(
    private val delayModel: EngineDelayModel = EngineDelayModel(),
    private val failureDomain: String,
) {
    /** Chooses the endpoint of a plain service with the fewest exchanges per slot. */
    public fun choosePlain(endpoints: List<Endpoint>, load: (Endpoint) -> EndpointLoad, nowMs: Long): EndpointChoice {
        val active = endpoints.filter { !it.entry.isDraining }
        // When all endpoints are ejected, an ejected one is more likely to respond than none.
        val usable = active.filter { it.isUsable(nowMs) }.ifEmpty { active }
        val chosen = usable.minByOrNull { endpoint ->
            val exchangesPerSlot = load(endpoint).inFlight.toDouble() / endpoint.entry.slots.coerceAtLeast(1)
            exchangesPerSlot + domainPenaltyMs(endpoint) * LOAD_PER_PENALTY_MS
        } ?: return EndpointChoice.NoEndpoint
        return EndpointChoice.Send(chosen, 0.0)
    }

    /** Chooses the engine among [endpoints] with the least predicted delay until the first event for [demand]. */
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
        val preferred = demand.session?.let { session ->
            firstRankedHolder("${demand.model}/${demand.adapter.orEmpty()}/${session.id}", holders)
        }
        val delays = holders.associateWith { delayMs(it, engine, demand, load(it), cachedTokens(it)) }
        val best = delays.minBy { (endpoint, delay) ->
            if (endpoint === preferred) delay - delayModel.affinityBonusMs else delay
        }
        return EndpointChoice.Send(best.key, best.value)
    }

    private fun firstRankedHolder(key: String, holders: List<Endpoint>): Endpoint? {
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
        val prefillMs = (load.pendingPromptTokens + demand.promptTokens - cachedTokens) / delayModel.prefillTokensPerMs
        val kvTokensAfter = load.kvTokens + demand.promptTokens + demand.maxOutputTokens
        val isKvCacheFull = kvTokensAfter > engine.kvCapacityTokens * delayModel.kvHighWatermark
        val isOutOfSlots = load.inFlight >= endpoint.entry.slots
        val isOverloaded = isKvCacheFull || isOutOfSlots
        val overloadMs =
            if (isOverloaded) delayModel.overloadPenaltyMs * (1 + load.inFlight.toDouble() / engine.slots) else 0.0
        return prefillMs + overloadMs + load.inFlight * delayModel.slowdownPerRunMs + domainPenaltyMs(endpoint)
    }

    private fun domainPenaltyMs(endpoint: Endpoint) =
        if (endpoint.entry.failureDomain == failureDomain) 0.0 else delayModel.crossDomainMs

    private fun Endpoint.isUsable(nowMs: Long) = !entry.isDraining && !isEjected(nowMs)

    private companion object {
        const val LOAD_PER_PENALTY_MS = 0.02
    }
}

/** Returns whether the endpoint could serve a request with [demand] at [nowMs]; any plain service can without one. */
public fun Endpoint.canServe(demand: ModelDemand?, nowMs: Long): Boolean =
    !entry.isDraining && !isEjected(nowMs) && (demand == null || holds(demand))

/** Returns whether the endpoint holds the model and the adapter of [demand]. */
public fun Endpoint.holds(demand: ModelDemand): Boolean {
    val held = holdings?.models?.get(demand.model) ?: return false
    return demand.adapter == null || demand.adapter in held.adapters
}

/** Returns the models that the endpoint holds or has a copy of, by the list and by the announcements. */
public fun Endpoint.copies(): Set<String> = entry.holdings?.copies().orEmpty() + holdings?.copies().orEmpty()

/** Returns whether the endpoint holds [model] or has a copy of it, by the list or by an announcement. */
public fun Endpoint.hasCopy(model: String): Boolean =
    entry.holdings?.hasCopy(model) == true || holdings?.hasCopy(model) == true
