/*
 * Selects endpoints for requests. Requests wait here for models that are being loaded, and the use of endpoints by this
 * VM is counted for its own selection and for the peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.Activity
import io.daisybend.entry.LoadMonitor
import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.modelKey
import io.daisybend.serving.attempt.RetryBudget
import io.daisybend.serving.attempt.RetryBudgetSettings
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointChoice
import io.daisybend.serving.endpoint.EndpointChooser
import io.daisybend.serving.endpoint.EndpointLoad
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.quarantine.PromptQuarantine
import io.daisybend.serving.quarantine.QuarantineVerdict
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Result of selecting an endpoint. */
internal sealed interface EndpointSelection {
    /** The request can be sent to [endpoint]. */
    class Selected(val endpoint: Endpoint) : EndpointSelection

    /** No endpoint can serve the request in time; the caller may retry after [retryAfterMs]. */
    data class Unavailable(val reason: String, val retryAfterMs: Long) : EndpointSelection
}

/** State of the fleet that endpoint selection depends on. */
internal interface FleetView {
    /** Returns the current use of endpoints by the peers, by endpoint id. */
    fun peerUses(): Map<String, List<EndpointUse>>

    /**
     * Returns the number of milliseconds until [model] is expected to be loaded on some engine, or null if no load is
     * known.
     */
    fun loadedInMs(model: String): Long?

    /** Whether some VM holds the order duty. */
    fun isDutyHeld(): Boolean

    /** Returns the number of VMs, including this one. */
    fun vmCount(): Int

    /** Reports changed demand to the holder of the order duty without delay. */
    fun onDemandChanged()
}

/** Selects endpoints and counts their use by this VM; refuses requests with quarantined prompt parts. */
internal class EndpointPool(
    private val table: EndpointTable,
    private val chooser: EndpointChooser,
    private val fleet: FleetView,
    private val budgetSettings: RetryBudgetSettings,
    private val load: LoadMonitor,
    private val quarantine: PromptQuarantine,
    private val steadyMs: () -> Long,
) {
    private val changes = MutableStateFlow(0L)
    private val changeCount = AtomicLong()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val promptCache = PromptCacheIndex()

    /** Requests of this VM in progress at endpoints. */
    val exchanges = ExchangeTracker(table, promptCache, steadyMs)

    /** Demand of this VM for models. */
    val demand = ModelDemandTracker(steadyMs)

    /** Wakes waiting requests after endpoints or their holdings have changed. */
    fun onEndpointsChanged() {
        changes.value = changeCount.incrementAndGet()
    }

    /** Counts a new request for [service] and for the model and adapter of [modelDemand]. */
    fun recordRequest(service: String, modelDemand: ModelDemand?) {
        budget(service).onRequest(steadyMs())
        modelDemand?.let(demand::onRequest)
    }

    /** Takes one retry for [service] from its retry budget; returns false if the budget is exhausted. */
    fun takeRetry(service: String): Boolean = budget(service).takeRetry(steadyMs(), fleet.vmCount())

    private fun budget(service: String) = budgets.computeIfAbsent(service) { RetryBudget(budgetSettings) }

    /**
     * Selects an endpoint for [admitted] outside [exclude]; waits for its model while the request can still be served
     * in time.
     */
    suspend fun select(admitted: AdmittedRequest, exclude: Set<String>): EndpointSelection {
        selectNow(admitted, exclude)?.let { return it }
        val modelDemand = admitted.caller.demand ?: return noEndpoint(admitted)
        val waiting = demand.startWaiting(admitted.service.name, modelDemand, admitted.priority)
        fleet.onDemandChanged()
        try {
            return awaitModel(admitted, modelDemand, exclude, waiting.sinceMs)
        } finally {
            demand.endWaiting(waiting)
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
            selectNow(admitted, exclude)?.let { return it }
            val waitMs = remainingWaitMs(admitted, demand.model, waitStartedAtMs)
            if (waitMs <= 0) return modelNotHeld(demand.model)
            withTimeoutOrNull(waitMs.coerceAtMost(RECHECK_INTERVAL_MS)) { changes.first { it != seen } }
        }
    }

    /** Returns the selection that is possible now, or null if the request may wait for its model. */
    private fun selectNow(admitted: AdmittedRequest, exclude: Set<String>): EndpointSelection? =
        refusalByQuarantine(admitted) ?: when (val choice = choose(admitted, exclude)) {
            is EndpointChoice.Send -> EndpointSelection.Selected(choice.endpoint)
            EndpointChoice.NoEndpoint -> noEndpoint(admitted)
            EndpointChoice.NotHeld -> null
        }

    private fun refusalByQuarantine(admitted: AdmittedRequest): EndpointSelection.Unavailable? {
        val now = steadyMs()
        return when (val verdict = quarantine.check(admitted.sharedPartIds, now)) {
            QuarantineVerdict.Allowed -> null
            is QuarantineVerdict.Refused -> {
                val agesMs = verdict.quarantine.endedAtMs.map { (engine, atMs) -> "${engine.id} ${now - atMs} ms ago" }
                val reason = "prompt parts ${verdict.quarantine.key} are quarantined, engines ended: $agesMs"
                EndpointSelection.Unavailable(reason, verdict.retryAfterMs)
            }
        }
    }

    /** Suspends until the prompt of [admitted] contains quarantined parts. */
    suspend fun awaitQuarantine(admitted: AdmittedRequest) {
        while (true) {
            val seen = changes.value
            if (quarantine.isQuarantined(admitted.sharedPartIds)) return
            changes.first { it != seen }
        }
    }

    private fun noEndpoint(admitted: AdmittedRequest) =
        EndpointSelection.Unavailable("no endpoint of ${admitted.service.name} may be used", NO_ENDPOINT_RETRY_AFTER_MS)

    /** Whether another endpoint than [exclude] could take [admitted] now. */
    fun hasAlternative(admitted: AdmittedRequest, exclude: Set<String>): Boolean =
        choose(admitted, exclude) is EndpointChoice.Send

    private fun choose(admitted: AdmittedRequest, exclude: Set<String>): EndpointChoice =
        load.measure(Activity.CHOOSE_ENDPOINT) { chooseNow(admitted, exclude) }

    private fun chooseNow(admitted: AdmittedRequest, exclude: Set<String>): EndpointChoice {
        val now = steadyMs()
        val all = table.ofService(admitted.service.name)
        val model = admitted.caller.demand?.let { modelKey(it.model, it.adapter) }
        val endpoints = all.filter {
            it.incarnation.id !in exclude &&
                (model == null || !table.hasRefusedModel(it, model, now))
        }
        if (endpoints.isEmpty() && all.isNotEmpty() && model != null) return EndpointChoice.NotHeld
        val peerUses by lazy(LazyThreadSafetyMode.NONE) { fleet.peerUses() }
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

    /** Returns the load of [endpoint] from all VMs. */
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

    /**
     * Returns how much longer a request may wait for [model], in milliseconds. The wait ends early enough to serve the
     * request or to refuse it before the caller times out; it is 0 if the load is expected too late.
     */
    private fun remainingWaitMs(admitted: AdmittedRequest, model: String, waitStartedAtMs: Long): Long {
        val now = steadyMs()
        val maxWaitMs = (admitted.firstEventDeadlineAtMs - admitted.arrivedAtMs) * LOAD_WAIT_PERCENT / PERCENT
        val remainingMs = minOf(admitted.deadlineAtMs - MIN_SERVICE_TIME_MS, admitted.arrivedAtMs + maxWaitMs) - now
        val expectedMs = fleet.loadedInMs(model)
        if (expectedMs != null) return if (expectedMs < remainingMs) remainingMs else 0
        return if (fleet.isDutyHeld()) remainingMs else minOf(remainingMs, waitStartedAtMs + NO_HOLDER_WAIT_MS - now)
    }

    /** Records that the answer to [admitted] went on past its beginning. */
    fun recordProvenAnswer(admitted: AdmittedRequest) = quarantine.onAnswerProven(admitted.sharedPartIds, steadyMs())

    /** Records that the endpoint of [exchange] completed the answer. */
    fun recordCompleteAnswer(admitted: AdmittedRequest, exchange: TrackedExchange) {
        recordProvenAnswer(admitted)
        quarantine.onAnswerCompleted(exchange.endpoint.incarnation, exchange.startedAtMs, steadyMs())
    }

    /** Records a successful response of [endpoint]. */
    fun recordSuccess(endpoint: Endpoint) = table.onSuccess(endpoint)

    /** Records a failure of [endpoint]. */
    fun recordFailure(endpoint: Endpoint) {
        table.onFailure(endpoint, steadyMs())
    }

    /** Records that [endpoint] is unreachable. */
    fun recordUnreachable(endpoint: Endpoint) = table.onUnreachable(endpoint, steadyMs())

    /** Records that [endpoint] refused the model of [admitted]. */
    fun recordRejection(endpoint: Endpoint, admitted: AdmittedRequest) {
        admitted.caller.demand?.let { table.onModelRefused(endpoint, modelKey(it.model, it.adapter), steadyMs()) }
    }

    private companion object {
        /** Duration of a short request, in milliseconds; with less time left a request cannot be served. */
        const val MIN_SERVICE_TIME_MS = 300L

        /**
         * Share of the first-event timeout that a request may wait for a load, in percent; the engine then still has to
         * process the prompt.
         */
        const val LOAD_WAIT_PERCENT = 70
        const val PERCENT = 100

        /** How long a request waits for a load while no VM gives orders, in milliseconds. */
        const val NO_HOLDER_WAIT_MS = 150L

        /** Interval at which waiting requests check for state changes that trigger no event, in milliseconds. */
        const val RECHECK_INTERVAL_MS = 100L

        /** Retry-After values, in milliseconds: the length of an ejection, and of a load from disk. */
        const val NO_ENDPOINT_RETRY_AFTER_MS = 300L
        const val MODEL_NOT_HELD_RETRY_AFTER_MS = 1_000L
    }
}
