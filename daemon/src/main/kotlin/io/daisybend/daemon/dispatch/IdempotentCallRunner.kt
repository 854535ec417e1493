/*
 * Drives the gateway's state machine for non-idempotent calls with events from callers, peers and endpoints. A
 * dispatched call continues after its caller disconnects, so that its outcome is recorded.
 */
package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.onSuccess
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.dispatch.AttemptId
import io.daisybend.dispatch.CallResult
import io.daisybend.dispatch.CoordinatorAnswer
import io.daisybend.dispatch.ExecutionStatus
import io.daisybend.dispatch.ExecutorAction
import io.daisybend.dispatch.ExecutorEvent
import io.daisybend.dispatch.GatewayIncarnation
import io.daisybend.dispatch.INTENT_PARTITION_COUNT
import io.daisybend.dispatch.IdempotentExecutor
import io.daisybend.dispatch.NonIdempotentCall
import io.daisybend.dispatch.RequestFingerprint
import io.daisybend.dispatch.RequestKey
import io.daisybend.dispatch.StoredOutcome
import io.daisybend.dispatch.partitionOf
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.daisybend.kernel.firstByRendezvous
import io.daisybend.kernel.rankByRendezvous
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

internal class IdempotentCallRunner(
    private val incarnation: GatewayIncarnation,
    log: PlatformLog,
    private val peers: DispatchPeers,
    private val liveVms: () -> List<VmId>,
    private val scope: CoroutineScope,
    private val clock: MillisClock,
    private val timeline: Timeline,
    private val dispatch: suspend (ServiceCall) -> StoredOutcome,
) {
    private class PendingCall(
        val call: ServiceCall,
        val result: CompletableDeferred<CallResult> = CompletableDeferred(),
    )

    private val lock = Any()
    private val executor = IdempotentExecutor(incarnation)
    private val coordinators = IntentCoordinators(incarnation, log, scope, clock, ::sendRecorded)
    private val pendingCalls = ConcurrentHashMap<RequestId, PendingCall>()

    /** Runs [call] at most once among all calls with [key]. */
    suspend fun run(call: ServiceCall, key: RequestKey, fingerprint: RequestFingerprint): CallResult {
        val pendingCall = PendingCall(call)
        pendingCalls[call.requestId] = pendingCall
        handleEvent(ExecutorEvent.CallArrived(NonIdempotentCall(call.requestId, key, fingerprint, call.deadlineMs)))
        try {
            return pendingCall.result.await()
        } catch (cancelled: CancellationException) {
            handleEvent(ExecutorEvent.CallerDisconnected(call.requestId))
            throw cancelled
        } finally {
            pendingCalls.remove(call.requestId)
        }
    }

    /** Sends periodic ticks and reviews the partitions that this VM coordinates, until cancelled. */
    suspend fun runTicks() {
        var nextReviewAtMs = clock.nowMs() + PARTITION_REVIEW_INTERVAL_MS
        while (true) {
            delay(TICK_INTERVAL_MS)
            handleEvent(ExecutorEvent.Tick)
            coordinators.tick()
            if (clock.nowMs() >= nextReviewAtMs) {
                nextReviewAtMs = clock.nowMs() + PARTITION_REVIEW_INTERVAL_MS
                coordinators.retainPartitions(primaryPartitions())
            }
        }
    }

    private fun primaryPartitions(): Set<Int> {
        val vms = liveVms()
        return (0 until INTENT_PARTITION_COUNT)
            .filter { firstByRendezvous(intentStream(it).name, vms) == incarnation.vmId }
            .toSet()
    }

    /** Waits at most [timeoutMs] until the outcome of every attempt is recorded. */
    suspend fun awaitRecorded(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) {
            while (synchronized(lock) { executor.openAttemptCount } > 0) delay(TICK_INTERVAL_MS)
        }
    }

    /** Handles a message of a peer; ignores malformed bytes. */
    fun receive(payload: ByteArray) {
        decodeCbor(DispatchMessage.serializer(), payload).onSuccess { handle(it) }
    }

    private fun handle(message: DispatchMessage) {
        when (message) {
            is DispatchMessage.Record -> coordinators.requestWrite(message.partition, message.record)
            is DispatchMessage.Recorded ->
                handleEvent(ExecutorEvent.CoordinatorAnswered(message.attemptId, message.answer))
            is DispatchMessage.Query ->
                handleEvent(ExecutorEvent.Queried(message.querierId, message.key, message.attemptId))
            is DispatchMessage.State -> handleEvent(ExecutorEvent.QueryAnswered(message.querierId, message.state))
        }
    }

    private fun handleEvent(event: ExecutorEvent) {
        val actions = synchronized(lock) { executor.handle(event, clock.nowMs()) }
        actions.forEach { perform(it) }
    }

    private fun perform(action: ExecutorAction) {
        when (action) {
            is ExecutorAction.SubmitRecord -> scope.launch { submitRecord(action) }
            is ExecutorAction.Dispatch -> dispatch(action)
            is ExecutorAction.RespondToCaller -> respondToCaller(action)
            is ExecutorAction.QueryAttempt -> {
                val query = DispatchMessage.Query(action.querierId, action.key, action.attemptId)
                scope.launch { send(action.attemptId.executor.vmId, query) }
            }
            is ExecutorAction.AnswerQuery -> {
                val state = DispatchMessage.State(action.querierId, action.state)
                scope.launch { send(action.querierId.executor.vmId, state) }
            }
        }
    }

    private fun respondToCaller(action: ExecutorAction.RespondToCaller) {
        val kind = when (val result = action.result) {
            is CallResult.Replayed -> "call-replayed"
            is CallResult.Refused -> "call-refused"
            is CallResult.Ended -> "call-${result.status.wireValue}"
            CallResult.StillRunning -> "call-in-progress-elsewhere"
            CallResult.OutcomeUnknown -> "call-outcome-unknown"
        }
        val pendingCall = pendingCalls[action.requestId] ?: return
        timeline.record(kind, action.requestId, pendingCall.call.caller?.teamId)
        pendingCall.result.complete(action.result)
    }

    private suspend fun submitRecord(action: ExecutorAction.SubmitRecord) {
        val partition = partitionOf(action.key)
        val rankedVms = rankByRendezvous(intentStream(partition).name, liveVms().ifEmpty { listOf(incarnation.vmId) })
        val coordinator = rankedVms[action.rank % rankedVms.size]
        val isDelivered = send(coordinator, DispatchMessage.Record(partition, action.record))
        if (!isDelivered) handleEvent(ExecutorEvent.CoordinatorUnreachable(action.attemptId))
    }

    private fun dispatch(action: ExecutorAction.Dispatch) {
        val call = pendingCalls[action.call.requestId]?.call
        if (call == null) {
            handleEvent(ExecutorEvent.DispatchEnded(action.attemptId, StoredOutcome(ExecutionStatus.NotRun)))
        } else {
            timeline.record("call-dispatched", call.requestId, call.caller?.teamId)
            scope.launch { handleEvent(ExecutorEvent.DispatchEnded(action.attemptId, dispatch(call))) }
        }
    }

    private fun sendRecorded(attemptId: AttemptId, answer: CoordinatorAnswer) {
        scope.launch { send(attemptId.executor.vmId, DispatchMessage.Recorded(attemptId, answer)) }
    }

    private suspend fun send(to: VmId, message: DispatchMessage): Boolean {
        if (to != incarnation.vmId) return peers.send(to, encodeCbor(DispatchMessage.serializer(), message))
        handle(message)
        return true
    }

    private companion object {
        const val TICK_INTERVAL_MS = 25L
        const val PARTITION_REVIEW_INTERVAL_MS = 10_000L
    }
}
