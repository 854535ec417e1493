/*
 * Finds endpoints for requests: asks the chooser, lets requests wait for models that are on their way, and keeps count
 * of what requests of this VM take, for the choice here and at the peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.WantReport
import io.daisybend.entry.peers.useKey
import io.daisybend.serving.attempt.RetryBudget
import io.daisybend.serving.attempt.RetryBudgetSettings
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointChoice
import io.daisybend.serving.endpoint.EndpointChooser
import io.daisybend.serving.endpoint.EndpointLoad
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** What the desk found. */
internal sealed interface Found {
    /** Send to [endpoint]. */
    class Use(val endpoint: Endpoint) : Found

    /** No endpoint can serve the request in time; it may come back after [retryAfterMs]. */
    data class Nothing(val reason: String, val retryAfterMs: Long) : Found
}

private data class WantKey(val service: String, val model: String, val urgency: Int)

private class WaitingRequest(val sinceMs: Long)

/** Uses of the peers, by endpoint; and where models are being loaded. */
internal interface FleetView {
    /** What the peers' requests take of endpoints now. */
    fun peerUses(): Map<String, List<EndpointUse>>

    /** In how many milliseconds [model] should be loaded somewhere, or null when no load is known. */
    fun loadedInMs(model: String): Long?

    /** Whether some VM gives orders to engines now. */
    fun isDutyHeld(): Boolean

    /** How many VMs there are. */
    fun vmCount(): Int

    /** Tells the holder of the order duty at once what is wanted. */
    fun wantsChanged()
}

/** Finds endpoints and counts uses. */
internal class EndpointDesk(
    private val table: EndpointTable,
    private val chooser: EndpointChooser,
    private val fleet: FleetView,
    private val budgetSettings: RetryBudgetSettings,
    private val steadyMs: () -> Long,
) {
    private val changes = MutableStateFlow(0L)
    private val changeCount = AtomicLong()
    private val waiting = ConcurrentHashMap<WantKey, ConcurrentHashMap<WaitingRequest, Unit>>()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val prompts = PromptMemory()

    /** What exchanges under way take of endpoints. */
    val places = ExchangePlaces(table, prompts, steadyMs)
    private val requestCounts = ConcurrentHashMap<String, Int>()

    /** Wakes requests that wait: endpoints or what they hold have changed. */
    fun endpointsChanged() {
        changes.value = changeCount.incrementAndGet()
    }

    /** Notes a new request for [service]. */
    fun requestArrived(service: String, demand: ModelDemand?) {
        budget(service).onRequest(steadyMs())
        if (demand == null) return
        requestCounts.merge(demand.model, 1, Int::plus)
        demand.adapter?.let { requestCounts.merge(useKey(demand.model, it), 1, Int::plus) }
    }

    /** Takes one repeat for [service] out of the budget. */
    fun takeRepeat(service: String): Boolean = budget(service).takeRetry(steadyMs(), fleet.vmCount())

    private fun budget(service: String) = budgets.computeIfAbsent(service) { RetryBudget(budgetSettings) }

    /** Finds an endpoint for [admitted] that is not among [exclude], waiting while that can still help. */
    suspend fun find(admitted: Admitted, exclude: Set<String>): Found {
        when (val choice = choose(admitted, exclude)) {
            is EndpointChoice.Send -> return Found.Use(choice.endpoint)
            EndpointChoice.NoEndpoint -> return noEndpoint(admitted)
            EndpointChoice.NotHeld -> Unit
        }
        val demand = admitted.caller.demand ?: return noEndpoint(admitted)
        val beganMs = steadyMs()
        val (key, request) = register(admitted, demand, beganMs)
        try {
            return awaitHolder(admitted, demand, exclude, beganMs)
        } finally {
            waiting[key]?.remove(request)
        }
    }

    private suspend fun awaitHolder(
        admitted: Admitted,
        demand: ModelDemand,
        exclude: Set<String>,
        beganMs: Long,
    ): Found {
        while (true) {
            val seen = changes.value
            when (val choice = choose(admitted, exclude)) {
                is EndpointChoice.Send -> return Found.Use(choice.endpoint)
                EndpointChoice.NoEndpoint -> return noEndpoint(admitted)
                EndpointChoice.NotHeld -> Unit
            }
            val waitMs = waitLeftMs(admitted, demand.model, beganMs)
            if (waitMs <= 0) return notHeld(demand.model)
            withTimeoutOrNull(waitMs.coerceAtMost(RECHECK_MS)) { changes.first { it != seen } }
        }
    }

    private fun noEndpoint(admitted: Admitted) =
        Found.Nothing("no endpoint of ${admitted.service.name} may be used", NO_ENDPOINT_RETRY_MS)

    /** Whether another endpoint than [exclude] could take [admitted] now. */
    fun hasOther(admitted: Admitted, exclude: Set<String>): Boolean = choose(admitted, exclude) is EndpointChoice.Send

    private fun choose(admitted: Admitted, exclude: Set<String>): EndpointChoice {
        val now = steadyMs()
        val all = table.ofService(admitted.service.name)
        val model = admitted.caller.demand?.let { useKey(it.model, it.adapter) }
        val endpoints = all.filter {
            it.incarnation.id !in exclude &&
                (model == null || !table.hasRefusedModel(it, model, now))
        }
        if (endpoints.isEmpty() && all.isNotEmpty() && model != null) return EndpointChoice.NotHeld
        val peerUses = fleet.peerUses()
        val load = { endpoint: Endpoint -> loadOf(endpoint, peerUses) }
        val demand = admitted.caller.demand
        val engine = admitted.service.engine
        return if (engine == null || demand == null) {
            chooser.choosePlain(endpoints, load, now)
        } else {
            chooser.chooseEngine(endpoints, engine, demand, load, { prompts.cachedTokens(it.incarnation, demand) }, now)
        }
    }

    /** The load of [endpoint] over all VMs. */
    fun loadOf(endpoint: Endpoint, peerUses: Map<String, List<EndpointUse>>): EndpointLoad {
        val others = peerUses[endpoint.incarnation.id].orEmpty()
        return EndpointLoad(
            inFlight = endpoint.inFlight + others.sumOf { it.inFlight },
            pendingPromptTokens = endpoint.pendingPromptTokens + others.sumOf { it.pendingPromptTokens },
            kvTokens = endpoint.kvTokens + others.sumOf { it.kvTokens },
        )
    }

    private fun notHeld(model: String): Found.Nothing {
        val expectedMs = fleet.loadedInMs(model)
        val reason = "$model is held nowhere" + (expectedMs?.let { ", expected in $it ms" } ?: ", no load is announced")
        return Found.Nothing(reason, expectedMs ?: NOT_HELD_RETRY_MS)
    }

    private fun register(admitted: Admitted, demand: ModelDemand, sinceMs: Long): Pair<WantKey, WaitingRequest> {
        val key = WantKey(admitted.service.name, useKey(demand.model, demand.adapter), admitted.priority)
        val request = WaitingRequest(sinceMs)
        waiting.computeIfAbsent(key) { ConcurrentHashMap() }[request] = Unit
        fleet.wantsChanged()
        return key to request
    }

    /** How much longer a request may wait for [model]: while it can still be served, and a caller should be told. */
    private fun waitLeftMs(admitted: Admitted, model: String, beganMs: Long): Long {
        val now = steadyMs()
        val patienceMs = (admitted.firstEventByMs - admitted.arrivedAtMs) * HELD_PATIENCE_PERCENT / PERCENT
        val leftMs = minOf(admitted.endsAtMs - MIN_SERVICE_MS, admitted.arrivedAtMs + patienceMs) - now
        val expectedMs = fleet.loadedInMs(model)
        if (expectedMs != null) return if (expectedMs < leftMs) leftMs else 0
        return if (fleet.isDutyHeld()) leftMs else minOf(leftMs, beganMs + VACANT_PATIENCE_MS - now)
    }

    /** Notes that [endpoint] answered well. */
    fun succeeded(endpoint: Endpoint) = table.onSuccess(endpoint)

    /** Notes that [endpoint] failed. */
    fun failed(endpoint: Endpoint) {
        table.onFailure(endpoint, steadyMs())
    }

    /** Notes that [endpoint] can't be reached. */
    fun unreachable(endpoint: Endpoint) = table.onUnreachable(endpoint, steadyMs())

    /** Notes that [endpoint] refused [admitted]. */
    fun rejected(endpoint: Endpoint, admitted: Admitted) {
        admitted.caller.demand?.let { table.onModelRefused(endpoint, useKey(it.model, it.adapter), steadyMs()) }
    }

    /** What requests of this VM wait for, for the report to the peers. */
    fun ownWants(): List<WantReport> {
        val now = steadyMs()
        return waiting.mapNotNull { (key, requests) ->
            val since = requests.keys.minOfOrNull { it.sinceMs } ?: return@mapNotNull null
            WantReport(key.service, key.model, requests.size, key.urgency, now - since)
        }
    }

    /** Requests for each model and adapter since the start of this VM. */
    fun requestCounts(): Map<String, Int> = requestCounts.toMap()

    private companion object {
        /** Time for a short run, in milliseconds: below it a request can't be served any more. */
        const val MIN_SERVICE_MS = 300L

        /** The part of a caller's patience that a request waits for a load, in percent: its prompt is read after. */
        const val HELD_PATIENCE_PERCENT = 70
        const val PERCENT = 100

        /** How long a request waits for a load while no VM gives orders, in milliseconds. */
        const val VACANT_PATIENCE_MS = 150L

        /** Time between looks at endpoints whose state changes by itself, in milliseconds. */
        const val RECHECK_MS = 100L

        /** What callers are told to wait, in milliseconds: an ejection, and a load from a disk. */
        const val NO_ENDPOINT_RETRY_MS = 300L
        const val NOT_HELD_RETRY_MS = 1_000L
    }
}
