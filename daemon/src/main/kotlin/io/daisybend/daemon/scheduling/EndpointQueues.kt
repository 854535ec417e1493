/*
 * The fair queues of the endpoints that this VM sends to, in shards by endpoint, each under its own lock. A request
 * waits here, after its model is loaded, for one of the endpoint's slots.
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
    private class WaitingQueue(val queue: FairQueue) {
        val verdicts = HashMap<RequestId, CompletableDeferred<QueueAction>>()
    }

    private class Shard {
        val queues = HashMap<EndpointId, WaitingQueue>()
    }

    private val shards = List(SHARDS) { Shard() }

    /** Waits for a slot of [endpoint]; fails when the request would start after its deadline or the queue is full. */
    suspend fun acquireSlot(request: ModelRequest, endpoint: EndpointSpec): Result<Unit, RequestFailure> {
        val verdict = CompletableDeferred<QueueAction>()
        arrive(request, endpoint, verdict)
        return try {
            verdict.await().toResult()
        } catch (cancelled: CancellationException) {
            handle(endpoint.endpointId, QueueEvent.Cancelled(request.requestId))
            throw cancelled
        }
    }

    /** Gives the slot of [request] back. */
    fun releaseSlot(request: ModelRequest, endpoint: EndpointSpec): Unit =
        handle(endpoint.endpointId, QueueEvent.Finished(request.requestId, request.costTokens))

    /** Refuses what can no longer start in time and sends the queues of leaving endpoints away, until cancelled. */
    suspend fun runTicks() {
        while (true) {
            delay(TICK_MS)
            shards.flatMap { synchronized(it) { it.queues.keys.toList() } }.forEach { handle(it, tickOf(it)) }
        }
    }

    private fun tickOf(endpointId: EndpointId): QueueEvent {
        val isLeaving = configuration.current()?.acceptsNewWork(endpointId) == false
        return if (isLeaving) QueueEvent.EndpointLeft else QueueEvent.Tick
    }

    private fun arrive(request: ModelRequest, endpoint: EndpointSpec, verdict: CompletableDeferred<QueueAction>) {
        val shard = shardOf(endpoint.endpointId)
        synchronized(shard) {
            val waiting = shard.queues.getOrPut(endpoint.endpointId) { newQueue(endpoint) }
            waiting.verdicts[request.requestId] = verdict
        }
        handle(endpoint.endpointId, QueueEvent.Arrived(queued(request)))
    }

    private fun newQueue(endpoint: EndpointSpec) =
        WaitingQueue(FairQueue(FairQueueSettings(maxConcurrentRequests = endpoint.maxConcurrentRequests)))

    private fun handle(endpointId: EndpointId, event: QueueEvent) {
        val shard = shardOf(endpointId)
        synchronized(shard) {
            val waiting = shard.queues[endpointId] ?: return
            if (event is QueueEvent.Cancelled) waiting.verdicts -= event.requestId
            waiting.queue.handle(event, clock.nowMs()).forEach { waiting.verdicts.remove(it.requestId)?.complete(it) }
        }
    }

    private fun queued(request: ModelRequest) =
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

    private fun shardOf(endpointId: EndpointId) = shards[Math.floorMod(endpointId.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
        const val TICK_MS = 100L
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
