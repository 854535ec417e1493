/*
 * Simulates the queues of the endpoints and the execution of requests up to their last token.
 */
package io.daisybend.bench.run

import io.daisybend.bench.decisions.QueueStrategy
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.queue.QueuedRequest
import io.daisybend.scheduling.replicas.EndpointView
import io.daisybend.scheduling.routing.RouterEvent

internal class EngineSimulator(private val context: RunContext, private val reroute: (ActiveRequest) -> Unit) {
    private val loop = context.loop
    private val queues = HashMap<EndpointId, QueueStrategy>()

    init {
        context.engines.values.forEach { queues[it.spec.endpointId] = newQueue(it) }
    }

    fun queue(endpointId: EndpointId): QueueStrategy = queues.getValue(endpointId)

    /** Adds a request to the endpoint's queue; its replica is ready and already acquired for the request. */
    fun enqueue(request: ActiveRequest, endpointId: EndpointId) {
        request.endpointId = endpointId
        context.fairShare.onArrival(endpointId, request.arrival, loop.nowMs)
        handle(endpointId, QueueEvent.Arrived(toQueuedRequest(request)))
    }

    /** Returns the views of the engines that match [filter], as input for the replica strategy. */
    fun endpointViews(filter: (EngineState) -> Boolean): List<EndpointView> =
        context.engines.values.filter(filter).map { engine ->
            val needsLog = context.strategies.needsLogForLoads && !engine.spec.checksFencing
            engine.view(
                queue(engine.spec.endpointId).expectedWaitMs,
                acceptsOrders = context.isLogAvailable || !needsLog,
            )
        }

    fun tick() = queues.keys.toList().forEach { handle(it, QueueEvent.Tick) }

    fun reportLoads() {
        queues.forEach { (endpointId, queue) ->
            val report = RouterEvent.LoadReported(endpointId, queue.pendingTokens, loop.nowMs)
            loop.after(REPORT_LAG_MS) { context.routers.forEach { it.handle(report, loop.nowMs) } }
        }
    }

    /**
     * Replaces the endpoint's owner. The new queue receives the running requests; waiting requests are placed again
     * after the takeover delay.
     */
    fun loseOwner(endpointId: EndpointId) {
        queues[endpointId] = newQueue(context.engine(endpointId))
        val endpointRequests = context.requests.values.filter { it.endpointId == endpointId }
        val (running, waiting) = endpointRequests.partition { it.isDispatched }
        running.forEach { handle(endpointId, QueueEvent.RunningRequestFound(toQueuedRequest(it))) }
        waiting.forEach { request ->
            removeFromQueue(request, endpointId)
            loop.after(context.site.costs.ownerTakeoverMs) { if (isActive(request)) reroute(request) }
        }
    }

    private fun newQueue(engine: EngineState): QueueStrategy =
        context.strategies.newQueue(engine.spec.maxConcurrentRequests)

    private fun toQueuedRequest(request: ActiveRequest) =
        QueuedRequest(
            requestId = request.arrival.requestId,
            teamId = request.arrival.team.teamId,
            priorityClass = request.arrival.priorityClass,
            costTokens = request.arrival.reservedTokens,
            deadlineMs = request.arrival.deadlineMs,
            shareWeight = request.arrival.team.shareWeight,
        )

    private fun handle(endpointId: EndpointId, event: QueueEvent) {
        queue(endpointId).handle(event, loop.nowMs).forEach { execute(endpointId, it) }
    }

    private fun execute(endpointId: EndpointId, action: QueueAction) {
        when (action) {
            is QueueAction.Dispatch -> dispatch(activeRequest(action.request), endpointId)
            is QueueAction.Refuse -> {
                val request = activeRequest(action.request)
                removeFromQueue(request, endpointId)
                context.refuse(request)
            }
            is QueueAction.Reroute -> {
                val request = activeRequest(action.request)
                removeFromQueue(request, endpointId)
                reroute(request)
            }
        }
    }

    private fun removeFromQueue(request: ActiveRequest, endpointId: EndpointId) {
        context.fairShare.onRemoval(endpointId, request.arrival, loop.nowMs)
        context.engine(endpointId).release(request.arrival.model.modelId, loop.nowMs)
        request.endpointId = null
    }

    private fun dispatch(request: ActiveRequest, endpointId: EndpointId) {
        val arrival = request.arrival
        val engine = context.engine(endpointId)
        request.isDispatched = true
        context.fairShare.onDispatch(endpointId, arrival, loop.nowMs)
        val cachedBlocks = engine.cachedBlocks(arrival.prefixHashes)
        context.counts.cachedBlocks += cachedBlocks
        publishCacheChanges(endpointId, engine.cachePrefixes(arrival.prefixHashes))
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
        context.complete(request, arrival.usedTokens)
        context.routers[request.vmIndex].handle(RouterEvent.Finished(arrival.requestId), loop.nowMs)
        handle(endpointId, QueueEvent.Finished(arrival.requestId, arrival.usedTokens))
    }

    /** Sends cache events to all routers after a random delay. A lost event reaches none of them. */
    private fun publishCacheChanges(endpointId: EndpointId, changes: List<CacheChange>) {
        val delayMs = context.random.nextLong(MIN_CACHE_EVENT_DELAY_MS, MAX_CACHE_EVENT_DELAY_MS)
        val delivered = changes.filter { context.random.nextDouble() >= CACHE_EVENT_LOSS }
        loop.after(delayMs) {
            for (change in delivered) {
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
