/*
 * Selects a replica for each request, and starts a load if no replica is ready.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.ModelSpec
import io.daisybend.kernel.EndpointId
import io.daisybend.scheduling.loads.LoadAction
import io.daisybend.scheduling.loads.LoadEvent
import io.daisybend.scheduling.loads.LoadKey
import io.daisybend.scheduling.loads.LoadWaiter
import io.daisybend.scheduling.loads.WeightSource
import io.daisybend.scheduling.replicas.ReplicaAction
import io.daisybend.scheduling.replicas.ReplicaEvent
import io.daisybend.scheduling.replicas.ReplicaState
import io.daisybend.scheduling.routing.ReplicaCandidate
import io.daisybend.scheduling.routing.RoutingRequest

internal class PlacementSimulator(private val context: RunContext) {
    private val loop = context.loop
    private val strategies = context.strategies
    private val costs = LoadCosts(context)
    private val directory = ReplicaDirectory(context)
    private var wakeAtMs = Long.MAX_VALUE

    lateinit var engineSimulator: EngineSimulator

    /** Routes [request] to a ready replica, joins a load in progress, or requests a new replica. */
    fun place(request: ActiveRequest) {
        val model = request.arrival.model
        if (directory.readyEndpoints(model).isEmpty()) markCold(request)
        val ready = directory.knownReadyEndpoints(request)
        when {
            ready.isNotEmpty() -> route(request, ready)
            else -> directory.knownLoadInProgress(request)?.let { joinLoad(request, it) } ?: requestReplica(request)
        }
    }

    fun tick() = handle(LoadEvent.Tick)

    fun publishReplicas() = directory.publish()

    fun review() {
        val unloads =
            strategies.replicas.handle(ReplicaEvent.ReviewDue(engineSimulator.endpointViews { true }), loop.nowMs)
        unloads.filterIsInstance<ReplicaAction.Unload>().forEach {
            context.counts.idleUnloads++
            context.engine(it.endpointId).unload(it.modelId, loop.nowMs)
        }
        observeWaits()
    }

    private fun observeWaits() {
        val waiting = context.requests.values.filter { it.endpointId != null && !it.isDispatched }
        for (model in waiting.map { it.arrival.model }.distinct()) {
            val waitMs =
                directory.readyEndpoints(model).minOfOrNull { engineSimulator.queue(it).expectedWaitMs } ?: continue
            val event = ReplicaEvent.WaitObserved(
                model.weights,
                waitMs,
                engineSimulator.endpointViews {
                    it.spec.pool == model.pool
                },
            )
            execute(strategies.replicas.handle(event, loop.nowMs), model, waiter = null)
        }
    }

    private fun markCold(request: ActiveRequest) {
        if (request.isCold) return
        request.isCold = true
        context.counts.coldRequests++
    }

    private fun route(request: ActiveRequest, ready: List<EndpointId>) {
        val arrival = request.arrival
        val routing = RoutingRequest(
            requestId = arrival.requestId,
            modelId = arrival.model.modelId,
            promptTokens = arrival.promptTokens,
            expectedTokens = arrival.reservedTokens,
            prefixHashes = arrival.prefixHashes,
        )
        val candidates = ready.map { ReplicaCandidate(it, context.site.costs.vmToVmDelayMs.toDouble()) }
        val chosen = checkNotNull(context.routers[request.vmIndex].route(routing, candidates, loop.nowMs))
        submit(request, chosen)
    }

    private fun submit(request: ActiveRequest, endpointId: EndpointId) {
        val modelId = request.arrival.model.modelId
        if (directory.stateAt(endpointId, modelId) != ReplicaState.READY) {
            directory.removePublished(endpointId, modelId)
            return place(request)
        }
        val engine = context.engine(endpointId)
        engine.acquire(modelId, loop.nowMs)
        val adapterId = request.arrival.adapterId
        if (adapterId == null || engine.hasAdapter(adapterId)) return engineSimulator.enqueue(request, endpointId)
        val key = LoadKey(endpointId, modelId, adapterId)
        val adapterLoadMs = context.site.costs.adapterLoadMs
        handle(LoadEvent.Requested(key, WeightSource.REMOTE, adapterLoadMs, request.toWaiter()))
    }

    private fun joinLoad(request: ActiveRequest, key: LoadKey) {
        if (directory.stateAt(key.endpointId, key.modelId) == ReplicaState.READY) return submit(request, key.endpointId)
        directory.recordOwnLoad(request.vmIndex, key)
        val source = context.engine(key.endpointId).sourceOf(key.modelId)
        handle(LoadEvent.Requested(key, source, costs.uncontendedLoadMs(key.modelId, source), request.toWaiter()))
    }

    private fun requestReplica(request: ActiveRequest) {
        val model = request.arrival.model
        val event =
            ReplicaEvent.ReplicaMissing(model.weights, engineSimulator.endpointViews { it.spec.pool == model.pool })
        execute(strategies.replicas.handle(event, loop.nowMs), model, request)
    }

    private fun execute(actions: List<ReplicaAction>, model: ModelSpec, waiter: ActiveRequest?) {
        for (action in actions) {
            when (action) {
                is ReplicaAction.Unload -> {
                    context.counts.evictions++
                    context.engine(action.endpointId).unload(action.modelId, loop.nowMs)
                }
                is ReplicaAction.Load -> load(action, model, waiter)
                is ReplicaAction.NoCapacity -> waiter?.let(::retryLater)
                is ReplicaAction.DrainAndUnload, is ReplicaAction.HoldRequests -> Unit
            }
        }
    }

    private fun load(action: ReplicaAction.Load, model: ModelSpec, waiter: ActiveRequest?) {
        val key = LoadKey(action.endpointId, model.modelId)
        if (directory.stateAt(key.endpointId, key.modelId) == null) reserve(key, model)
        if (waiter != null) return joinLoad(waiter, key)
        handle(LoadEvent.Requested(key, action.source, action.expectedLoadMs, waiter = null))
    }

    private fun reserve(key: LoadKey, model: ModelSpec) {
        if (directory.isLoadingAnywhere(model.modelId)) {
            context.counts.duplicateLoads++
        }
        context.engine(key.endpointId).reserve(model.weights, loop.nowMs)
    }

    private fun retryLater(request: ActiveRequest) {
        if (loop.nowMs > request.arrival.deadlineMs) return context.refuse(request)
        loop.after(NO_CAPACITY_RETRY_MS) { place(request) }
    }

    /** Executes all actions of one event before the next event, as the scheduler requires. */
    private fun handle(event: LoadEvent) {
        strategies.loads.handle(event, loop.nowMs).forEach(::execute)
    }

    private fun execute(action: LoadAction) {
        when (action) {
            is LoadAction.Start -> start(action)
            is LoadAction.Ready -> loop.after(0) { action.waiters.forEach { sendWaiter(it, action.key) } }
            is LoadAction.Reroute -> loop.after(0) { action.waiters.mapNotNull(::activeRequest).forEach(::place) }
            is LoadAction.Refuse -> refuse(action)
            is LoadAction.Cancel -> cancelLoad(action.key)
            is LoadAction.WakeAt -> scheduleWake(action.atMs)
        }
    }

    private fun start(action: LoadAction.Start) {
        val key = action.key
        if (key.adapterId == null) context.counts.loads++
        costs.load(key, action.source) { finishLoad(key) }
    }

    private fun finishLoad(key: LoadKey) {
        val engine = context.engine(key.endpointId)
        val adapterId = key.adapterId
        if (adapterId == null) engine.onLoaded(key.modelId, loop.nowMs) else engine.addAdapter(adapterId)
        handle(LoadEvent.Finished(key))
    }

    private fun sendWaiter(waiter: LoadWaiter, key: LoadKey) {
        val request = activeRequest(waiter) ?: return
        if (key.adapterId == null) submit(request, key.endpointId) else engineSimulator.enqueue(request, key.endpointId)
    }

    private fun refuse(action: LoadAction.Refuse) {
        val request = activeRequest(action.waiter) ?: return
        context.refuse(request)
    }

    /** Frees the memory reserved for a model load that is cancelled before it starts. */
    private fun cancelLoad(key: LoadKey) {
        if (key.adapterId != null) return
        context.engine(key.endpointId).unload(key.modelId, loop.nowMs)
    }

    private fun scheduleWake(atMs: Long) {
        if (wakeAtMs <= atMs && wakeAtMs > loop.nowMs) return
        wakeAtMs = atMs
        loop.at(atMs) {
            wakeAtMs = Long.MAX_VALUE
            handle(LoadEvent.Tick)
        }
    }

    private fun activeRequest(waiter: LoadWaiter): ActiveRequest? = context.requests[waiter.requestId]

    private companion object {
        const val NO_CAPACITY_RETRY_MS = 250L
    }
}

private fun ActiveRequest.toWaiter() = LoadWaiter(arrival.requestId, arrival.priorityClass, arrival.deadlineMs)
