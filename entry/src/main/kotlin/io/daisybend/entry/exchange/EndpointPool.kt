/*
 * Selects endpoints for requests. Requests wait here for models that are being loaded, and the use of endpoints by this
 * VM is counted for its own selection and for the peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.Activity
import io.daisybend.entry.LoadMonitor
import io.daisybend.entry.path.PathState
import io.daisybend.entry.peers.modelKey
import io.daisybend.serving.attempt.RetryBudget
import io.daisybend.serving.attempt.RetryBudgetSettings
import io.daisybend.serving.duty.DutyOutlook
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointChoice
import io.daisybend.serving.endpoint.EndpointChooser
import io.daisybend.serving.endpoint.EndpointEligibility
import io.daisybend.serving.endpoint.EndpointPauses
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.endpoint.canServe
import io.daisybend.serving.quarantine.CrashQuarantine
import io.daisybend.serving.rates.EndpointRateLimiter
import io.daisybend.serving.stream.SoftwareVersion
import io.daisybend.serving.stream.StreamOrigins
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Result of selecting an endpoint. */
internal sealed interface EndpointSelection {
    /** The request can be sent to [endpoint], which was reserved at [reservedAtMs] of the monotonic clock. */
    class Selected(val endpoint: Endpoint, val reservedAtMs: Long) : EndpointSelection

    /** No endpoint can serve the request in time; the caller may retry after [retryAfterMs]. */
    data class Unavailable(val reason: String, val retryAfterMs: Long) : EndpointSelection
}

/**
 * The endpoints that a request may be sent to: not the [excluded] ones, and only those of [version] if it is given.
 * A request that [mayHaveRun] at another endpoint is sent even if the VM stops before its response is due.
 */
internal class EndpointCandidates(
    val excluded: Set<String>,
    val version: SoftwareVersion? = null,
    val mayHaveRun: Boolean = false,
)

/** State of the fleet that endpoint selection depends on. */
internal interface FleetView {
    /**
     * Returns the number of milliseconds until [model] is expected to be loaded on some engine, or null if no load is
     * known.
     */
    fun loadedInMs(model: String): Long?

    /** Returns when some VM holds the order duty. */
    fun dutyOutlook(): DutyOutlook

    /** Returns the number of VMs, including this one. */
    fun vmCount(): Int

    /** Reports changed demand to the holder of the order duty without delay. */
    fun onDemandChanged()
}

/** Selects endpoints and counts their use by this VM; refuses quarantined requests. */
internal class EndpointPool(
    private val table: EndpointTable,
    private val chooser: EndpointChooser,
    private val fleet: FleetView,
    private val budgetSettings: RetryBudgetSettings,
    private val load: LoadMonitor,
    private val quarantine: CrashQuarantine,
    fingerprinter: RequestFingerprinter,
    private val rateLimiter: EndpointRateLimiter,
    private val streamOrigins: StreamOrigins,
    pauses: EndpointPauses,
    private val eligibility: EndpointEligibility,
    /** Load of endpoints from all VMs. */
    val loads: EndpointLoads,
    private val prefixCaches: PrefixCaches,
    departures: EndpointDepartures,
    paths: PathState,
    brittleNotices: BrittleNotices,
    shutdown: ShutdownDeadline,
    private val listAgeMs: () -> Long,
    private val steadyMs: () -> Long,
) {
    private val changes = MutableStateFlow(0L)
    private val changeCount = AtomicLong()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val turns = EndpointTurns(rateLimiter, pauses, eligibility, steadyMs)
    private val modelLoads = ModelLoadForecast(table, fleet)

    /** Requests of this VM in progress at endpoints. */
    val exchanges = ExchangeTracker(table, prefixCaches, loads, steadyMs)

    private val sendDeadlines = SendDeadlines(shutdown, exchanges, steadyMs)

    /** Outcomes of sends. */
    val outcomes = EndpointOutcomes(
        table,
        quarantine,
        fingerprinter,
        rateLimiter,
        pauses,
        eligibility,
        departures,
        paths,
        brittleNotices,
        steadyMs,
    )

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

    private sealed interface Step {
        class Finish(val selection: EndpointSelection) : Step

        class Wait(val waitMs: Long) : Step
    }

    /**
     * Selects an endpoint for [admitted] among [candidates]; waits for its model, or for the rate of the endpoints,
     * while the request can still be served in time.
     */
    suspend fun select(admitted: AdmittedRequest, candidates: EndpointCandidates): EndpointSelection {
        val waitStartedAtMs = steadyMs()
        val isBrittle = turns.isBrittle(admitted.service.name)
        val queue = if (isBrittle) demand.waitingAhead(admitted) else demand.waitingCount(admitted)
        val first = nextStep(admitted, candidates, waitStartedAtMs, queue)
        turns.countHeldBack(admitted, isSent = (first as? Step.Finish)?.selection is EndpointSelection.Selected)
        if (first is Step.Finish) return first.selection
        val waiting = demand.startWaiting(admitted)
        fleet.onDemandChanged()
        try {
            return awaitEndpoint(admitted, candidates, waitStartedAtMs)
        } finally {
            demand.endWaiting(waiting)
        }
    }

    private suspend fun awaitEndpoint(
        admitted: AdmittedRequest,
        candidates: EndpointCandidates,
        waitStartedAtMs: Long,
    ): EndpointSelection {
        while (true) {
            val seen = changes.value
            when (val step = nextStep(admitted, candidates, waitStartedAtMs, queue = 0)) {
                is Step.Finish -> return step.selection
                is Step.Wait -> withTimeoutOrNull(step.waitMs.coerceIn(1, RECHECK_INTERVAL_MS)) {
                    changes.first { it != seen }
                }
            }
        }
    }

    /**
     * Returns the selection that is possible now, or how long the request may wait for another one behind [queue] other
     * requests.
     */
    private fun nextStep(
        admitted: AdmittedRequest,
        candidates: EndpointCandidates,
        waitStartedAtMs: Long,
        queue: Int,
    ): Step {
        outcomes.refusalByQuarantine(admitted)?.let { return Step.Finish(it) }
        if (!candidates.mayHaveRun) sendDeadlines.refusalByShutdown(admitted)?.let { return Step.Finish(it) }
        return when (val choice = choose(admitted, candidates)) {
            is EndpointChoice.Send -> reserve(choice.endpoint, admitted)
                ?.also { prefixCaches.onChosen(admitted.request.attemptId, choice) }
                ?.let(Step::Finish)
                ?: Step.Wait(1)
            is EndpointChoice.Limited -> awaitTurn(admitted, choice.waitMs * (1 + queue), "are at their limits")
            is EndpointChoice.Paused -> awaitTurn(admitted, choice.leftMs, "take no requests")
            EndpointChoice.NoEndpoint -> Step.Finish(noEndpoint(admitted))
            EndpointChoice.NotHeld -> awaitModel(admitted, waitStartedAtMs)
        }
    }

    /**
     * Takes a turn at [endpoint] and the trial if [admitted] is one; null if another request has taken them, or
     * if the endpoint is brittle and a more urgent request waits for a place.
     */
    private fun reserve(endpoint: Endpoint, admitted: AdmittedRequest): EndpointSelection.Selected? {
        if (turns.isBrittle(admitted.service.name) && demand.isMoreUrgentWaiting(admitted)) return null
        val selected = turns.take(endpoint) ?: return null
        if (quarantine.onSent(outcomes.suspectParts(admitted), steadyMs())) return selected
        outcomes.recordUnsent(endpoint, selected.reservedAtMs)
        return null
    }

    private fun awaitModel(admitted: AdmittedRequest, waitStartedAtMs: Long): Step {
        val model = admitted.caller.demand?.model ?: return Step.Finish(noEndpoint(admitted))
        val waitMs = remainingWaitMs(admitted, model, waitStartedAtMs)
        if (waitMs > 0) return Step.Wait(waitMs)
        val expectedMs = modelLoads.loadedInMs(admitted.service, model)
        val reason = "$model is held nowhere" + (expectedMs?.let { ", expected in $it ms" } ?: ", no load is announced")
        val retryAfterMs = expectedMs ?: MODEL_NOT_HELD_RETRY_AFTER_MS
        return Step.Finish(sendDeadlines.refusalToWait(admitted, reason, expectedMs ?: 0, retryAfterMs))
    }

    /** Waits [waitMs] for endpoints that [problem] keeps from serving, if [admitted] can still be served then. */
    private fun awaitTurn(admitted: AdmittedRequest, waitMs: Long, problem: String): Step {
        val loadedInMs = admitted.caller.demand?.let { fleet.loadedInMs(it.model) }
        val expectedMs = minOf(waitMs, loadedInMs ?: Long.MAX_VALUE)
        if (expectedMs < sendDeadlines.latestSendAtMs(admitted) - steadyMs()) return Step.Wait(expectedMs)
        val reason = "endpoints of ${admitted.service.name} $problem for another $waitMs ms"
        return Step.Finish(sendDeadlines.refusalToWait(admitted, reason, expectedMs, expectedMs))
    }

    /** Suspends until the prompt of [admitted] contains quarantined parts. */
    suspend fun awaitQuarantine(admitted: AdmittedRequest) {
        while (true) {
            val seen = changes.value
            if (quarantine.isQuarantined(admitted.sharedPartIds)) return
            changes.first { it != seen }
        }
    }

    private fun noEndpoint(admitted: AdmittedRequest): EndpointSelection.Unavailable {
        val where = admitted.homes?.let { " in the regions $it" }.orEmpty()
        val reason = "no endpoint of ${admitted.service.name}$where may be used"
        return EndpointSelection.Unavailable(reason, NO_ENDPOINT_RETRY_AFTER_MS)
    }

    /** Returns whether [stream] is known to have begun at [service]. */
    fun hasBegunAt(stream: String, service: String): Boolean = streamOrigins.hasBegunAt(stream, service)

    /** Returns the binding of the stream of [admitted] to a version of the engines' software. */
    fun bindStream(admitted: AdmittedRequest) = StreamBinding(admitted, streamOrigins, listAgeMs, steadyMs)

    /** Whether one of [candidates] could take [admitted] now. */
    fun hasAlternative(admitted: AdmittedRequest, candidates: EndpointCandidates): Boolean =
        choose(admitted, candidates) is EndpointChoice.Send

    /** Reserves an endpoint among [candidates] that [admitted] may be sent to without a wait, or returns null. */
    fun alternative(admitted: AdmittedRequest, candidates: EndpointCandidates): EndpointSelection.Selected? {
        if (outcomes.refusalByQuarantine(admitted) != null) return null
        return (choose(admitted, candidates) as? EndpointChoice.Send)?.let { turns.take(it.endpoint) }
    }

    /** Returns when [admitted], turned away by an endpoint, could be served if it came again, in milliseconds. */
    fun servedInMs(admitted: AdmittedRequest, version: SoftwareVersion?): Long =
        when (val choice = choose(admitted, EndpointCandidates(emptySet(), version))) {
            is EndpointChoice.Send -> TURNED_AWAY_RETRY_AFTER_MS
            is EndpointChoice.Limited -> choice.waitMs
            is EndpointChoice.Paused -> choice.leftMs
            EndpointChoice.NoEndpoint -> NO_ENDPOINT_RETRY_AFTER_MS
            EndpointChoice.NotHeld ->
                admitted.caller.demand?.let { modelLoads.loadedInMs(admitted.service, it.model) }
                    ?: MODEL_NOT_HELD_RETRY_AFTER_MS
        }

    private fun choose(admitted: AdmittedRequest, candidates: EndpointCandidates): EndpointChoice =
        load.measure(Activity.CHOOSE_ENDPOINT) { chooseNow(admitted, candidates) }

    private fun chooseNow(admitted: AdmittedRequest, candidates: EndpointCandidates): EndpointChoice {
        val now = steadyMs()
        val allowed = eligibility.allowed(table.ofService(admitted.service.name), admitted.homes)
        val all = withFittingVersion(allowed, admitted, candidates, now)
        val model = admitted.caller.demand?.let { modelKey(it.model, it.adapter) }
        val endpoints = all.filter {
            it.incarnation.id !in candidates.excluded &&
                (model == null || !table.hasRefusedModel(it, model, now))
        }
        if (endpoints.isEmpty() && all.isNotEmpty() && model != null) return EndpointChoice.NotHeld
        val fitting = turns.withFittingMemory(endpoints, admitted, kvTotalOf = { loads.loadOf(it, now).kvTotalTokens })
        val (paused, open) = fitting.partition { turns.waitMs(it, now) > 0 }
        val choice = turns.chooseWarmFirst(open, now) { chooseWithinLimits(it, admitted, now) }
        if (choice is EndpointChoice.Send || choice is EndpointChoice.Limited) return choice
        val needed = admitted.caller.demand.takeIf { admitted.service.engine != null }
        val leftMs = paused.filter { it.canServe(needed, now) }.minOfOrNull { turns.waitMs(it, now) }
        return leftMs?.let { turns.waitFor(admitted.service.name, it, now) } ?: choice
    }

    private fun chooseWithinLimits(endpoints: List<Endpoint>, admitted: AdmittedRequest, now: Long): EndpointChoice {
        val (limited, free) = endpoints.partition { rateLimiter.waitMs(it.incarnation, now) > 0 }
        val choice = chooseWithoutLimit(free, admitted, now) ?: chooseAmong(free, admitted, now)
        if (choice is EndpointChoice.Send || limited.isEmpty()) return choice
        val best = chooseAmong(limited, admitted, now) as? EndpointChoice.Send ?: return choice
        return EndpointChoice.Limited(rateLimiter.waitMs(best.endpoint.incarnation, now))
    }

    /** Returns the endpoints whose version may serve [admitted]: the required one, or those that may begin streams. */
    private fun withFittingVersion(
        endpoints: List<Endpoint>,
        admitted: AdmittedRequest,
        candidates: EndpointCandidates,
        now: Long,
    ): List<Endpoint> = when {
        candidates.version != null -> endpoints.filter { it.entry.softwareVersion == candidates.version }
        !admitted.isResumableStream -> endpoints
        else -> endpoints.filter { streamOrigins.mayBegin(it.entry.service, it.entry.softwareVersion, now) }
            .ifEmpty { endpoints }
    }

    /** Returns an engine without a limit that is not overloaded, or null; the others are left to their own models. */
    private fun chooseWithoutLimit(free: List<Endpoint>, admitted: AdmittedRequest, now: Long): EndpointChoice? {
        if (admitted.service.engine == null) return null
        val unlimited = free.filter { rateLimiter.limitOf(it.incarnation) == null }
        if (unlimited.size == free.size) return null
        return (chooseAmong(unlimited, admitted, now) as? EndpointChoice.Send)
            ?.takeIf { it.predictedFirstEventMs < MAX_UNLIMITED_DELAY_MS }
    }

    private fun chooseAmong(endpoints: List<Endpoint>, admitted: AdmittedRequest, now: Long): EndpointChoice {
        val load = { endpoint: Endpoint -> loads.loadOf(endpoint, now) }
        val demand = admitted.caller.demand
        val engine = admitted.service.engine
        return if (engine == null || demand == null) {
            chooser.choosePlain(endpoints, load, now, loads.choiceRandom)
        } else {
            val prefix = prefixCaches.prefixFor(admitted.service.name, demand)
            chooser.chooseEngine(
                endpoints,
                engine,
                demand,
                load,
                { if (prefix == null) 0 else it.prefixCache.cachedTokens(prefix, now) },
                now,
                loads.choiceRandom,
            ) { if (prefix == null) 0 else prefixCaches.evictedTokens(it, prefix) }
        }
    }

    /**
     * Returns how much longer a request may wait for [model], in milliseconds. The wait ends early enough to serve the
     * request or to refuse it before the caller times out; it is 0 if the load is expected too late.
     */
    private fun remainingWaitMs(admitted: AdmittedRequest, model: String, waitStartedAtMs: Long): Long {
        val now = steadyMs()
        val remainingMs = sendDeadlines.latestSendAtMs(admitted) - now
        val expectedMs = modelLoads.loadedInMs(admitted.service, model)
        if (expectedMs != null) return if (expectedMs < remainingMs) remainingMs else 0
        val isOrderExpected = fleet.dutyOutlook() != DutyOutlook.Unknown
        return if (isOrderExpected) remainingMs else minOf(remainingMs, waitStartedAtMs + NO_HOLDER_WAIT_MS - now)
    }

    private companion object {
        /** Predicted delay on engines without a limit above which engines with one are used too, in milliseconds. */
        const val MAX_UNLIMITED_DELAY_MS = 800.0

        /** How long a request waits for a load while it is not known when a VM will give orders, in milliseconds. */
        const val NO_HOLDER_WAIT_MS = 150L

        /** Interval at which waiting requests check for state changes that trigger no event, in milliseconds. */
        const val RECHECK_INTERVAL_MS = 100L

        /**
         * Retry-After values, in milliseconds: a place becoming free, the length of an ejection, and a load from disk.
         */
        const val TURNED_AWAY_RETRY_AFTER_MS = 200L
        const val NO_ENDPOINT_RETRY_AFTER_MS = 300L
        const val MODEL_NOT_HELD_RETRY_AFTER_MS = 1_000L
    }
}
