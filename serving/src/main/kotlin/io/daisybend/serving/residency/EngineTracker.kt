/*
 * Tracks the models that one engine holds or may still load, for the order duty holder. Each order names the number of
 * orders that the engine must have accepted before it, so at most one of the orders with the same number takes effect.
 * An order without an answer may take effect seconds later while the engine still has that number. Its memory stays
 * reserved until the engine has accepted another order in the same incarnation, or until the order can no longer take
 * effect.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.EngineSpec

private data class UnansweredOrder(val expected: Long, val order: EngineOrder, val sentAtMs: Long)

/** The tracked state of one engine; not thread-safe. */
public class EngineTracker(
    public val incarnation: Incarnation,
    holdings: EngineHoldings,
    spec: EngineSpec,
) {
    /** The last known holdings of the engine. */
    public var holdings: EngineHoldings = holdings
        private set

    /** The model load in progress, if any. */
    public var runningLoad: RunningLoad? = null
        private set

    /** The order that has been sent but not answered, if any. */
    public var outstandingOrder: EngineOrder? = null
        private set

    /** Whether a report must be read from the engine before the next order. */
    public var needsReport: Boolean = false
        private set

    /** The model whose unload waits for its runs to end, if any. */
    public var unloadingModel: String? = null
        private set

    /** Adapters whose unload waits for their runs to end; they still take their places. */
    private val unloadingAdapters = HashSet<AdapterKey>()

    private val unansweredOrders = ArrayList<UnansweredOrder>()
    private var changedAtMs = 0L

    /** The load that follows once enough models have been unloaded, if any. */
    public var pendingLoad: PendingLoad? = null

    /** The model of [pendingLoad]. */
    public val pendingModel: String? get() = pendingLoad?.model

    private val loadedAtMs = HashMap<String, Long>()
    private var conflicts = 0
    private var unknownOrderSinceMs: Long? = null

    /** The loads from the store under way, with its own, when the outstanding order was sent. */
    private var concurrentStoreLoads = 0

    /** Whether the engine executes an order that this tracker did not see accepted. */
    public val hasUnknownOrder: Boolean get() = unknownOrderSinceMs != null

    private val copies = RecentCopies(spec)

    /** The time until which the engine is expected to refuse orders, in milliseconds. */
    public var retryAtMs: Long = 0L
        private set

    /** The model that the engine is loading, or that the outstanding order loads. */
    public val loadingModel: String?
        get() = runningLoad?.model ?: (outstandingOrder as? EngineOrder.LoadModel)?.model

    /**
     * Returns whether the engine loads from the weight store at [nowMs], or may do so by an outstanding or an unknown
     * order. What should long have ended counts no more: no report of the engine may arrive.
     */
    public fun mayLoadFromStore(nowMs: Long): Boolean {
        val load = runningLoad
        return when {
            load != null -> !load.isPredictable && nowMs < load.startedAtMs + load.expectedMs * MAX_LOAD_OVERRUN
            outstandingOrder != null -> (outstandingOrder as? EngineOrder.LoadModel)?.source == WeightSource.STORE
            else -> unknownOrderSinceMs?.let { nowMs - it < MAX_ORDER_DELAY_MS } ?: false
        }
    }

    /** Returns whether an order may be sent at [nowMs]; an engine executes one order at a time. */
    public fun acceptsOrders(nowMs: Long): Boolean =
        outstandingOrder == null &&
            runningLoad == null &&
            unloadingModel == null &&
            !hasUnknownOrder &&
            !needsReport &&
            nowMs >= retryAtMs

    /** Returns whether a report should be read at [nowMs] to learn the state of the engine. */
    public fun shouldReadReport(nowMs: Long): Boolean {
        val load = runningLoad
        val isLoadDue = load != null && !load.isPredictable && nowMs >= load.expectedAtMs
        val isUnloading = unloadingModel != null || unloadingAdapters.isNotEmpty()
        return needsReport || isUnloading || hasUnknownOrder || isLoadDue
    }

    /** Returns the expected time until the engine accepts orders, in milliseconds. */
    public fun busyForMs(nowMs: Long): Long =
        runningLoad?.let { remainingLoadMs(it.expectedAtMs, nowMs) }
            ?: if (acceptsOrders(nowMs)) 0 else ASSUMED_BUSY_MS

    /** Returns how long the engine has held [model], in milliseconds, or null when no load of it was seen. */
    public fun heldForMs(model: String, nowMs: Long): Long? = loadedAtMs[model]?.let { nowMs - it }

    /** Completes a predictable load that is due at [nowMs] without waiting for a report; returns whether it did. */
    public fun completeDueLoad(nowMs: Long): Boolean {
        val load = runningLoad ?: return false
        if (!load.isPredictable || nowMs < load.expectedAtMs + LOAD_COMPLETION_DELAY_MS) return false
        runningLoad = null
        addLoaded(load.model, nowMs)
        return true
    }

    private fun addLoaded(model: String, nowMs: Long) {
        recordLoaded(model, nowMs)
        holdings = holdings.copy(
            models = holdings.models + (model to HeldModel(model, emptySet())),
            onDisk = holdings.onDisk + model,
            inMemory = copies.memoryAfter(holdings.inMemory, model),
        )
    }

    private fun recordLoaded(model: String, nowMs: Long) {
        loadedAtMs[model] = nowMs
        copies.onLoaded(model, nowMs)
    }

    /** Returns whether the engine holds [model], or may load it by an order sent or planned. */
    public fun willHold(model: String): Boolean = model in reservedModels() || pendingModel == model

    /** Returns the models that need memory: held, loading, and those that unanswered orders may still load. */
    public fun reservedModels(): Set<String> =
        holdings.models.keys + listOfNotNull(runningLoad?.model, (outstandingOrder as? EngineOrder.LoadModel)?.model) +
            unansweredOrders.mapNotNull { (it.order as? EngineOrder.LoadModel)?.model }

    /** Returns the adapters that the engine holds or is loading. */
    public fun heldOrLoadingAdapters(): Set<AdapterKey> =
        holdings.models.values.flatMapTo(HashSet()) { held -> held.adapters.map { AdapterKey(held.name, it) } } +
            holdings.loadingAdapters +
            listOfNotNull((outstandingOrder as? EngineOrder.LoadAdapter)?.let { AdapterKey(it.model, it.adapter) })

    /**
     * Returns the adapters that need memory: held, loading, those whose unload waits for their runs, and those that
     * unanswered orders may still load.
     */
    public fun reservedAdapters(): Set<AdapterKey> =
        heldOrLoadingAdapters() +
            unloadingAdapters +
            unansweredOrders.mapNotNull {
                (it.order as? EngineOrder.LoadAdapter)?.let { order -> AdapterKey(order.model, order.adapter) }
            }

    /**
     * Records that [order] is sent; returns the order count that it must name. A load from the store is one of
     * [concurrentStoreLoads], or 0 if their number is not known.
     */
    public fun onSent(order: EngineOrder, concurrentStoreLoads: Int = 0): Long {
        outstandingOrder = order
        this.concurrentStoreLoads = concurrentStoreLoads
        return holdings.orderCount
    }

    /** Applies the answer to the outstanding order; [expectedAtMs] is the expected end of an accepted load. */
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
                unansweredOrders.add(UnansweredOrder(holdings.orderCount, order, nowMs))
                needsReport = true
                // The planner sends the load again with the same order count, so it takes effect at most once.
                if (order is EngineOrder.LoadModel) pendingLoad = PendingLoad(order.model, expectedAtMs)
            }
        }
    }

    /** Retries after a conflict, since an engine that is finishing an order rejects the next; then reads a report. */
    private fun onConflict(nowMs: Long) {
        conflicts++
        retryAtMs = nowMs + CONFLICT_RETRY_MS
        if (conflicts > MAX_CONFLICTS_WITHOUT_REPORT) needsReport = true
    }

    private fun onAccepted(order: EngineOrder, nowMs: Long, expectedAtMs: Long) {
        val count = holdings.orderCount + 1
        holdings = holdings.copy(orderCount = count)
        conflicts = 0
        when (order) {
            is EngineOrder.LoadModel -> {
                val isPredictable = order.source != WeightSource.STORE
                runningLoad = RunningLoad(order.model, expectedAtMs, nowMs, isPredictable, concurrentStoreLoads)
                if (pendingModel == order.model) pendingLoad = null
            }
            is EngineOrder.UnloadModel -> {
                if (order.waitsForRuns) unloadingModel = order.model
                retryAtMs = nowMs + UNLOAD_MS
                loadedAtMs.remove(order.model)
                holdings = holdings.copy(models = holdings.models - order.model)
            }
            is EngineOrder.LoadAdapter -> holdings = holdings.withAdapter(order.model, order.adapter)
            is EngineOrder.UnloadAdapter -> {
                holdings = holdings.withoutAdapter(order.model, order.adapter)
                unloadingAdapters.add(AdapterKey(order.model, order.adapter))
            }
        }
        removeSupersededOrders()
    }

    private fun onAlreadyHolds(order: EngineOrder) {
        when (order) {
            is EngineOrder.LoadModel -> {
                if (pendingModel == order.model) pendingLoad = null
                needsReport = true
            }
            is EngineOrder.UnloadModel -> holdings = holdings.copy(models = holdings.models - order.model)
            is EngineOrder.LoadAdapter -> holdings = holdings.withAdapter(order.model, order.adapter)
            is EngineOrder.UnloadAdapter -> {
                holdings = holdings.withoutAdapter(order.model, order.adapter)
                needsReport = true
            }
        }
    }

    /** Applies a report of the engine; the report lags, so a load that has just ended may be missing. */
    public fun onReport(report: EngineHoldings, nowMs: Long) {
        if (report.orderCount < holdings.orderCount) return
        val hasAcceptedOrders = report.orderCount > holdings.orderCount
        changedAtMs = nowMs
        unloadingAdapters.removeAll { it.adapter !in report.models[it.model]?.adapters.orEmpty() }
        val loadedButUnreported = holdings.models.takeUnless { hasAcceptedOrders }.orEmpty()
            .filterKeys { it !in report.models && it in loadedAtMs }
        val reported = unloadingAdapters.fold(report) { rest, key -> rest.withoutAdapter(key.model, key.adapter) }
        holdings = reported.copy(
            models = reported.models + loadedButUnreported,
            inMemory = report.inMemory.ifEmpty { holdings.inMemory },
            onDisk = report.onDisk.ifEmpty { holdings.onDisk } + copies.loadedSince(nowMs - LIST_LAG_MS),
        )
        needsReport = false
        conflicts = 0
        runningLoad?.let { endLoadIfReported(it, report, nowMs) }
        if (unloadingModel != null && !report.busy) unloadingModel = null
        val overdueModel = loadedButUnreported.keys.firstOrNull { (heldForMs(it, nowMs) ?: 0) > REPORT_AFTER_LOAD_MS }
        if (overdueModel != null && report.busy && runningLoad == null) resumeLoad(overdueModel, nowMs)
        // The engine is busy with no known order, so it is executing an order whose answer was lost.
        val hasUnknownOrder = report.busy && runningLoad == null && unloadingModel == null
        unknownOrderSinceMs = nowMs.takeIf { hasUnknownOrder }?.let { unknownOrderSinceMs ?: it }
        pendingLoad = pendingLoad?.takeUnless { it.model in holdings.models }
        if (hasAcceptedOrders) removeSupersededOrders()
        unansweredOrders.removeAll { nowMs - it.sentAtMs > MAX_ORDER_DELAY_MS }
    }

    private fun endLoadIfReported(load: RunningLoad, report: EngineHoldings, nowMs: Long) {
        val isHeld = load.model in report.models
        if (isHeld) recordLoaded(load.model, nowMs)
        val hasFailed = !report.busy && nowMs > load.startedAtMs + REPORT_LAG_MS
        if (isHeld || hasFailed) runningLoad = null
    }

    /** Restores a load that was completed too early: the weights came from a slower source than assumed. */
    private fun resumeLoad(model: String, nowMs: Long) {
        holdings = holdings.copy(models = holdings.models - model, inMemory = holdings.inMemory - model)
        runningLoad = RunningLoad(model, nowMs + RESUMED_LOAD_LEFT_MS, nowMs, isPredictable = false)
    }

    /**
     * Applies an entry of the platform's list. The list lags, so it can complete a load but not remove a model, and the
     * copies of recent loads are added to those that it lists. A difference that outlasts the lag requires a report.
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
        val isIdle = runningLoad == null && unloadingModel == null && outstandingOrder == null
        if (isIdle &&
            listed.models.keys != holdings.models.keys &&
            nowMs - changedAtMs > LIST_LAG_MS
        ) {
            needsReport = true
        }
    }

    /**
     * Takes over [load], which the last holder of the order duty announced, at [nowMs], and requires a report: the load
     * may have ended, and the holder may have sent further orders.
     */
    public fun inherit(load: AnnouncedLoad, nowMs: Long) {
        requireReport()
        val accepted = load.accepted
        if (accepted == null) {
            pendingLoad = PendingLoad(load.model, load.expectedAtMs)
        } else if (load.model !in holdings.models) {
            changedAtMs = nowMs
            runningLoad = RunningLoad(
                load.model,
                load.expectedAtMs,
                accepted.startedAtMs,
                isPredictable = !accepted.isFromStore,
                accepted.concurrentStoreLoads,
            )
        }
    }

    /** Requires a report before the next order. */
    public fun requireReport() {
        needsReport = true
    }

    private fun removeSupersededOrders() {
        unansweredOrders.removeAll { it.expected < holdings.orderCount }
    }

    internal companion object {
        /** Time that an engine needs to unload a model without runs, in milliseconds. */
        const val UNLOAD_MS = 50L

        /** Maximum lag of a report, in milliseconds, including a slow response. */
        const val REPORT_LAG_MS = 600L

        /**
         * Delay after its expected end before a load counts as done, in milliseconds: the network delay of an order.
         */
        const val LOAD_COMPLETION_DELAY_MS = 12L

        /** Time after the end of a load by which a report includes it, in milliseconds. */
        const val REPORT_AFTER_LOAD_MS = 250L

        /** Expected remaining time of a load that was completed too early, in milliseconds. */
        const val RESUMED_LOAD_LEFT_MS = 200L

        /** Delay before the next order after a conflict, in milliseconds. */
        const val CONFLICT_RETRY_MS = 40L

        /** Consecutive conflicts after which a report is read first. */
        const val MAX_CONFLICTS_WITHOUT_REPORT = 2

        /** Assumed time until an engine accepts orders when it is not known, in milliseconds: a typical run. */
        const val ASSUMED_BUSY_MS = 400L

        /** Maximum lag of the platform's list behind an engine, in milliseconds: two heartbeats and a read. */
        const val LIST_LAG_MS = 3_500L

        /** Multiple of its expected duration after which a load is not counted any more. */
        const val MAX_LOAD_OVERRUN = 3

        /** Time after which an unanswered order can no longer take effect, in milliseconds. */
        const val MAX_ORDER_DELAY_MS = 14_000L
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
