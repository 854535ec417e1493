/*
 * Feeds the gateway's state machine for non-repeatable calls from callers, peers and endpoints. A call that was
 * dispatched goes on when its caller leaves, so that its outcome is recorded.
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
    private class Waiting(val call: ServiceCall, val answer: CompletableDeferred<CallResult> = CompletableDeferred())

    private val lock = Any()
    private val executor = IdempotentExecutor(incarnation)
    private val coordinators = IntentCoordinators(incarnation, log, scope, clock, ::sendAnswer)
    private val waiting = ConcurrentHashMap<RequestId, Waiting>()

    /** Runs [call] at most once among all calls with [key]. */
    suspend fun run(call: ServiceCall, key: RequestKey, fingerprint: RequestFingerprint): CallResult {
        val entry = Waiting(call)
        waiting[call.requestId] = entry
        feed(ExecutorEvent.CallArrived(NonIdempotentCall(call.requestId, key, fingerprint, call.deadlineMs)))
        try {
            return entry.answer.await()
        } catch (left: CancellationException) {
            feed(ExecutorEvent.CallerDisconnected(call.requestId))
            throw left
        } finally {
            waiting.remove(call.requestId)
        }
    }

    /** Lets time pass until the scope ends. */
    suspend fun runTicks() {
        var nextKeepAtMs = clock.nowMs() + KEEP_INTERVAL_MS
        while (true) {
            delay(TICK_MS)
            feed(ExecutorEvent.Tick)
            coordinators.tick()
            if (clock.nowMs() >= nextKeepAtMs) {
                nextKeepAtMs = clock.nowMs() + KEEP_INTERVAL_MS
                coordinators.keep(partitionsOfThisVm())
            }
        }
    }

    private fun partitionsOfThisVm(): Set<Int> {
        val vms = liveVms()
        return (0 until INTENT_PARTITION_COUNT)
            .filter { firstByRendezvous(streamOf(it).name, vms) == incarnation.vmId }
            .toSet()
    }

    /** Waits until every outcome is recorded, for at most [timeoutMs]. */
    suspend fun awaitRecorded(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) {
            while (synchronized(lock) { executor.openAttemptCount } > 0) delay(TICK_MS)
        }
    }

    /** Takes in a message of a peer; bytes that are no message are ignored. */
    fun receive(payload: ByteArray) {
        decodeCbor(DispatchMessage.serializer(), payload).onSuccess { handle(it) }
    }

    private fun handle(message: DispatchMessage) {
        when (message) {
            is DispatchMessage.Record -> coordinators.request(message.partition, message.record)
            is DispatchMessage.Recorded -> feed(ExecutorEvent.CoordinatorAnswered(message.attemptId, message.answer))
            is DispatchMessage.Query -> feed(ExecutorEvent.Queried(message.asker, message.key, message.attemptId))
            is DispatchMessage.State -> feed(ExecutorEvent.QueryAnswered(message.asker, message.state))
        }
    }

    private fun feed(event: ExecutorEvent) {
        val actions = synchronized(lock) { executor.handle(event, clock.nowMs()) }
        actions.forEach { perform(it) }
    }

    private fun perform(action: ExecutorAction) {
        when (action) {
            is ExecutorAction.SubmitRecord -> scope.launch { ask(action) }
            is ExecutorAction.Dispatch -> dispatch(action)
            is ExecutorAction.RespondToCaller -> answer(action)
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

    private fun answer(action: ExecutorAction.RespondToCaller) {
        val kind = when (val answer = action.result) {
            is CallResult.Replayed -> "call-replayed"
            is CallResult.Refused -> "call-refused"
            is CallResult.Ended -> "call-${answer.status.wireValue}"
            CallResult.StillRunning -> "call-in-progress-elsewhere"
            CallResult.OutcomeUnknown -> "call-outcome-unknown"
        }
        val entry = waiting[action.requestId] ?: return
        timeline.record(kind, action.requestId, entry.call.caller?.teamId)
        entry.answer.complete(action.result)
    }

    private suspend fun ask(action: ExecutorAction.SubmitRecord) {
        val partition = partitionOf(action.key)
        val ranked = rankByRendezvous(streamOf(partition).name, liveVms().ifEmpty { listOf(incarnation.vmId) })
        val coordinator = ranked[action.rank % ranked.size]
        val arrived = send(coordinator, DispatchMessage.Record(partition, action.record))
        if (!arrived) feed(ExecutorEvent.CoordinatorUnreachable(action.attemptId))
    }

    private fun dispatch(action: ExecutorAction.Dispatch) {
        val call = waiting[action.call.requestId]?.call
        if (call == null) {
            feed(ExecutorEvent.DispatchEnded(action.attemptId, StoredOutcome(ExecutionStatus.NotRun)))
        } else {
            timeline.record("call-dispatched", call.requestId, call.caller?.teamId)
            scope.launch { feed(ExecutorEvent.DispatchEnded(action.attemptId, dispatch(call))) }
        }
    }

    private fun sendAnswer(attemptId: AttemptId, answer: CoordinatorAnswer) {
        scope.launch { send(attemptId.executor.vmId, DispatchMessage.Recorded(attemptId, answer)) }
    }

    private suspend fun send(to: VmId, message: DispatchMessage): Boolean {
        if (to != incarnation.vmId) return peers.send(to, encodeCbor(DispatchMessage.serializer(), message))
        handle(message)
        return true
    }

    private companion object {
        const val TICK_MS = 25L
        const val KEEP_INTERVAL_MS = 10_000L
    }
}
