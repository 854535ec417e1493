/*
 * Gives orders to engines while this VM holds the duty: collects what all VMs want, asks the planner, sends the orders
 * and announces what engines come to hold. One coroutine owns all of its state; calls to engines run beside it and
 * hand their results back.
 */
package io.daisybend.entry.orders

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.HoldingsReport
import io.daisybend.entry.peers.WantReport
import io.daisybend.entry.peers.adapterOf
import io.daisybend.platform.EngineClient
import io.daisybend.platform.OrderAuthority
import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.residency.EngineOrder
import io.daisybend.serving.residency.EngineSnapshot
import io.daisybend.serving.residency.EngineTracker
import io.daisybend.serving.residency.OrderAnswer
import io.daisybend.serving.residency.PlannedOrder
import io.daisybend.serving.residency.QueuedDemand
import io.daisybend.serving.residency.ResidencyPlanner
import io.daisybend.serving.residency.StoreLoadLimiter
import io.daisybend.serving.residency.UsageHistory
import io.daisybend.serving.residency.WeightSource
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.RouteTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** What the order duty needs to know of the fleet. */
internal interface DutyView {
    /** Uses of all VMs, this one among them, by endpoint. */
    fun allUses(): Map<String, List<EndpointUse>>

    /** What requests of all VMs wait for. */
    fun allWants(): List<WantReport>

    /** Requests for models and adapters of all VMs since their starts, by VM and start. */
    fun allRequestCounts(): Map<String, Map<String, Int>>

    /** Tells the peers at once what engines have come to hold. */
    fun announceSoon()
}

private sealed interface OrderEvent {
    data class Answered(val engine: String, val planned: PlannedOrder, val answer: OrderAnswer) : OrderEvent
    data class Reported(val engine: String, val report: EngineHoldings?) : OrderEvent
    data object Look : OrderEvent
}

/** What the peers are told of an engine since [atMs]; what it loads should be loaded at [loadedAtMs]. */
private class Announced(val report: HoldingsReport, val atMs: Long, val loadedAtMs: Long)

/** Runs the order duty. */
internal class OrderRunner(
    private val duty: DutyRunner,
    private val client: EngineClient,
    private val table: EndpointTable,
    private val view: DutyView,
    private val configuration: () -> RouteTable?,
    private val ownName: String,
    private val loadWindowMs: Long,
    private val log: EventLog,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    private val events = Channel<OrderEvent>(Channel.UNLIMITED)
    private val ledgers = HashMap<String, EngineTracker>()
    private val reportAskedAtMs = HashMap<String, Long>()
    private val history = UsageHistory()
    private val countsSeen = HashMap<String, Map<String, Int>>()
    private val announced = ConcurrentHashMap<String, Announced>()
    private var pacer = StoreLoadLimiter(loadWindowMs)
    private var turn: Long? = null
    private var lastTurn: Long? = null

    /** What engines came to hold lately or are loading, for the report to the peers. */
    fun announcements(): List<HoldingsReport> {
        val now = steadyMs()
        return announced.values
            .filter { it.atMs >= now - ANNOUNCE_MS || it.report.loading != null }
            .map { it.report.copy(loadedInMs = (it.loadedAtMs - now).coerceAtLeast(MIN_LOAD_LEFT_MS)) }
    }

    /** Looks at once: something that the planner heeds has changed. */
    fun lookSoon() {
        events.trySend(OrderEvent.Look)
    }

    /** Runs for ever. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val event = withTimeoutOrNull(untilNextLookMs()) { events.receive() }
            event?.let(::handle)
            while (true) handle(events.tryReceive().getOrNull() ?: break)
            val current = duty.currentTurn()
            if (current != turn) beginTurn(current)
            if (current != null) look(scope, current)
        }
    }

    private fun untilNextLookMs(): Long {
        if (turn == null) return LOOK_EVERY_MS
        val now = steadyMs()
        val loadEnds = ledgers.values.mapNotNull { it.runningLoad }.map { it.expectedAtMs + LOAD_END_MS }
        val unloadEnds = ledgers.values.filter { it.pendingModel != null }.map { it.retryAtMs }
        val nextMs = (loadEnds + unloadEnds).filter { it > now }.minOrNull() ?: return LOOK_EVERY_MS
        return (nextMs - now).coerceIn(1, LOOK_EVERY_MS)
    }

    private fun beginTurn(current: Long?) {
        turn = current
        if (current == null) {
            log.write("duty-turn-paused", "epoch" to lastTurn)
            return
        }
        log.write("duty-turn", "epoch" to current, "resumed" to (current == lastTurn))
        // The account of a turn that goes on stays: nobody else has ordered meanwhile.
        if (current == lastTurn) return
        lastTurn = current
        ledgers.clear()
        reportAskedAtMs.clear()
        announced.clear()
        pacer = StoreLoadLimiter(loadWindowMs)
        if (current != FIRST_TURN) pacer.assumeWindowUsed(steadyMs())
    }

    private fun handle(event: OrderEvent) {
        when (event) {
            is OrderEvent.Answered -> onAnswered(event)
            is OrderEvent.Reported -> onReported(event)
            OrderEvent.Look -> Unit
        }
    }

    private fun onAnswered(event: OrderEvent.Answered) {
        val now = steadyMs()
        val ledger = ledgers[event.engine] ?: return
        if (ledger !== event.planned.engine.tracker) return
        ledger.onAnswer(event.answer, now, now + event.planned.durationMs)
        metrics.order(event.planned.order.javaClass.simpleName, event.answer.javaClass.simpleName)
        log.write(
            "order-answered",
            "engine" to event.engine,
            "order" to event.planned.order.toString(),
            "answer" to event.answer.toString(),
            "orderCount" to ledger.holdings.orderCount,
        )
        announce(ledger)
    }

    private fun onReported(event: OrderEvent.Reported) {
        val ledger = ledgers[event.engine] ?: return
        val report = event.report ?: return
        val wasLoading = ledger.runningLoad
        ledger.onReport(report, steadyMs())
        if (wasLoading != null && ledger.runningLoad == null) {
            log.write(
                "load-ended",
                "engine" to event.engine,
                "model" to wasLoading.model,
                "held" to (wasLoading.model in ledger.holdings.models),
                "tookMs" to steadyMs() - wasLoading.startedAtMs,
            )
        }
        announce(ledger)
    }

    private fun announce(ledger: EngineTracker) {
        val id = ledger.incarnation.id
        val now = steadyMs()
        val load = ledger.runningLoad
        val models = ledger.holdings.models - setOfNotNull(ledger.unloadingModel)
        val report = HoldingsReport(
            engine = id,
            bornMs = ledger.incarnation.bornMs,
            orderCount = ledger.holdings.orderCount,
            models = models.mapValues { (_, held) -> held.adapters },
            loading = load?.model ?: ledger.pendingModel,
            loadedInMs = 0,
        )
        val before = announced[id]
        if (before?.report == report) return
        announced[id] = Announced(report, now, load?.expectedAtMs ?: ledger.pendingLoad?.readyAtMs ?: now)
        table.announce(ledger.incarnation, ledger.holdings.copy(models = models), now)
        view.announceSoon()
    }

    private fun look(scope: CoroutineScope, epoch: Long) {
        val now = steadyMs()
        val site = configuration()?.configuration ?: return
        countUses(now)
        val uses = view.allUses()
        val wants = view.allWants()
        site.services.values.forEach { service ->
            val spec = service.engine ?: return@forEach
            val engines = table.ofService(service.name).mapNotNull { planned(it, spec, uses, now) }
            engines.forEach { refreshIfNeeded(scope, it.tracker, now) }
            val available = pacer.availableLoads(now, spec.loadsPerSecond)
            val serviceWants = wants.filter { it.service == service.name }.map(::toWant)
            val planner = ResidencyPlanner(spec)
            val orders = planner.plan(engines, serviceWants, history, available, prefetch = true, nowMs = now)
            orders.forEach { send(scope, it, epoch, now) }
        }
        val known = table.all().mapTo(HashSet()) { it.incarnation.id }
        ledgers.keys.retainAll(known)
        announced.keys.retainAll(known)
    }

    private fun planned(
        endpoint: Endpoint,
        spec: EngineSpec,
        uses: Map<String, List<EndpointUse>>,
        now: Long,
    ): EngineSnapshot? {
        val holdings = endpoint.holdings ?: return null
        val id = endpoint.incarnation.id
        val ledger =
            ledgers[id]?.takeIf { it.incarnation == endpoint.incarnation } ?: newLedger(endpoint, holdings, spec)
        endpoint.entry.holdings?.let { ledger.onListEntry(it, now) }
        if (ledger.completeDueLoad(now)) {
            log.write("load-settled", "engine" to id, "holds" to ledger.holdings.models.keys)
            announce(ledger)
        }
        val here = uses[id].orEmpty()
        val byKey = HashMap<String, Int>()
        here.forEach { use -> use.models.forEach { (key, count) -> byKey.merge(key, count, Int::plus) } }
        val byAdapter = HashMap<AdapterKey, Int>()
        byKey.forEach { (key, count) -> adapterOf(key)?.let { byAdapter[it] = count } }
        return EngineSnapshot(
            tracker = ledger,
            isUsable = !endpoint.entry.isDraining && !endpoint.isEjected(now),
            runsByModel = byKey,
            runsEndInMs = here.flatMap { it.endsInMs.entries }.groupingBy { it.key }
                .fold(0L) { longest, entry -> maxOf(longest, entry.value) },
            runsByAdapter = byAdapter,
            inFlight = here.sumOf { it.inFlight },
            pendingPromptTokens = here.sumOf { it.pendingPromptTokens },
            kvTokens = here.sumOf { it.kvTokens },
        )
    }

    private fun newLedger(endpoint: Endpoint, holdings: EngineHoldings, spec: EngineSpec): EngineTracker {
        val ledger = EngineTracker(endpoint.incarnation, holdings, spec)
        ledger.requireReport()
        ledgers[endpoint.incarnation.id] = ledger
        return ledger
    }

    private fun refreshIfNeeded(scope: CoroutineScope, ledger: EngineTracker, now: Long) {
        val id = ledger.incarnation.id
        if (!ledger.shouldReadReport(now) || ledger.outstandingOrder != null) return
        val sinceAskedMs = now - (reportAskedAtMs[id] ?: Long.MIN_VALUE / 2)
        if (sinceAskedMs < REPORT_EVERY_MS) return
        val entry = table.find(id)?.entry ?: return
        reportAskedAtMs[id] = now
        scope.launch {
            val report = client.report(entry, CALL_TIMEOUT_MS)
                .onFailure { log.write("report-failed", "engine" to id, "reason" to it.message) }
            events.send(OrderEvent.Reported(id, report.get()))
        }
    }

    private fun send(scope: CoroutineScope, planned: PlannedOrder, epoch: Long, now: Long) {
        val order = planned.order
        val ledger = planned.engine.tracker
        val id = ledger.incarnation.id
        val entry = table.find(id)?.entry ?: return
        if (order is EngineOrder.LoadModel && order.source == WeightSource.STORE) pacer.onLoadStarted(now)
        val orderCount = ledger.onSent(order)
        log.write(
            "order-sent",
            "engine" to id,
            "order" to order.toString(),
            "orderCount" to orderCount,
            "epoch" to epoch,
            "reason" to planned.reason,
        )
        scope.launch {
            // The lease is looked at again right before the order leaves.
            val answer = if (duty.currentTurn() == epoch) {
                client.order(entry, order, orderCount, OrderAuthority(ownName, epoch), ORDER_TIMEOUT_MS)
            } else {
                OrderAnswer.Conflict
            }
            events.send(OrderEvent.Answered(id, planned, answer))
        }
    }

    private fun countUses(now: Long) {
        view.allRequestCounts().forEach { (vm, counts) ->
            val seen = countsSeen.put(vm, counts) ?: return@forEach
            counts.forEach { (key, count) ->
                val added = count - (seen[key] ?: 0)
                if (added > 0) history.recordUse(key, added, now)
            }
        }
    }

    private fun toWant(report: WantReport): QueuedDemand {
        val adapter = report.model.substringAfter('/', "").ifEmpty { null }
        return QueuedDemand(report.model.substringBefore('/'), adapter, report.count, report.urgency, report.waitedMs)
    }

    private companion object {
        /** The turn that no other came before. */
        const val FIRST_TURN = 1L

        /** Time between looks without news, in milliseconds. */
        const val LOOK_EVERY_MS = 50L

        /** Time after a load's expected end at which it is taken as done, in milliseconds. */
        const val LOAD_END_MS = 13L

        /** How long changed holdings are told, in milliseconds: until the platform's list has them. */
        const val ANNOUNCE_MS = 3_000L

        /** The least time that a load under way is taken to last, in milliseconds: a copy in memory. */
        const val MIN_LOAD_LEFT_MS = 200L

        /** Time between reports of one engine, in milliseconds: an engine's report lags by some 100 ms. */
        const val REPORT_EVERY_MS = 120L

        /** Time for the answer to an order, in milliseconds: many times the usual; it may be sent again. */
        const val ORDER_TIMEOUT_MS = 200L

        /** Time for a report of an engine, in milliseconds. */
        const val CALL_TIMEOUT_MS = 500L
    }
}
