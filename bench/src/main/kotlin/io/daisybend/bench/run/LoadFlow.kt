/*
 * Finds a replica for a request, and gets one loaded when there is none.
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

internal class LoadFlow(private val context: RunContext) {
    private val loop = context.loop
    private val decisions = context.decisions
    private val costs = LoadCosts(context)
    private val replicas = ReplicaKnowledge(context)
    private var wakeAtMs = Long.MAX_VALUE

    lateinit var engineFlow: EngineFlow

    /** Sends [request] to a replica, to a load that it can share, or has a replica loaded. */
    fun place(request: ActiveRequest) {
        val model = request.arrival.model
        if (replicas.readyInTruth(model).isEmpty()) markCold(request)
        val ready = replicas.readyFor(request)
        when {
            ready.isNotEmpty() -> route(request, ready)
            else -> replicas.loadInProgress(request)?.let { join(request, it) } ?: propose(request)
        }
    }

    fun tick() = handle(LoadEvent.Tick)

    fun publishReplicas() = replicas.publish()

    fun review() {
        val unloads = decisions.replicas.handle(ReplicaEvent.ReviewDue(engineFlow.views { true }), loop.nowMs)
        unloads.filterIsInstance<ReplicaAction.Unload>().forEach {
            context.counts.idleUnloads++
            context.engine(it.endpointId).unload(it.modelId, loop.nowMs)
        }
        observeWaits()
    }

    private fun observeWaits() {
        val waiting = context.requests.values.filter { it.endpointId != null && !it.isDispatched }
        for (model in waiting.map { it.arrival.model }.distinct()) {
            val waitMs = replicas.readyInTruth(model).minOfOrNull { engineFlow.queue(it).expectedWaitMs } ?: continue
            val event = ReplicaEvent.WaitObserved(
                model.weights,
                waitMs,
                engineFlow.views {
                    it.spec.pool == model.pool
                },
            )
            carryOut(decisions.replicas.handle(event, loop.nowMs), model, waiter = null)
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
        val candidates = ready.map { ReplicaCandidate(it, context.site.costs.betweenVmsMs.toDouble()) }
        val chosen = checkNotNull(context.routers[request.vmIndex].route(routing, candidates, loop.nowMs))
        send(request, chosen)
    }

    private fun send(request: ActiveRequest, endpointId: EndpointId) {
        val modelId = request.arrival.model.modelId
        if (replicas.stateAt(endpointId, modelId) != ReplicaState.READY) {
            replicas.forget(endpointId, modelId)
            return place(request)
        }
        val engine = context.engine(endpointId)
        engine.use(modelId, loop.nowMs)
        val adapterId = request.arrival.adapterId
        if (adapterId == null || engine.hasAdapter(adapterId)) return engineFlow.enqueue(request, endpointId)
        val key = LoadKey(endpointId, modelId, adapterId)
        val adapterMs = context.site.costs.adapterLoadMs
        handle(LoadEvent.Requested(key, WeightSource.REMOTE, adapterMs, request.toWaiter()))
    }

    private fun join(request: ActiveRequest, key: LoadKey) {
        if (replicas.stateAt(key.endpointId, key.modelId) == ReplicaState.READY) return send(request, key.endpointId)
        replicas.remember(request.vmIndex, key)
        val source = context.engine(key.endpointId).sourceOf(key.modelId)
        handle(LoadEvent.Requested(key, source, costs.fullSpeedMs(key.modelId, source), request.toWaiter()))
    }

    private fun propose(request: ActiveRequest) {
        val model = request.arrival.model
        val event = ReplicaEvent.ReplicaMissing(model.weights, engineFlow.views { it.spec.pool == model.pool })
        carryOut(decisions.replicas.handle(event, loop.nowMs), model, request)
    }

    private fun carryOut(actions: List<ReplicaAction>, model: ModelSpec, waiter: ActiveRequest?) {
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
        if (replicas.stateAt(key.endpointId, key.modelId) == null) reserve(key, model)
        if (waiter != null) return join(waiter, key)
        handle(LoadEvent.Requested(key, action.source, action.expectedLoadMs, waiter = null))
    }

    private fun reserve(key: LoadKey, model: ModelSpec) {
        if (replicas.isLoadingAnywhere(model.modelId)) {
            context.counts.duplicateLoads++
        }
        context.engine(key.endpointId).reserve(model.weights, loop.nowMs)
    }

    private fun retryLater(request: ActiveRequest) {
        if (loop.nowMs > request.arrival.deadlineMs) return context.refuse(request)
        loop.after(NO_ROOM_RETRY_MS) { place(request) }
    }

    /** Carries out all actions of one event before the next event, as the scheduler requires. */
    private fun handle(event: LoadEvent) {
        decisions.loads.handle(event, loop.nowMs).forEach(::carryOut)
    }

    private fun carryOut(action: LoadAction) {
        when (action) {
            is LoadAction.Start -> start(action)
            is LoadAction.Ready -> loop.after(0) { action.waiters.forEach { sendWaiter(it, action.key) } }
            is LoadAction.Reroute -> loop.after(0) { action.waiters.mapNotNull(::activeRequest).forEach(::place) }
            is LoadAction.Refuse -> refuse(action)
            is LoadAction.Cancel -> drop(action.key)
            is LoadAction.WakeAt -> wakeAt(action.atMs)
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
        if (adapterId == null) engine.loaded(key.modelId, loop.nowMs) else engine.addAdapter(adapterId)
        handle(LoadEvent.Finished(key))
    }

    private fun sendWaiter(waiter: LoadWaiter, key: LoadKey) {
        val request = activeRequest(waiter) ?: return
        if (key.adapterId == null) send(request, key.endpointId) else engineFlow.enqueue(request, key.endpointId)
    }

    private fun refuse(action: LoadAction.Refuse) {
        val request = activeRequest(action.waiter) ?: return
        context.refuse(request)
    }

    /** Frees the memory of a load that will not start. */
    private fun drop(key: LoadKey) {
        if (key.adapterId != null) return
        context.engine(key.endpointId).unload(key.modelId, loop.nowMs)
    }

    private fun wakeAt(atMs: Long) {
        if (wakeAtMs <= atMs && wakeAtMs > loop.nowMs) return
        wakeAtMs = atMs
        loop.at(atMs) {
            wakeAtMs = Long.MAX_VALUE
            handle(LoadEvent.Tick)
        }
    }

    private fun activeRequest(waiter: LoadWaiter): ActiveRequest? = context.requests[waiter.requestId]

    private companion object {
        const val NO_ROOM_RETRY_MS = 250L
    }
}

private fun ActiveRequest.toWaiter() = LoadWaiter(arrival.requestId, arrival.priorityClass, arrival.deadlineMs)
