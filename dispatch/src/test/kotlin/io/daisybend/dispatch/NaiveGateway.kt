/*
 * Defines gateways that each lack one safeguard: the log, the ban on retries after a write, or the correct use of
 * "not run". The tests use them to show that the checker detects the resulting faults.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.VmId

/** Keeps outcomes only in the memory of one VM and asks no coordinator. */
internal class MemoryOnlyGateway : Gateway {
    private val outcomes = mutableMapOf<RequestKey, StoredOutcome>()
    private val calls = mutableMapOf<AttemptId, NonIdempotentCall>()
    private var nextSequence = 0L

    override fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> =
        when (event) {
            is ExecutorEvent.CallArrived -> listOf(onCallArrived(event.call))
            is ExecutorEvent.DispatchEnded -> listOf(onDispatchEnded(calls.getValue(event.attemptId), event.outcome))
            else -> emptyList()
        }

    private fun onCallArrived(call: NonIdempotentCall): ExecutorAction {
        val stored = outcomes[call.key]
        if (stored != null) return ExecutorAction.RespondToCaller(call.requestId, CallResult.Replayed(stored))
        val attemptId = AttemptId(GatewayIncarnation(VmId("naive"), 0L), nextSequence++)
        calls[attemptId] = call
        return ExecutorAction.Dispatch(attemptId, call)
    }

    private fun onDispatchEnded(call: NonIdempotentCall, outcome: StoredOutcome): ExecutorAction {
        if (outcome.status == ExecutionStatus.NotRun) {
            val refusal = CallResult.Refused(CallRefusal.EndpointRefused, EarlierCalls.UNKNOWN)
            return ExecutorAction.RespondToCaller(call.requestId, refusal)
        }
        outcomes[call.key] = outcome
        return ExecutorAction.RespondToCaller(call.requestId, CallResult.Ended(outcome))
    }
}

/** Dispatches an attempt a second time if its first dispatch ended with unknown outcome. */
internal class RetryingGateway(private val executor: IdempotentExecutor) : Gateway {
    private val dispatches = mutableMapOf<AttemptId, ExecutorAction.Dispatch>()

    override fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> {
        if (event is ExecutorEvent.DispatchEnded && event.outcome.status == ExecutionStatus.Unknown) {
            dispatches.remove(event.attemptId)?.let { return listOf(it) }
        }
        val actions = executor.handle(event, nowMs)
        actions.filterIsInstance<ExecutorAction.Dispatch>().forEach { dispatches[it.attemptId] = it }
        return actions
    }
}

/** Reports a dispatch with unknown outcome as not run. */
internal class OptimisticGateway(private val executor: IdempotentExecutor) : Gateway {
    override fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> {
        val isOutcomeUnknown = event is ExecutorEvent.DispatchEnded && event.outcome.status == ExecutionStatus.Unknown
        if (!isOutcomeUnknown) return executor.handle(event, nowMs)
        val notRunEvent = (event as ExecutorEvent.DispatchEnded).copy(outcome = StoredOutcome(ExecutionStatus.NotRun))
        return executor.handle(notRunEvent, nowMs)
    }
}
