/*
 * Holds one fair queue per endpoint. A request whose model is loaded queues here for one of the endpoint's slots. The
 * queues are striped by endpoint id, with one lock per stripe.
 */
package io.daisybend.daemon.scheduling

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.Priority
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import io.daisybend.scheduling.queue.FairQueue
import io.daisybend.scheduling.queue.FairQueueSettings
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.queue.QueuedRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay

internal class EndpointQueues(private val configuration: ConfigurationView, private val clock: MillisClock) {
    private class EndpointQueue(val queue: FairQueue) {
        val decisions = HashMap<RequestId, CompletableDeferred<QueueAction>>()
    }

    private class Stripe {
        val queues = HashMap<EndpointId, EndpointQueue>()
    }

    private val stripes = List(STRIPE_COUNT) { Stripe() }

    /** Waits for a slot of [endpoint]; fails when the queue is full or [request] cannot start before its deadline. */
    suspend fun acquireSlot(request: ModelRequest, endpoint: EndpointSpec): Result<Unit, RequestFailure> {
        val decision = CompletableDeferred<QueueAction>()
        enqueue(request, endpoint, decision)
        return try {
            decision.await().toResult()
        } catch (cancelled: CancellationException) {
            handle(endpoint.endpointId, QueueEvent.Cancelled(request.requestId))
            throw cancelled
        }
    }

    /** Releases the slot of [endpoint] that [request] holds. */
    fun releaseSlot(request: ModelRequest, endpoint: EndpointSpec): Unit =
        handle(endpoint.endpointId, QueueEvent.Finished(request.requestId, request.costTokens))

    /** Refuses requests that cannot start in time and reroutes those of leaving endpoints, until cancelled. */
    suspend fun runTicks() {
        while (true) {
            delay(TICK_INTERVAL_MS)
            stripes.flatMap { synchronized(it) { it.queues.keys.toList() } }.forEach { handle(it, tickEventFor(it)) }
        }
    }

    private fun tickEventFor(endpointId: EndpointId): QueueEvent {
        val isLeaving = configuration.current()?.acceptsNewWork(endpointId) == false
        return if (isLeaving) QueueEvent.EndpointLeft else QueueEvent.Tick
    }

    private fun enqueue(request: ModelRequest, endpoint: EndpointSpec, decision: CompletableDeferred<QueueAction>) {
        val stripe = stripeOf(endpoint.endpointId)
        synchronized(stripe) {
            val endpointQueue = stripe.queues.getOrPut(endpoint.endpointId) { newQueue(endpoint) }
            endpointQueue.decisions[request.requestId] = decision
        }
        handle(endpoint.endpointId, QueueEvent.Arrived(queuedRequest(request)))
    }

    private fun newQueue(endpoint: EndpointSpec) =
        EndpointQueue(FairQueue(FairQueueSettings(maxConcurrentRequests = endpoint.maxConcurrentRequests)))

    private fun handle(endpointId: EndpointId, event: QueueEvent) {
        val stripe = stripeOf(endpointId)
        synchronized(stripe) {
            val endpointQueue = stripe.queues[endpointId] ?: return
            if (event is QueueEvent.Cancelled) endpointQueue.decisions -= event.requestId
            endpointQueue.queue.handle(event, clock.nowMs()).forEach {
                endpointQueue.decisions.remove(it.requestId)?.complete(it)
            }
        }
    }

    private fun queuedRequest(request: ModelRequest) =
        QueuedRequest(
            requestId = request.requestId,
            teamId = request.caller.teamId,
            priorityClass = when (request.priority) {
                Priority.INTERACTIVE -> PriorityClass.INTERACTIVE
                Priority.BATCH -> PriorityClass.BATCH
            },
            costTokens = request.costTokens,
            deadlineMs = request.deadlineMs,
            shareWeight = configuration.current()?.team(request.caller.teamId)?.shareWeight ?: 1,
        )

    private fun stripeOf(endpointId: EndpointId) = stripes[Math.floorMod(endpointId.hashCode(), STRIPE_COUNT)]

    private companion object {
        const val STRIPE_COUNT = 16
        const val TICK_INTERVAL_MS = 100L
    }
}

private val ModelRequest.costTokens: Long get() = promptTokens + maxOutputTokens

private val QueueAction.requestId: RequestId
    get() = when (this) {
        is QueueAction.Dispatch -> request.requestId
        is QueueAction.Refuse -> request.requestId
        is QueueAction.Reroute -> request.requestId
    }

private fun QueueAction.toResult(): Result<Unit, RequestFailure> =
    when (this) {
        is QueueAction.Dispatch -> Ok(Unit)
        is QueueAction.Refuse -> Err(RequestFailure.Overloaded(refusal.message, refusal.retryAfterMs))
        is QueueAction.Reroute -> Err(RequestFailure.EndpointLeaving)
    }
