/*
 * What one engine holds and may still come to hold, as the holder of the order duty accounts for it. Orders carry the
 * number of orders that the engine must have accepted, so of all orders sent with one number at most one takes effect.
 * An order without an answer may take effect seconds later while that number still holds; its memory stays counted
 * until the engine has moved on in the same incarnation.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.EngineSpec

private data class UnansweredOrder(val expected: Long, val order: EngineOrder, val sentAtMs: Long)

/** The account of one engine; not safe for use by several threads. */
public class EngineTracker(
    public val incarnation: Incarnation,
    holdings: EngineHoldings,
    spec: EngineSpec,
) {
    /** What the engine holds now, as far as is known. */
    public var holdings: EngineHoldings = holdings
        private set

    /** The load under way, if any. */
    public var runningLoad: RunningLoad? = null
        private set

    /** The order that waits for its answer, if any. */
    public var outstandingOrder: EngineOrder? = null
        private set

    /** Whether the holdings must be read from the engine before the next order. */
    public var needsReport: Boolean = false
        private set

    /** The model whose unload waits for its runs, if any. */
    public var unloadingModel: String? = null
        private set

    private val unanswered = ArrayList<UnansweredOrder>()
    private var changedAtMs = 0L

    /** The model that is to be loaded once enough weights have made way, if any. */
    public var pendingLoad: PendingLoad? = null

    /** The model of [pendingLoad]. */
    public val pendingModel: String? get() = pendingLoad?.model

    private val loadedAtMs = HashMap<String, Long>()
    private var conflicts = 0
    private var isBusyUnknown = false
    private val copies = RecentCopies(spec)

    /** Before this time the engine refuses orders, as far as is known. */
    public var retryAtMs: Long = 0L
        private set

    /** The model that the engine is loading, or was just ordered to load. */
    public val loadingModel: String?
        get() = runningLoad?.model ?: (outstandingOrder as? EngineOrder.LoadModel)?.model

    /** Whether an order may be sent at [nowMs]: an engine carries out one at a time. */
    public fun acceptsOrders(nowMs: Long): Boolean =
        outstandingOrder == null &&
            runningLoad == null &&
            unloadingModel == null &&
            !isBusyUnknown &&
            !needsReport &&
            nowMs >= retryAtMs

    /** Whether a report should show at [nowMs] the end of something under way. */
    public fun shouldReadReport(nowMs: Long): Boolean {
        val load = runningLoad
        val isLoadDue = load != null && !load.isPredictable && nowMs >= load.expectedAtMs
        return needsReport || unloadingModel != null || isBusyUnknown || isLoadDue
    }

    /** Returns how long the order under way should still take at [nowMs], in milliseconds. */
    public fun busyForMs(nowMs: Long): Long =
        runningLoad?.let { (it.expectedAtMs - nowMs).coerceAtLeast(0) }
            ?: if (acceptsOrders(nowMs)) 0 else UNKNOWN_BUSY_MS

    /** Returns how long [model] has been held at [nowMs], or null when it was held from the start. */
    public fun heldForMs(model: String, nowMs: Long): Long? = loadedAtMs[model]?.let { nowMs - it }

    /** Takes a load or unload that should be done at [nowMs] as done, without waiting for a report that lags. */
    public fun completeDueLoad(nowMs: Long): Boolean {
        val load = runningLoad ?: return false
        if (!load.isPredictable || nowMs < load.expectedAtMs + SETTLE_MS) return false
        runningLoad = null
        addLoaded(load.model, nowMs)
        return true
    }

    private fun addLoaded(model: String, nowMs: Long) {
        noteLoaded(model, nowMs)
        holdings = holdings.copy(
            models = holdings.models + (model to HeldModel(model, emptySet())),
            onDisk = holdings.onDisk + model,
            inMemory = copies.memoryAfter(holdings.inMemory, model),
        )
    }

    private fun noteLoaded(model: String, nowMs: Long) {
        loadedAtMs[model] = nowMs
        copies.onLoaded(model, nowMs)
    }

    /** Whether the engine holds [model], or comes to hold it by what was ordered or decided. */
    public fun willHold(model: String): Boolean = model in reservedModels() || pendingModel == model

    /** Models whose weights must be counted: held, loading, and those that unanswered orders may still load. */
    public fun reservedModels(): Set<String> =
        holdings.models.keys + listOfNotNull(runningLoad?.model, (outstandingOrder as? EngineOrder.LoadModel)?.model) +
            unanswered.mapNotNull { (it.order as? EngineOrder.LoadModel)?.model }

    /** Adapters that the engine holds or is certain to hold soon. */
    public fun heldOrLoadingAdapters(): Set<AdapterKey> =
        holdings.models.values.flatMapTo(HashSet()) { held -> held.adapters.map { AdapterKey(held.name, it) } } +
            holdings.loadingAdapters +
            listOfNotNull((outstandingOrder as? EngineOrder.LoadAdapter)?.let { AdapterKey(it.model, it.adapter) })

    /** Adapters that must be counted: those, and what unanswered orders may still load. */
    public fun reservedAdapters(): Set<AdapterKey> =
        heldOrLoadingAdapters() +
            unanswered.mapNotNull {
                (it.order as? EngineOrder.LoadAdapter)?.let { o -> AdapterKey(o.model, o.adapter) }
            }

    /** Notes that [order] is sent at [nowMs]; returns the number of accepted orders that it must name. */
    public fun onSent(order: EngineOrder): Long {
        outstandingOrder = order
        return holdings.orderCount
    }

    /** Takes in the answer to the outstanding order; [expectedAtMs] is when an accepted load should be done. */
    public fun onAnswer(answer: OrderAnswer, nowMs: Long, expectedAtMs: Long) {
        val order = outstandingOrder ?: return
        outstandingOrder = null
        changedAtMs = nowMs
        when (answer) {
            OrderAnswer.Accepted -> onAccepted(order, nowMs, expectedAtMs)
            OrderAnswer.AlreadyHolds -> onAlreadyHolds(order)
            OrderAnswer.Conflict -> onConflict(nowMs)
            is OrderAnswer.Refused -> needsReport = true
            OrderAnswer.None -> {
                unanswered.add(UnansweredOrder(holdings.orderCount, order, nowMs))
                needsReport = true
                // Sent again with the same count, the order takes effect once at most.
                if (order is EngineOrder.LoadModel) pendingLoad = PendingLoad(order.model, expectedAtMs)
            }
        }
    }

    /** An engine that is just ending an order refuses the next one; only then is its state in doubt. */
    private fun onConflict(nowMs: Long) {
        conflicts++
        retryAtMs = nowMs + CONFLICT_RETRY_MS
        if (conflicts > MAX_PLAIN_CONFLICTS) needsReport = true
    }

    private fun onAccepted(order: EngineOrder, nowMs: Long, expectedAtMs: Long) {
        val count = holdings.orderCount + 1
        holdings = holdings.copy(orderCount = count)
        conflicts = 0
        when (order) {
            is EngineOrder.LoadModel -> {
                runningLoad =
                    RunningLoad(order.model, expectedAtMs, nowMs, isPredictable = order.source != WeightSource.STORE)
                if (pendingModel == order.model) pendingLoad = null
            }
            is EngineOrder.UnloadModel -> {
                if (order.waitsForRuns) unloadingModel = order.model
                retryAtMs = nowMs + UNLOAD_MS
                loadedAtMs.remove(order.model)
                holdings = holdings.copy(models = holdings.models - order.model)
            }
            is EngineOrder.LoadAdapter -> holdings = holdings.withAdapter(order.model, order.adapter)
            is EngineOrder.UnloadAdapter -> holdings = holdings.withoutAdapter(order.model, order.adapter)
        }
        settleUnanswered()
    }

    private fun onAlreadyHolds(order: EngineOrder) {
        when (order) {
            is EngineOrder.LoadModel -> needsReport = true
            is EngineOrder.UnloadModel -> holdings = holdings.copy(models = holdings.models - order.model)
            is EngineOrder.LoadAdapter -> holdings = holdings.withAdapter(order.model, order.adapter)
            is EngineOrder.UnloadAdapter -> {
                holdings = holdings.withoutAdapter(order.model, order.adapter)
                needsReport = true
            }
        }
    }

    /** Takes in what the engine reported of itself; the report lags, so a load that was just done may be missing. */
    public fun onReport(report: EngineHoldings, nowMs: Long) {
        if (report.orderCount < holdings.orderCount) return
        val movedOn = report.orderCount > holdings.orderCount
        changedAtMs = nowMs
        val ordered = if (movedOn) emptyMap() else orderedButMissingIn(report)
        holdings = report.copy(
            models = report.models + ordered,
            inMemory = report.inMemory.ifEmpty { holdings.inMemory },
            onDisk = report.onDisk.ifEmpty { holdings.onDisk } + copies.loadedSince(nowMs - LIST_LAG_MS),
        )
        needsReport = false
        conflicts = 0
        runningLoad?.let { endLoadIfSeen(it, report, nowMs) }
        if (unloadingModel != null && !report.busy) unloadingModel = null
        val unseen = ordered.keys.firstOrNull { (heldForMs(it, nowMs) ?: 0) > SEEN_MS }
        if (unseen != null && report.busy && runningLoad == null) resumeLoad(unseen, nowMs)
        // Busy with nothing that is known here: an order whose answer was lost is under way.
        isBusyUnknown = report.busy && runningLoad == null && unloadingModel == null
        if (movedOn) settleUnanswered()
        unanswered.removeAll { nowMs - it.sentAtMs > UNANSWERED_MS }
    }

    private fun orderedButMissingIn(report: EngineHoldings) =
        holdings.models.filterKeys { it !in report.models && it in loadedAtMs }

    private fun endLoadIfSeen(load: RunningLoad, report: EngineHoldings, nowMs: Long) {
        val isHeld = load.model in report.models
        if (isHeld) noteLoaded(load.model, nowMs)
        val hasFailed = !report.busy && nowMs > load.startedAtMs + REPORT_LAG_MS
        if (isHeld || hasFailed) runningLoad = null
    }

    /** A load that was taken as done still runs: its copy came from further away than it seemed. */
    private fun resumeLoad(model: String, nowMs: Long) {
        holdings = holdings.copy(models = holdings.models - model, inMemory = holdings.inMemory - model)
        runningLoad = RunningLoad(model, nowMs + RESUMED_LOAD_MS, nowMs, isPredictable = false)
    }

    /**
     * Takes in an entry of the platform's list. It lags, so only what moves the account forward counts, and its copies
     * are completed by those of loads that it can't tell of yet.
     */
    public fun onListEntry(listed: EngineHoldings, nowMs: Long) {
        if (listed.inMemory.isNotEmpty() || listed.onDisk.isNotEmpty()) {
            holdings =
                holdings.copy(
                    inMemory = listed.inMemory,
                    onDisk =
                    listed.onDisk + copies.loadedSince(nowMs - LIST_LAG_MS),
                )
        }
        val load = runningLoad
        if (load != null && load.model in listed.models) {
            runningLoad = null
            addLoaded(load.model, nowMs)
        }
        val settled = runningLoad == null && unloadingModel == null && outstandingOrder == null
        if (settled &&
            listed.models.keys != holdings.models.keys &&
            nowMs - changedAtMs > LIST_LAG_MS
        ) {
            needsReport = true
        }
    }

    /** Asks for a report before the next order. */
    public fun requireReport() {
        needsReport = true
    }

    private fun settleUnanswered() {
        unanswered.removeAll { it.expected < holdings.orderCount }
    }

    internal companion object {
        /** How long an unload without runs keeps an engine from the next order, in milliseconds. */
        const val UNLOAD_MS = 50L

        /** How old a report may be, in milliseconds, with room for a slow answer. */
        const val REPORT_LAG_MS = 600L

        /** How much later than expected a load is taken as done, in milliseconds: an order's way. */
        const val SETTLE_MS = 12L

        /** How soon after its end a report shows a load, in milliseconds. */
        const val SEEN_MS = 250L

        /** How long a load that was taken as done too early should still take, in milliseconds. */
        const val RESUMED_LOAD_MS = 200L

        /** Time between orders after a conflict, in milliseconds, and how many are tried before a report. */
        const val CONFLICT_RETRY_MS = 40L
        const val MAX_PLAIN_CONFLICTS = 2

        /** How long an engine is taken to be busy when that is not known, in milliseconds: a usual run. */
        const val UNKNOWN_BUSY_MS = 400L

        /** How far the platform's list may lag behind an engine, in milliseconds: two heartbeats and a read. */
        const val LIST_LAG_MS = 3_500L

        /** After this time an order without an answer can't take effect any more, in milliseconds. */
        const val UNANSWERED_MS = 14_000L
    }
}

private fun EngineHoldings.withAdapter(model: String, adapter: String): EngineHoldings {
    val held = models[model] ?: HeldModel(model, emptySet())
    return copy(models = models + (model to held.copy(adapters = held.adapters + adapter)))
}

private fun EngineHoldings.withoutAdapter(model: String, adapter: String): EngineHoldings {
    val held = models[model] ?: return this
    return copy(models = models + (model to held.copy(adapters = held.adapters - adapter)))
}
