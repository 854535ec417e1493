/*
 * Finds endpoints for requests: asks the chooser, lets requests wait for models that are on their way, and keeps count
 * of what requests of this VM take, for the choice here and at the peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.QueuedDemandReport
import io.daisybend.entry.peers.modelKey
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
internal sealed interface EndpointSelection {
    /** Send to [endpoint]. */
    class Selected(val endpoint: Endpoint) : EndpointSelection

    /** No endpoint can serve the request in time; it may come back after [retryAfterMs]. */
    data class Unavailable(val reason: String, val retryAfterMs: Long) : EndpointSelection
}

private data class DemandKey(val service: String, val model: String, val urgency: Int)

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
    fun onDemandChanged()
}

/** Finds endpoints and counts uses. */
internal class EndpointPool(
    private val table: EndpointTable,
    private val chooser: EndpointChooser,
    private val fleet: FleetView,
    private val budgetSettings: RetryBudgetSettings,
    private val steadyMs: () -> Long,
) {
    private val changes = MutableStateFlow(0L)
    private val changeCount = AtomicLong()
    private val waitingRequests = ConcurrentHashMap<DemandKey, ConcurrentHashMap<WaitingRequest, Unit>>()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val promptCache = PromptCacheIndex()

    /** What exchanges under way take of endpoints. */
    val exchanges = ExchangeTracker(table, promptCache, steadyMs)
    private val requestCounts = ConcurrentHashMap<String, Int>()

    /** Wakes requests that wait: endpoints or what they hold have changed. */
    fun onEndpointsChanged() {
        changes.value = changeCount.incrementAndGet()
    }

    /** Notes a new request for [service]. */
    fun recordRequest(service: String, demand: ModelDemand?) {
        budget(service).onRequest(steadyMs())
        if (demand == null) return
        requestCounts.merge(demand.model, 1, Int::plus)
        demand.adapter?.let { requestCounts.merge(modelKey(demand.model, it), 1, Int::plus) }
    }

    /** Takes one repeat for [service] out of the budget. */
    fun takeRetry(service: String): Boolean = budget(service).takeRetry(steadyMs(), fleet.vmCount())

    private fun budget(service: String) = budgets.computeIfAbsent(service) { RetryBudget(budgetSettings) }

    /** Finds an endpoint for [admitted] that is not among [exclude], waiting while that can still help. */
    suspend fun select(admitted: AdmittedRequest, exclude: Set<String>): EndpointSelection {
        when (val choice = choose(admitted, exclude)) {
            is EndpointChoice.Send -> return EndpointSelection.Selected(choice.endpoint)
            EndpointChoice.NoEndpoint -> return noEndpoint(admitted)
            EndpointChoice.NotHeld -> Unit
        }
        val demand = admitted.caller.demand ?: return noEndpoint(admitted)
        val waitStartedAtMs = steadyMs()
        val (key, request) = addWaiting(admitted, demand, waitStartedAtMs)
        try {
            return awaitModel(admitted, demand, exclude, waitStartedAtMs)
        } finally {
            waitingRequests[key]?.remove(request)
        }
    }

    private suspend fun awaitModel(
        admitted: AdmittedRequest,
        demand: ModelDemand,
        exclude: Set<String>,
        waitStartedAtMs: Long,
    ): EndpointSelection {
        while (true) {
            val seen = changes.value
            when (val choice = choose(admitted, exclude)) {
                is EndpointChoice.Send -> return EndpointSelection.Selected(choice.endpoint)
                EndpointChoice.NoEndpoint -> return noEndpoint(admitted)
                EndpointChoice.NotHeld -> Unit
            }
            val waitMs = remainingWaitMs(admitted, demand.model, waitStartedAtMs)
            if (waitMs <= 0) return modelNotHeld(demand.model)
            withTimeoutOrNull(waitMs.coerceAtMost(RECHECK_INTERVAL_MS)) { changes.first { it != seen } }
        }
    }

    private fun noEndpoint(admitted: AdmittedRequest) =
        EndpointSelection.Unavailable("no endpoint of ${admitted.service.name} may be used", NO_ENDPOINT_RETRY_AFTER_MS)

    /** Whether another endpoint than [exclude] could take [admitted] now. */
    fun hasAlternative(admitted: AdmittedRequest, exclude: Set<String>): Boolean =
        choose(admitted, exclude) is EndpointChoice.Send

    private fun choose(admitted: AdmittedRequest, exclude: Set<String>): EndpointChoice {
        val now = steadyMs()
        val all = table.ofService(admitted.service.name)
        val model = admitted.caller.demand?.let { modelKey(it.model, it.adapter) }
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
            chooser.chooseEngine(
                endpoints,
                engine,
                demand,
                load,
                { promptCache.cachedTokens(it.incarnation, demand) },
                now,
            )
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

    private fun modelNotHeld(model: String): EndpointSelection.Unavailable {
        val expectedMs = fleet.loadedInMs(model)
        val reason = "$model is held nowhere" + (expectedMs?.let { ", expected in $it ms" } ?: ", no load is announced")
        return EndpointSelection.Unavailable(reason, expectedMs ?: MODEL_NOT_HELD_RETRY_AFTER_MS)
    }

    private fun addWaiting(
        admitted: AdmittedRequest,
        demand: ModelDemand,
        sinceMs: Long,
    ): Pair<DemandKey, WaitingRequest> {
        val key = DemandKey(admitted.service.name, modelKey(demand.model, demand.adapter), admitted.priority)
        val request = WaitingRequest(sinceMs)
        waitingRequests.computeIfAbsent(key) { ConcurrentHashMap() }[request] = Unit
        fleet.onDemandChanged()
        return key to request
    }

    /** How much longer a request may wait for [model]: while it can still be served, and a caller should be told. */
    private fun remainingWaitMs(admitted: AdmittedRequest, model: String, waitStartedAtMs: Long): Long {
        val now = steadyMs()
        val maxWaitMs = (admitted.firstEventDeadlineAtMs - admitted.arrivedAtMs) * LOAD_WAIT_PERCENT / PERCENT
        val remainingMs = minOf(admitted.deadlineAtMs - MIN_SERVICE_TIME_MS, admitted.arrivedAtMs + maxWaitMs) - now
        val expectedMs = fleet.loadedInMs(model)
        if (expectedMs != null) return if (expectedMs < remainingMs) remainingMs else 0
        return if (fleet.isDutyHeld()) remainingMs else minOf(remainingMs, waitStartedAtMs + NO_HOLDER_WAIT_MS - now)
    }

    /** Notes that [endpoint] answered well. */
    fun recordSuccess(endpoint: Endpoint) = table.onSuccess(endpoint)

    /** Notes that [endpoint] failed. */
    fun recordFailure(endpoint: Endpoint) {
        table.onFailure(endpoint, steadyMs())
    }

    /** Notes that [endpoint] can't be reached. */
    fun recordUnreachable(endpoint: Endpoint) = table.onUnreachable(endpoint, steadyMs())

    /** Notes that [endpoint] refused [admitted]. */
    fun recordRejection(endpoint: Endpoint, admitted: AdmittedRequest) {
        admitted.caller.demand?.let { table.onModelRefused(endpoint, modelKey(it.model, it.adapter), steadyMs()) }
    }

    /** What requests of this VM wait for, for the report to the peers. */
    fun queuedDemand(): List<QueuedDemandReport> {
        val now = steadyMs()
        return waitingRequests.mapNotNull { (key, requests) ->
            val longestWaitingSinceMs = requests.keys.minOfOrNull { it.sinceMs } ?: return@mapNotNull null
            QueuedDemandReport(key.service, key.model, requests.size, key.urgency, now - longestWaitingSinceMs)
        }
    }

    /** Requests for each model and adapter since the start of this VM. */
    fun requestCounts(): Map<String, Int> = requestCounts.toMap()

    private companion object {
        /** Time for a short run, in milliseconds: below it a request can't be served any more. */
        const val MIN_SERVICE_TIME_MS = 300L

        /** The part of a caller's patience that a request waits for a load, in percent: its prompt is read after. */
        const val LOAD_WAIT_PERCENT = 70
        const val PERCENT = 100

        /** How long a request waits for a load while no VM gives orders, in milliseconds. */
        const val NO_HOLDER_WAIT_MS = 150L

        /** Time between looks at endpoints whose state changes by itself, in milliseconds. */
        const val RECHECK_INTERVAL_MS = 100L

        /** What callers are told to wait, in milliseconds: an ejection, and a load from a disk. */
        const val NO_ENDPOINT_RETRY_AFTER_MS = 300L
        const val MODEL_NOT_HELD_RETRY_AFTER_MS = 1_000L
    }
}
