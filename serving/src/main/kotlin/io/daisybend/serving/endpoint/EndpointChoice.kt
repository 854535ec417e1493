/*
 * Chooses the endpoint of a request. For a plain service, it chooses the endpoint with the fewest exchanges per slot.
 * For a model engine, it chooses the engine with the least predicted delay among those that hold the model and the
 * adapter; prompt parts that the engine read recently count as cached. Rendezvous hashing of the session decides
 * between engines with similar delays, so that all VMs send a new session to the same engine.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.firstByRendezvous
import io.daisybend.serving.site.EngineSpec
import kotlin.random.Random

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

/** The load that all VMs together put on an endpoint, and how it works now as far as that is known. */
public data class EndpointLoad(
    val inFlight: Int,
    val pendingPromptTokens: Long,
    val kvTokens: Long,
    /** Requests that wait at the endpoint although it has accepted them. */
    val waiting: Double = 0.0,
    /** How long work takes on the machine, 1 as usual. */
    val pace: Double = 1.0,
    /** Size of the KV cache that the engine states, or null where the configuration's applies. */
    val kvTotalTokens: Long? = null,
    /** Learned rates, or null where those of the delay model apply. */
    val prefillTokensPerMs: Double? = null,
    val outputMsPerToken: Double? = null,
)

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
    /** Time from the first event to the end for each token of maximum output, in milliseconds. */
    val outputMsPerToken: Double = 8.0,
)

/** The result of choosing an endpoint. */
public sealed interface EndpointChoice {
    /** Send to [endpoint]; [predictedFirstEventMs] is the delay predicted until the first event. */
    public data class Send(
        val endpoint: Endpoint,
        val predictedFirstEventMs: Double,
        /** Prompt tokens that the endpoint is expected to have in its prefix cache. */
        val cachedTokens: Int = 0,
        /** The most that any holder is expected to have. */
        val mostCachedTokens: Int = 0,
    ) : EndpointChoice

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
    failureDomain: String,
) {
    private val prediction = EngineDelayPrediction(delayModel, failureDomain)

    /**
     * Chooses the endpoint of a plain service with the fewest exchanges per slot at its pace. With [random], which many
     * VMs that know the loads late should pass, the better one of two random endpoints is chosen.
     */
    public fun choosePlain(
        endpoints: List<Endpoint>,
        load: (Endpoint) -> EndpointLoad,
        nowMs: Long,
        random: Random? = null,
    ): EndpointChoice {
        val active = endpoints.filter { !it.entry.isDraining }
        // When all endpoints are ejected, an ejected one is more likely to respond than none.
        val usable = active.filter { it.isUsable(nowMs) }.ifEmpty { active }
        val costs = usable.map { endpoint ->
            val current = load(endpoint)
            val usedShare = (current.inFlight + current.waiting) / endpoint.entry.slots.coerceAtLeast(1)
            PlainCost(
                endpoint,
                (usedShare + if (random == null) 0.0 else 1.0 / endpoint.entry.slots.coerceAtLeast(1)) * current.pace +
                    prediction.domainPenaltyMs(endpoint) * LOAD_PER_PENALTY_MS,
                isFull = usedShare >= 1,
            )
        }
        val free = costs.filter { !it.isFull }.ifEmpty { costs }
        val candidates = if (random == null) free else free.sample(SAMPLE_SIZE, random)
        val chosen = candidates.minByOrNull { it.cost } ?: return EndpointChoice.NoEndpoint
        return EndpointChoice.Send(chosen.endpoint, 0.0)
    }

    /**
     * Chooses the engine among [endpoints] with the least predicted delay until the first event for [demand]; a full
     * engine only if all holders are full. With [random], which many VMs that know the loads late should pass, the best
     * one of a few engines is chosen: two random ones, and one with cached parts or else the one that the hash selects.
     */
    public fun chooseEngine(
        endpoints: List<Endpoint>,
        engine: EngineSpec,
        demand: ModelDemand,
        load: (Endpoint) -> EndpointLoad,
        cachedTokens: (Endpoint) -> Int,
        nowMs: Long,
        random: Random? = null,
        evictedTokens: (Endpoint) -> Long = { 0 },
    ): EndpointChoice {
        val usable = endpoints.filter { it.isUsable(nowMs) }
        if (usable.isEmpty()) return EndpointChoice.NoEndpoint
        val costs = ArrayList<EngineCost>(usable.size)
        usable.forEach {
            if (it.holds(demand)) costs.add(prediction.costOf(it, engine, demand, load(it), cachedTokens(it)))
        }
        if (costs.isEmpty()) return EndpointChoice.NotHeld
        val free = costs.filter { !it.isFull }.ifEmpty { costs }
        val candidates = if (random == null) free else sampleOf(free, random)
        // Where engines have the parts already, the saved time speaks for them.
        val isCached = random != null && costs.any { it.savedMs >= MIN_SAVED_MS }
        val preferred = if (isCached) null else preferredOf(costs, demand)
        val bonusMs = if (random == null) delayModel.affinityBonusMs else sharingBonusMs(demand)
        val best = (candidates + listOfNotNull(preferred?.takeIf { it in free })).minBy { cost ->
            val totalMs = cost.delayMs + evictedTokens(cost.endpoint) * cost.evictedTokenMs
            if (cost === preferred) totalMs - bonusMs else totalMs
        }
        return EndpointChoice.Send(
            best.endpoint,
            best.delayMs,
            cachedTokens = best.cachedTokens,
            mostCachedTokens = costs.maxOf { it.cachedTokens },
        )
    }

    /** Returns the engine that the hash selects for the session of [demand], so that all VMs prefer the same one. */
    private fun preferredOf(costs: List<EngineCost>, demand: ModelDemand): EngineCost? {
        val session = demand.session ?: return null
        val key = "${demand.model}/${demand.adapter.orEmpty()}/${session.id}"
        return firstByRendezvous(key, costs) { it.endpoint.incarnation.id }
    }

    private fun sampleOf(free: List<EngineCost>, random: Random): List<EngineCost> =
        free.sample(SAMPLE_SIZE, random) +
            free.filter { it.savedMs >= MIN_SAVED_MS }.sample(PREFIX_SAMPLE_SIZE, random)

    /**
     * Returns the delay that is accepted to bring requests with the same parts together on one engine: part of what the
     * next one saves there.
     */
    private fun sharingBonusMs(demand: ModelDemand): Double {
        val sharedMs = demand.sharedParts.sumOf { it.tokens } / delayModel.prefillTokensPerMs
        return minOf(delayModel.affinityBonusMs, sharedMs * SHARING_SHARE)
    }

    private class PlainCost(val endpoint: Endpoint, val cost: Double, val isFull: Boolean)

    private fun Endpoint.isUsable(nowMs: Long) = !entry.isDraining && !isEjected(nowMs)

    private companion object {
        const val LOAD_PER_PENALTY_MS = 0.02

        /** Endpoints that are compared at random: two avoid most of the queues that one random choice meets. */
        const val SAMPLE_SIZE = 2

        /** Engines with cached parts that are compared: with two, their queues grow by requests of other VMs. */
        const val PREFIX_SAMPLE_SIZE = 1

        /** Saved reading time from which on an engine is compared for it, in milliseconds: the noise of a delay. */
        const val MIN_SAVED_MS = 10.0

        /** Share of the reading of the shared parts that is accepted as delay: 41 ms at 6,300 tokens. */
        const val SHARING_SHARE = 0.25
    }
}

/** Returns [count] different random elements, or all if there are not more. */
private fun <T> List<T>.sample(count: Int, random: Random): List<T> {
    if (size <= count) return this
    val chosen = LinkedHashSet<Int>()
    while (chosen.size < count) chosen.add(random.nextInt(size))
    return chosen.map { this[it] }
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
