/*
 * Schedules the loads of one weight store. All requests that need the same weights on the same endpoint share one load.
 * Pending loads start in the order of their deadline, class and arrival. A batch load counts with its request time plus
 * batchAgingMs as its deadline, so it is eventually ordered before newer interactive loads. Remote model loads need a
 * store permit and adapter loads an adapter permit; models start loading from an endpoint's own memory or disk at once.
 */
package io.daisybend.scheduling.loads

import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import java.util.TreeSet

/** The limits on the loads of a weight store. */
public data class LoadSchedulerSettings(
    val loadsPerSecond: Double = 1.6,
    val maxConcurrentLoads: Int = 4,
    val startBurst: Int = 4,
    val maxConcurrentAdapters: Int = 32,
    val batchAgingMs: Long = 60_000,
    val permitTimeoutMs: Long = 120_000,
)

/** Decides which load starts next; not thread-safe. */
public class LoadScheduler(private val settings: LoadSchedulerSettings = LoadSchedulerSettings()) {
    private val loads = HashMap<LoadKey, Load>()
    private val keyByRequest = HashMap<RequestId, LoadKey>()
    private val pendingModels = TreeSet<Load>()
    private val pendingAdapters = TreeSet<Load>()
    private val modelPermits =
        LoadPermits(settings.loadsPerSecond, settings.maxConcurrentLoads, settings.startBurst)
    private val adapterPermits =
        LoadPermits(ADAPTER_STARTS_PER_SECOND, settings.maxConcurrentAdapters, settings.maxConcurrentAdapters)
    private var nextSequence = 0L

    /** The number of loads that wait for a permit. */
    public val pendingCount: Int get() = pendingModels.size + pendingAdapters.size

    /** The number of loads that hold a permit. */
    public val inFlightCount: Int get() = modelPermits.inFlight + adapterPermits.inFlight

    /**
     * Applies [event] at [nowMs] and returns the resulting actions, which have to be performed in order and before the
     * next event; ignores unknown keys and request ids.
     */
    public fun handle(event: LoadEvent, nowMs: Long): List<LoadAction> {
        val actions = ArrayList<LoadAction>(2)
        when (event) {
            is LoadEvent.Requested -> onRequested(event, nowMs, actions)
            is LoadEvent.Finished -> end(event.key) { actions += LoadAction.Ready(event.key, it) }
            is LoadEvent.Failed -> end(event.key) { actions += LoadAction.Reroute(event.key, it) }
            is LoadEvent.WaiterCancelled -> onWaiterLeft(event.requestId, actions)
            LoadEvent.Tick -> refuseExpired(nowMs, actions)
        }
        modelPermits.expire(nowMs)
        adapterPermits.expire(nowMs)
        startAll(pendingModels, modelPermits, nowMs, actions)
        startAll(pendingAdapters, adapterPermits, nowMs, actions)
        return actions
    }

    private fun onRequested(event: LoadEvent.Requested, nowMs: Long, actions: MutableList<LoadAction>) {
        val waiter = event.waiter
        if (waiter != null && waiter.requestId in keyByRequest) return
        if (waiter != null && refuseIfUnreachable(event, waiter, nowMs, actions)) return
        val existing = loads[event.key]
        val load = existing ?: Load(event, nextSequence++, nowMs).also { loads[event.key] = it }
        reorder(load) { if (waiter != null) load.waiters[waiter.requestId] = waiter }
        if (waiter != null) keyByRequest[waiter.requestId] = event.key
        if (existing == null) enqueue(load, nowMs, actions)
    }

    private fun refuseIfUnreachable(
        event: LoadEvent.Requested,
        waiter: LoadWaiter,
        nowMs: Long,
        actions: MutableList<LoadAction>,
    ): Boolean {
        val remainingMs = waiter.deadlineMs - nowMs
        val expectedWaitMs = expectedWaitMs(event, waiter, nowMs)
        if (expectedWaitMs <= remainingMs) return false
        actions += LoadAction.Refuse(waiter, deadlineUnreachable(expectedWaitMs, remainingMs))
        if (event.key !in loads) actions += LoadAction.Cancel(event.key)
        return true
    }

    private fun enqueue(load: Load, nowMs: Long, actions: MutableList<LoadAction>) {
        when {
            load.key.adapterId != null -> pendingAdapters += load
            load.source == WeightSource.REMOTE -> pendingModels += load
            else -> start(load, nowMs, actions)
        }
    }

    private fun start(load: Load, nowMs: Long, actions: MutableList<LoadAction>) {
        load.startedAtMs = nowMs
        actions += LoadAction.Start(load.key, load.source)
    }

    private fun startAll(
        pending: TreeSet<Load>,
        permits: LoadPermits,
        nowMs: Long,
        actions: MutableList<LoadAction>,
    ) {
        while (pending.isNotEmpty()) {
            val next = pending.first()
            val expiresAtMs = nowMs + maxOf(settings.permitTimeoutMs, 2 * next.expectedLoadMs)
            if (!permits.tryAcquire(next.key, expiresAtMs, nowMs)) break
            pending -= next
            start(next, nowMs, actions)
        }
        if (pending.isNotEmpty()) permits.nextStartAtMs(nowMs)?.let { actions += LoadAction.WakeAt(it) }
    }

    private inline fun end(key: LoadKey, onEnded: (List<LoadWaiter>) -> Unit) {
        val load = loads.remove(key) ?: return
        pendingModels -= load
        pendingAdapters -= load
        modelPermits.release(key)
        adapterPermits.release(key)
        val waiters = load.waiters.values.sortedBy { it.deadlineMs }
        waiters.forEach { keyByRequest -= it.requestId }
        onEnded(waiters)
    }

    private fun onWaiterLeft(requestId: RequestId, actions: MutableList<LoadAction>) {
        val load = loads[keyByRequest.remove(requestId)] ?: return
        reorder(load) { load.waiters -= requestId }
        if (load.waiters.isEmpty() && load.startedAtMs == null) end(load.key) { actions += LoadAction.Cancel(load.key) }
    }

    private fun refuseExpired(nowMs: Long, actions: MutableList<LoadAction>) {
        val expired = loads.values.sortedBy { it.sequence }
            .flatMap { load -> load.waiters.values.filter { it.deadlineMs < nowMs + load.remainingMs(nowMs) } }
        expired.forEach { waiter ->
            val load = loads.getValue(keyByRequest.getValue(waiter.requestId))
            val refusal = deadlineUnreachable(load.remainingMs(nowMs), waiter.deadlineMs - nowMs)
            onWaiterLeft(waiter.requestId, actions)
            actions += LoadAction.Refuse(waiter, refusal)
        }
    }

    private fun expectedWaitMs(event: LoadEvent.Requested, waiter: LoadWaiter, nowMs: Long): Long {
        loads[event.key]?.startedAtMs?.let { return maxOf(0L, it + event.expectedLoadMs - nowMs) }
        if (event.key.adapterId != null || event.source != WeightSource.REMOTE) return event.expectedLoadMs
        val candidate = Load(event, Long.MAX_VALUE, nowMs)
        candidate.waiters[waiter.requestId] = waiter
        candidate.refreshOrder(settings.batchAgingMs)
        val loadsAhead = pendingModels.headSet(candidate).filter { it.key != event.key }
        val runningLoads = loads.values.filter { it.startedAtMs != null && it.source == WeightSource.REMOTE }
        val loadWorkMs = loadsAhead.sumOf { it.expectedLoadMs } + runningLoads.sumOf { it.remainingMs(nowMs) }
        val startDelayMs = loadsAhead.size * MILLIS_PER_SECOND / settings.loadsPerSecond
        return maxOf(startDelayMs.toLong(), loadWorkMs / settings.maxConcurrentLoads) + event.expectedLoadMs
    }

    private fun deadlineUnreachable(expectedWaitMs: Long, remainingMs: Long) =
        LoadRefusal.DeadlineUnreachable(
            expectedWaitMs = expectedWaitMs,
            remainingMs = remainingMs,
            retryAfterMs = maxOf(MIN_RETRY_AFTER_MS, expectedWaitMs),
        )

    /** Applies [change] to [load] and refreshes its order while it is removed from the sorted set. */
    private inline fun reorder(load: Load, change: () -> Unit) {
        val pendingSet = listOf(pendingModels, pendingAdapters).firstOrNull { it.remove(load) }
        change()
        load.refreshOrder(settings.batchAgingMs)
        pendingSet?.add(load)
    }

    private class Load(event: LoadEvent.Requested, val sequence: Long, val requestedAtMs: Long) : Comparable<Load> {
        val key: LoadKey = event.key
        val source: WeightSource = event.source
        val expectedLoadMs: Long = event.expectedLoadMs
        val waiters = LinkedHashMap<RequestId, LoadWaiter>()
        var startedAtMs: Long? = null
        private var orderClass = PriorityClass.BATCH
        private var orderDeadlineMs = Long.MAX_VALUE

        /** Orders an interactive load by its earliest deadline and a batch load by its request time plus the aging. */
        fun refreshOrder(batchAgingMs: Long) {
            orderClass = waiters.values.minOfOrNull { it.priorityClass } ?: PriorityClass.BATCH
            val deadlineMs = waiters.values.filter { it.priorityClass == orderClass }.minOfOrNull { it.deadlineMs }
            orderDeadlineMs = when (orderClass) {
                PriorityClass.INTERACTIVE -> deadlineMs ?: Long.MAX_VALUE
                PriorityClass.BATCH -> requestedAtMs + batchAgingMs
            }
        }

        fun remainingMs(nowMs: Long): Long =
            startedAtMs?.let { maxOf(0L, it + expectedLoadMs - nowMs) } ?: expectedLoadMs

        override fun compareTo(other: Load): Int =
            compareValuesBy(this, other, { it.orderDeadlineMs }, { it.orderClass }, { it.sequence })
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MIN_RETRY_AFTER_MS = 1_000L
        const val ADAPTER_STARTS_PER_SECOND = 100_000.0
    }
}
