/*
 * A request's way from the queue of an endpoint to its last token.
 */
package io.daisybend.bench.run

import io.daisybend.bench.decisions.QueueDecision
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.queue.QueuedRequest
import io.daisybend.scheduling.replicas.EndpointView
import io.daisybend.scheduling.routing.RouterEvent

internal class EngineFlow(private val context: RunContext, private val reroute: (ActiveRequest) -> Unit) {
    private val loop = context.loop
    private val queues = HashMap<EndpointId, QueueDecision>()

    init {
        context.engines.values.forEach { queues[it.spec.endpointId] = newQueue(it) }
    }

    fun queue(endpointId: EndpointId): QueueDecision = queues.getValue(endpointId)

    /** Puts a request whose replica is ready and in use into the endpoint's queue. */
    fun enqueue(request: ActiveRequest, endpointId: EndpointId) {
        request.endpointId = endpointId
        context.fairShare.arrived(endpointId, request.arrival, loop.nowMs)
        handle(endpointId, QueueEvent.Arrived(queued(request)))
    }

    /** Returns the state of the engines that pass [filter], as the replica policy is told it. */
    fun views(filter: (EngineState) -> Boolean): List<EndpointView> =
        context.engines.values.filter(filter).map { engine ->
            val needsLog = context.decisions.needsLogForLoads && !engine.spec.checksFencing
            engine.view(queue(engine.spec.endpointId).expectedWaitMs, acceptsOrders = context.isLogUp || !needsLog)
        }

    fun tick() = queues.keys.toList().forEach { handle(it, QueueEvent.Tick) }

    fun reportLoads() {
        queues.forEach { (endpointId, queue) ->
            val report = RouterEvent.LoadReported(endpointId, queue.pendingTokens, loop.nowMs)
            loop.after(REPORT_LAG_MS) { context.routers.forEach { it.handle(report, loop.nowMs) } }
        }
    }

    /** The endpoint's owner is lost: waiting requests are sent again once a new owner knows what runs. */
    fun loseOwner(endpointId: EndpointId) {
        queues[endpointId] = newQueue(context.engine(endpointId))
        val ofEndpoint = context.requests.values.filter { it.endpointId == endpointId }
        val (running, waiting) = ofEndpoint.partition { it.isDispatched }
        running.forEach { handle(endpointId, QueueEvent.RunningRequestFound(queued(it))) }
        waiting.forEach { request ->
            leave(request, endpointId)
            loop.after(context.site.costs.takeoverMs) { if (isActive(request)) reroute(request) }
        }
    }

    private fun newQueue(engine: EngineState): QueueDecision =
        context.decisions.newQueue(engine.spec.maxConcurrentRequests)

    private fun queued(request: ActiveRequest) =
        QueuedRequest(
            requestId = request.arrival.requestId,
            teamId = request.arrival.team.teamId,
            priorityClass = request.arrival.priorityClass,
            costTokens = request.arrival.reservedTokens,
            deadlineMs = request.arrival.deadlineMs,
            shareWeight = request.arrival.team.shareWeight,
        )

    private fun handle(endpointId: EndpointId, event: QueueEvent) {
        queue(endpointId).handle(event, loop.nowMs).forEach { carryOut(endpointId, it) }
    }

    private fun carryOut(endpointId: EndpointId, action: QueueAction) {
        when (action) {
            is QueueAction.Dispatch -> dispatch(activeRequest(action.request), endpointId)
            is QueueAction.Refuse -> {
                val request = activeRequest(action.request)
                leave(request, endpointId)
                context.refuse(request)
            }
            is QueueAction.Reroute -> {
                val request = activeRequest(action.request)
                leave(request, endpointId)
                reroute(request)
            }
        }
    }

    private fun leave(request: ActiveRequest, endpointId: EndpointId) {
        context.fairShare.left(endpointId, request.arrival, loop.nowMs)
        context.engine(endpointId).release(request.arrival.model.modelId, loop.nowMs)
        request.endpointId = null
    }

    private fun dispatch(request: ActiveRequest, endpointId: EndpointId) {
        val arrival = request.arrival
        val engine = context.engine(endpointId)
        request.isDispatched = true
        context.fairShare.dispatched(endpointId, arrival, loop.nowMs)
        val cachedBlocks = engine.cachedBlocks(arrival.prefixHashes)
        context.counts.cachedBlocks += cachedBlocks
        publish(endpointId, engine.cachePrefixes(arrival.prefixHashes))
        val prefillTokens = arrival.promptTokens - cachedBlocks * PREFIX_BLOCK_TOKENS
        val firstTokenMs = prefillTokens * 1_000L / context.site.costs.prefillTokensPerSecond
        loop.after(firstTokenMs) { recordFirstToken(request) }
        val decodeMs = arrival.outputTokens * context.site.costs.decodeMsPerToken
        loop.after(firstTokenMs + decodeMs) { finish(request, endpointId) }
    }

    private fun recordFirstToken(request: ActiveRequest) {
        val waitMs = loop.nowMs - request.arrival.atMs
        if (request.isCold) context.coldStartMs.recordValue(waitMs)
        when (request.arrival.priorityClass) {
            PriorityClass.INTERACTIVE -> context.interactiveFirstTokenMs.recordValue(waitMs)
            PriorityClass.BATCH -> context.batchFirstTokenMs.recordValue(waitMs)
        }
    }

    private fun finish(request: ActiveRequest, endpointId: EndpointId) {
        val arrival = request.arrival
        context.counts.served++
        context.engine(endpointId).release(arrival.model.modelId, loop.nowMs)
        context.end(request, arrival.usedTokens)
        context.routers[request.vmIndex].handle(RouterEvent.Finished(arrival.requestId), loop.nowMs)
        handle(endpointId, QueueEvent.Finished(arrival.requestId, arrival.usedTokens))
    }

    /** Sends cache events to every router, late; some get lost on the way to all of them. */
    private fun publish(endpointId: EndpointId, changes: List<CacheChange>) {
        val delayMs = context.random.nextLong(MIN_CACHE_EVENT_DELAY_MS, MAX_CACHE_EVENT_DELAY_MS)
        val arriving = changes.filter { context.random.nextDouble() >= CACHE_EVENT_LOSS }
        loop.after(delayMs) {
            for (change in arriving) {
                val event = RouterEvent.CacheChanged(endpointId, change.sequence, change.prefixHash, change.isCached)
                context.routers.forEach { it.handle(event, loop.nowMs) }
            }
        }
    }

    private fun activeRequest(queued: QueuedRequest): ActiveRequest = context.requests.getValue(queued.requestId)

    private fun isActive(request: ActiveRequest): Boolean = isActive(request.arrival.requestId)

    private fun isActive(requestId: RequestId): Boolean = requestId in context.requests

    private companion object {
        const val PREFIX_BLOCK_TOKENS = 256
        const val REPORT_LAG_MS = 500L
        const val MIN_CACHE_EVENT_DELAY_MS = 200L
        const val MAX_CACHE_EVENT_DELAY_MS = 2_000L
        const val CACHE_EVENT_LOSS = 0.02
    }
}
