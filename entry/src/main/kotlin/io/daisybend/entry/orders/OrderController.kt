/*
 * Sends orders to engines while this VM holds the order duty: collects the demand of all VMs, runs the planner, sends
 * its orders and announces changed holdings of engines. One coroutine owns all state; calls to engines run concurrently
 * and return their results as events.
 */
package io.daisybend.entry.orders

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import io.daisybend.entry.Activity
import io.daisybend.entry.EventLog
import io.daisybend.entry.LoadMonitor
import io.daisybend.entry.Metrics
import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.HoldingsReport
import io.daisybend.entry.peers.LoadReport
import io.daisybend.entry.peers.QueuedDemandReport
import io.daisybend.entry.peers.parseAdapterKey
import io.daisybend.entry.peers.toAnnouncedLoad
import io.daisybend.platform.EngineClient
import io.daisybend.platform.OrderAuthority
import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointEligibility
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.copies
import io.daisybend.serving.rates.EndpointRateLimiter
import io.daisybend.serving.residency.ColdDemand
import io.daisybend.serving.residency.EngineOrder
import io.daisybend.serving.residency.EngineSnapshot
import io.daisybend.serving.residency.EngineTracker
import io.daisybend.serving.residency.InheritedLoads
import io.daisybend.serving.residency.OrderAnswer
import io.daisybend.serving.residency.PlannedOrder
import io.daisybend.serving.residency.QueuedDemand
import io.daisybend.serving.residency.ResidencyPlanner
import io.daisybend.serving.residency.RunningLoad
import io.daisybend.serving.residency.StoreLoads
import io.daisybend.serving.residency.UsageHistory
import io.daisybend.serving.residency.WeightSource
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.RouteTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** State of the fleet that the holder of the order duty plans with. */
internal interface FleetDemandView {
    /** Returns the use of endpoints by all VMs, including this one, by endpoint id. */
    fun allUses(): Map<String, List<EndpointUse>>

    /** Returns the waiting requests of all VMs. */
    fun allQueuedDemand(): List<QueuedDemandReport>

    /**
     * Returns the number of requests since the start of each VM for the models and adapters that were requested lately;
     * the outer key names the VM and its start.
     */
    fun allRequestCounts(): Map<String, Map<String, Int>>

    /** Reports changed holdings of engines to the peers without delay. */
    fun announceSoon()
}

private sealed interface OrderEvent {
    data class Answered(val engine: String, val planned: PlannedOrder, val answer: OrderAnswer) : OrderEvent
    data class Reported(val engine: String, val report: EngineHoldings?) : OrderEvent
    data object WakeUp : OrderEvent
}

/**
 * Plans and sends orders to engines while [leaseManager] holds the lease. While [isCutOff] says that this VM reaches no
 * engine it sends none, and draws no conclusion from missing reports.
 */
internal class OrderController(
    private val leaseManager: LeaseManager,
    private val engineClient: EngineClient,
    private val table: EndpointTable,
    private val fleet: FleetDemandView,
    private val rateLimiter: EndpointRateLimiter,
    private val eligibility: EndpointEligibility,
    private val configuration: () -> RouteTable?,
    private val ownVm: String,
    private val loadWindowMs: Long,
    private val log: EventLog,
    private val load: LoadMonitor,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
    private val isCutOff: () -> Boolean = { false },
) {
    private val events = Channel<OrderEvent>(Channel.UNLIMITED)
    private val trackers = HashMap<String, EngineTracker>()
    private val reportPacing = ReportPacing()
    private val usageHistory = UsageHistory()
    private val lastRequestCounts = HashMap<String, HashMap<String, Int>>()
    private val announcements = HoldingsAnnouncements()
    private val storeLoads = StoreLoads(loadWindowMs)
    private val inheritedLoads = InheritedLoads(loadWindowMs)

    /** Loads in progress that this VM took over with its current or last epoch. */
    @Volatile
    private var inheritedCount = 0
    private val monitor = ResidencyMonitor(log, metrics)
    private val coldDemand = ColdDemand()

    init {
        metrics.addGauge(
            "daisybend_duty_inherited_loads",
            "Loads in progress that this VM took over when it last took the duty",
        ) { inheritedCount.toDouble() }
    }

    private var modelsWithCopy: Set<String> = emptySet()
    private var knownEngines: Set<String> = emptySet()
    private var endpointsChangedAtMs = 0L
    private var activeEpoch: Long? = null
    private var lastEpoch: Long? = null
    private var wasCutOff = false

    /** Since when this VM sees the ends of loads, in milliseconds of the monotonic clock. */
    private var watchingSinceMs = 0L

    /** Returns the holdings of engines for a report to the peers; see [HoldingsAnnouncements.reports]. */
    fun announcements(changedSinceMs: Long?): List<HoldingsReport> = announcements.reports(changedSinceMs, steadyMs())

    /** Returns the time until the first load of [model] ends, in milliseconds, or null if none is in progress. */
    fun loadedInMs(model: String): Long? = announcements.loadedInMs(model, steadyMs())

    /** Follows what a peer that holds the duty announces at [nowMs], to take it over as its successor. */
    fun onHolderReport(holdings: List<HoldingsReport>, nowMs: Long) {
        inheritedLoads.onHolderHeard(nowMs)
        holdings.forEach {
            inheritedLoads.onAnnounced(Incarnation(it.engine, it.bornMs), it.toAnnouncedLoad(nowMs), nowMs)
        }
    }

    /** Requests an early planning round, because an input of the planner has changed. */
    fun reconcileSoon() {
        events.trySend(OrderEvent.WakeUp)
    }

    /** Plans and sends orders until the coroutine is cancelled. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val event = withTimeoutOrNull(nextReconcileDelayMs()) { events.receive() }
            event?.let(::handle)
            while (true) handle(events.tryReceive().getOrNull() ?: break)
            val current = leaseManager.currentEpoch()
            if (current != activeEpoch) onEpochChanged(current)
            if (current == null) continue
            followContact()
            val startedAtMs = steadyMs()
            load.measure(Activity.PLAN_ORDERS) { reconcile(scope, current) }
            // Planning takes at most half of the time, so that it leaves the rest to requests.
            delay(steadyMs() - startedAtMs)
        }
    }

    private fun nextReconcileDelayMs(): Long {
        if (activeEpoch == null) return IDLE_INTERVAL_MS
        val now = steadyMs()
        val loadEnds = trackers.values.mapNotNull { it.runningLoad }.map { it.expectedAtMs + LOAD_SETTLE_DELAY_MS }
        val unloadEnds = trackers.values.filter { it.pendingModel != null }.map { it.retryAtMs }
        val nextMs = (loadEnds + unloadEnds).filter { it > now }.minOrNull() ?: return RECONCILE_INTERVAL_MS
        return (nextMs - now).coerceIn(1, RECONCILE_INTERVAL_MS)
    }

    /** Requires a report of each engine once this VM reaches them again: delayed orders may have taken effect. */
    private fun followContact() {
        val isCutOffNow = isCutOff()
        if (isCutOffNow == wasCutOff) return
        wasCutOff = isCutOffNow
        log.write(if (isCutOffNow) "duty-orders-paused" else "duty-orders-resumed", "epoch" to activeEpoch)
        if (isCutOffNow) return
        watchingSinceMs = steadyMs()
        reportPacing.clear()
        trackers.values.forEach { it.requireReport() }
    }

    private fun onEpochChanged(current: Long?) {
        activeEpoch = current
        if (current == null) {
            log.write("duty-turn-paused", "epoch" to lastEpoch)
            monitor.reset()
            return
        }
        // The state stays valid when no other VM has sent orders in the meantime.
        val isTakenBack = lastEpoch != null && leaseManager.takenBackEpoch() == lastEpoch
        val isResumed = current == lastEpoch || isTakenBack
        lastEpoch = current
        if (isTakenBack) wasCutOff = true
        if (isResumed) return log.write("duty-turn", "epoch" to current, "resumed" to true)
        trackers.clear()
        reportPacing.clear()
        lastRequestCounts.clear()
        coldDemand.clear()
        // No peer announced what this process ordered itself, which holds in a new era of the store.
        if (leaseManager.succeedsItself()) onHolderReport(announcements.reports(null, steadyMs()), steadyMs())
        announcements.clear()
        takeOver(current)
    }

    /** Takes over the loads that the last holder announced; each engine's own is taken with its first tracker. */
    private fun takeOver(epoch: Long) {
        val now = steadyMs()
        watchingSinceMs = now
        val predecessor = leaseManager.predecessor()
        val shortestLoadMs = configuration()?.shortestStoreLoadMs() ?: 0
        val loads = predecessor?.let { inheritedLoads.predecessorLoads(it.rightEndedAtMs, shortestLoadMs) }
        loads?.let(storeLoads::succeed)
        inheritedCount = inheritedLoads.inProgress(now)
        log.write(
            "duty-turn",
            "epoch" to epoch,
            "resumed" to false,
            "predecessor" to predecessor?.holder?.toString(),
            "sinceItsRightMs" to predecessor?.let { now - it.rightEndedAtMs },
            "inheritedLoads" to inheritedCount,
            "inheritedStarts" to loads?.startedAtMs?.size,
            "unheardStarts" to loads?.unheardStarts?.takeIf { it < Int.MAX_VALUE },
            "storeLoadLimit" to storeLoads.limit,
        )
    }

    private fun handle(event: OrderEvent) {
        when (event) {
            is OrderEvent.Answered -> onAnswered(event)
            is OrderEvent.Reported -> onReported(event)
            OrderEvent.WakeUp -> Unit
        }
    }

    private fun onAnswered(event: OrderEvent.Answered) {
        val now = steadyMs()
        val tracker = trackers[event.engine] ?: return
        if (tracker !== event.planned.engine.tracker) return
        tracker.onAnswer(event.answer, now, now + event.planned.durationMs)
        metrics.recordOrder(event.planned.order.javaClass.simpleName, event.answer.javaClass.simpleName)
        log.write(
            "order-answered",
            "engine" to event.engine,
            "order" to event.planned.order.toString(),
            "answer" to event.answer.toString(),
            "orderCount" to tracker.holdings.orderCount,
        )
        announce(tracker)
    }

    private fun onReported(event: OrderEvent.Reported) {
        reportPacing.onResult(event.engine, isReported = event.report != null)
        val tracker = trackers[event.engine] ?: return
        val report = event.report ?: return
        val previousLoad = tracker.runningLoad
        tracker.onReport(report, steadyMs())
        if (previousLoad != null && tracker.runningLoad == null) onLoadReported(tracker, previousLoad)
        announce(tracker)
    }

    /** Learns from the duration of a load that a report showed in time; the list of endpoints shows ends too late. */
    private fun onLoadReported(tracker: EngineTracker, load: RunningLoad) {
        val now = steadyMs()
        val coldLoadMs = configuration()?.configuration?.services?.values
            ?.firstNotNullOfOrNull { it.engine?.models?.get(load.model) }?.coldLoadMs
        val isMeasured = load.model in tracker.holdings.models && load.startedAtMs >= watchingSinceMs
        if (isMeasured && coldLoadMs != null) storeLoads.onEnded(load, coldLoadMs, now)
        logLoadEnd(tracker, load, source = "report")
    }

    private fun logLoadEnd(tracker: EngineTracker, load: RunningLoad, source: String) = log.write(
        "load-ended",
        "engine" to tracker.incarnation.id,
        "model" to load.model,
        "held" to (load.model in tracker.holdings.models),
        "tookMs" to steadyMs() - load.startedAtMs,
        "expectedMs" to load.expectedMs,
        "storeLoadsAtStart" to load.concurrentStoreLoads,
        "storeLoads" to storeLoads.underWay(trackers.values, steadyMs()),
        "storeLoadLimit" to storeLoads.limit,
        "source" to source,
    )

    private fun announce(tracker: EngineTracker) {
        val id = tracker.incarnation.id
        val now = steadyMs()
        val runningLoad = tracker.runningLoad
        val models = tracker.holdings.models - setOfNotNull(tracker.unloadingModel)
        val report = HoldingsReport(
            engine = id,
            bornMs = tracker.incarnation.bornMs,
            orderCount = tracker.holdings.orderCount,
            models = models.mapValues { (_, held) -> held.adapters },
            loading = tracker.announcedModel(),
            loadedInMs = 0,
            load = runningLoad?.let {
                if (it.isPredictable) {
                    LoadReport(agoMs = 0)
                } else {
                    LoadReport(0, fromStore = true, concurrent = it.concurrentStoreLoads, limit = storeLoads.limit)
                }
            },
        )
        val loadedAtMs = runningLoad?.expectedAtMs ?: tracker.pendingLoad?.readyAtMs ?: now
        if (!announcements.announce(report, loadedAtMs, now, runningLoad?.startedAtMs ?: now)) return
        table.announce(tracker.incarnation, tracker.holdings.copy(models = models), now)
        fleet.announceSoon()
    }

    private fun reconcile(scope: CoroutineScope, epoch: Long) {
        val now = steadyMs()
        val siteConfiguration = configuration()?.configuration ?: return
        modelsWithCopy = modelsWithCopy()
        recordUsage(now)
        coldDemand.retain(now, ::isCold)
        val uses = fleet.allUses()
        val queuedDemand = fleet.allQueuedDemand()
        siteConfiguration.services.values.forEach { service ->
            val engineSpec = service.engine ?: return@forEach
            val engines = table.ofService(service.name).mapNotNull { toEngineSnapshot(it, engineSpec, uses, now) }
            engines.forEach { requestReportIfNeeded(scope, it.tracker, now) }
            if (wasCutOff) return@forEach
            val others = trackers.values - engines.mapTo(HashSet()) { it.tracker }
            val allowance = storeLoads.allowance(others, engineSpec.loadsPerSecond, now)
            val serviceDemand = queuedDemand.filter { it.service == service.name }.map { it.toQueuedDemand() } +
                coldDemand.queuedDemand(now).filter { it.model in engineSpec.models }
            val planner = ResidencyPlanner(engineSpec)
            val prefetch = now - endpointsChangedAtMs >= PREFETCH_DELAY_MS
            val orders = planner.plan(engines, serviceDemand, usageHistory, allowance, prefetch, now)
            orders.forEach { sendOrder(scope, it, epoch, now) }
            monitor.onPlanned(service, engines, serviceDemand, allowance, now)
            // The planner gives up pending loads that can't go on.
            engines.map { it.tracker }
                .filter { announcements.announcedLoad(it.incarnation.id) != it.announcedModel() }
                .forEach(::announce)
        }
        forgetGoneEngines(now)
    }

    private fun forgetGoneEngines(now: Long) {
        val knownIds = table.all().mapTo(HashSet()) { it.incarnation.id }
        if (trackers.keys != knownEngines) {
            knownEngines = trackers.keys.toSet()
            endpointsChangedAtMs = now
        }
        trackers.filterKeys { it !in knownIds }.values.forEach { lost ->
            lost.runningLoad?.let { logLoadEnd(lost, it, source = "engine gone") }
        }
        trackers.keys.retainAll(knownIds)
        announcements.retain(knownIds)
        reportPacing.retain(knownIds)
    }

    private fun toEngineSnapshot(
        endpoint: Endpoint,
        engineSpec: EngineSpec,
        uses: Map<String, List<EndpointUse>>,
        now: Long,
    ): EngineSnapshot? {
        val holdings = endpoint.holdings ?: return null
        val id = endpoint.incarnation.id
        val tracker =
            trackers[id]?.takeIf { it.incarnation == endpoint.incarnation }
                ?: newTracker(endpoint, holdings, engineSpec)
        val previousLoad = tracker.runningLoad
        endpoint.entry.holdings?.let { tracker.onListEntry(it, now) }
        if (previousLoad != null && tracker.runningLoad == null) logLoadEnd(tracker, previousLoad, source = "list")
        if (tracker.completeDueLoad(now)) {
            log.write("load-settled", "engine" to id, "holds" to tracker.holdings.models.keys)
            announce(tracker)
        }
        val engineUses = uses[id].orEmpty()
        val runsByModelKey = HashMap<String, Int>()
        engineUses.forEach { use -> use.models.forEach { (key, count) -> runsByModelKey.merge(key, count, Int::plus) } }
        val runsByAdapterKey = HashMap<AdapterKey, Int>()
        runsByModelKey.forEach { (key, count) -> parseAdapterKey(key)?.let { runsByAdapterKey[it] = count } }
        return EngineSnapshot(
            tracker = tracker,
            isUsable =
            !endpoint.entry.isDraining && !endpoint.isEjected(now) && !eligibility.isEvacuated(endpoint),
            runsByModel = runsByModelKey,
            runsEndInMs = engineUses.flatMap { it.endsInMs.entries }.groupingBy { it.key }
                .fold(0L) { longest, entry -> maxOf(longest, entry.value) },
            runsByAdapter = runsByAdapterKey,
            inFlight = engineUses.sumOf { it.inFlight },
            pendingPromptTokens = engineUses.sumOf { it.pendingPromptTokens },
            kvTokens = engineUses.sumOf { it.kvTokens },
            limitPerSecond = rateLimiter.limitOf(endpoint.incarnation),
            isAtLimit = rateLimiter.waitMs(endpoint.incarnation, now) > 0,
            coldLeftMs = eligibility.coldLeftMs(endpoint, now),
        )
    }

    private fun newTracker(endpoint: Endpoint, holdings: EngineHoldings, engineSpec: EngineSpec): EngineTracker {
        val tracker = EngineTracker(endpoint.incarnation, holdings, engineSpec)
        tracker.requireReport()
        inheritedLoads.take(endpoint.incarnation, steadyMs())?.let {
            tracker.inherit(it, steadyMs())
            log.write(
                "load-inherited",
                "engine" to endpoint.incarnation.id,
                "model" to it.model,
                "accepted" to (it.accepted != null),
                "expectedInMs" to it.expectedAtMs - steadyMs(),
            )
        }
        trackers[endpoint.incarnation.id] = tracker
        return tracker
    }

    private fun requestReportIfNeeded(scope: CoroutineScope, tracker: EngineTracker, now: Long) {
        val id = tracker.incarnation.id
        if (!tracker.shouldReadReport(now) || tracker.outstandingOrder != null) return
        val entry = table.find(id)?.takeUnless(eligibility::isEvacuated)?.entry ?: return
        if (!reportPacing.tryRequest(id, now)) return
        scope.launch {
            val report = engineClient.report(entry, REPORT_TIMEOUT_MS)
                .onFailure { log.write("report-failed", "engine" to id, "reason" to it.message) }
            events.send(OrderEvent.Reported(id, report.get()))
        }
    }

    private fun sendOrder(scope: CoroutineScope, planned: PlannedOrder, epoch: Long, now: Long) {
        val order = planned.order
        val tracker = planned.engine.tracker
        val id = tracker.incarnation.id
        val entry = table.find(id)?.entry ?: return
        val isStoreLoad = order is EngineOrder.LoadModel && order.source == WeightSource.STORE
        val orderCount = tracker.onSent(order, if (isStoreLoad) storeLoads.onSent(trackers.values, now) else 0)
        log.write(
            "order-sent",
            "engine" to id,
            "order" to order.toString(),
            "orderCount" to orderCount,
            "epoch" to epoch,
            "reason" to planned.reason,
            "expectedMs" to planned.durationMs.takeIf { order is EngineOrder.LoadModel },
            "storeLoads" to storeLoads.underWay(trackers.values, now).takeIf { order is EngineOrder.LoadModel },
        )
        scope.launch {
            // Checked again immediately before the order is sent.
            val answer = if (leaseManager.currentEpoch() == epoch && !isCutOff()) {
                engineClient.order(entry, order, orderCount, OrderAuthority(ownVm, epoch), ORDER_TIMEOUT_MS)
            } else {
                OrderAnswer.Conflict
            }
            events.send(OrderEvent.Answered(id, planned, answer))
        }
    }

    private fun modelsWithCopy(): Set<String> {
        val listed = table.all().filter { !it.entry.isDraining }.flatMapTo(HashSet()) { it.copies() }
        trackers.filterKeys { table.find(it)?.entry?.isDraining == false }.values
            .forEach { listed += it.reservedModels() + setOfNotNull(it.pendingModel) }
        return listed
    }

    /** Whether [key] names a model that no engine that stays holds, loads or has a copy of. */
    private fun isCold(key: String) = '/' !in key && key !in modelsWithCopy

    private fun recordUsage(now: Long) {
        fleet.allRequestCounts().forEach { (vm, counts) ->
            val knownCounts = lastRequestCounts.getOrPut(vm) { HashMap() }
            counts.forEach { (key, count) ->
                // A count that is not known yet may contain old requests; only the last one is certainly recent.
                val added = knownCounts.put(key, count)?.let { count - it } ?: 1
                if (added <= 0) return@forEach
                usageHistory.recordUse(key, added, now)
                if (isCold(key)) coldDemand.recordRequests(key, added, now)
            }
        }
    }

    private companion object {
        /** Interval between checks without the lease, in milliseconds: an event tells when it is taken. */
        const val IDLE_INTERVAL_MS = 1_000L

        /** Interval between planning rounds without events, in milliseconds. */
        const val RECONCILE_INTERVAL_MS = 50L

        /** Delay after the expected end of a load at which the load counts as complete, in milliseconds. */
        const val LOAD_SETTLE_DELAY_MS = 13L

        /**
         * Timeout for the answer to an order, in milliseconds: many times the usual duration; the order may be sent
         * again.
         */
        const val ORDER_TIMEOUT_MS = 200L

        /**
         * Time without new or lost engines before models are prefetched, in milliseconds: engines that hold them may be
         * listed later than others.
         */
        const val PREFETCH_DELAY_MS = 2_500L

        /** Timeout for a report of an engine, in milliseconds. */
        const val REPORT_TIMEOUT_MS = 500L
    }
}

private fun EngineTracker.announcedModel() = runningLoad?.model ?: pendingModel

/** Returns the least time that a load from the weight store takes, in milliseconds, or null without models. */
private fun RouteTable.shortestStoreLoadMs(): Long? =
    configuration.services.values.flatMap { it.engine?.models?.values.orEmpty() }.minOfOrNull { it.coldLoadMs }

private fun QueuedDemandReport.toQueuedDemand(): QueuedDemand {
    val adapter = model.substringAfter('/', "").ifEmpty { null }
    return QueuedDemand(model.substringBefore('/'), adapter, count, urgency, waitedMs)
}
