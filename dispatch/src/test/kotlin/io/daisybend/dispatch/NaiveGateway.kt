/*
 * Gateways with one mechanism switched off each: the log, the ban on retries, the truth of "not run".
 */
package io.daisybend.dispatch

import io.daisybend.kernel.VmId

/** Remembers outcomes in the memory of one VM and asks nobody. */
internal class MemoryOnlyGateway : Gateway {
    private val outcomes = mutableMapOf<RequestKey, StoredOutcome>()
    private val calls = mutableMapOf<AttemptId, NonIdempotentCall>()
    private var nextSequence = 0L

    override fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> =
        when (event) {
            is ExecutorEvent.CallArrived -> listOf(arrived(event.call))
            is ExecutorEvent.DispatchEnded -> listOf(ended(calls.getValue(event.attemptId), event.outcome))
            else -> emptyList()
        }

    private fun arrived(call: NonIdempotentCall): ExecutorAction {
        val known = outcomes[call.key]
        if (known != null) return ExecutorAction.RespondToCaller(call.requestId, CallResult.Replayed(known))
        val attemptId = AttemptId(GatewayIncarnation(VmId("naive"), 0L), nextSequence++)
        calls[attemptId] = call
        return ExecutorAction.Dispatch(attemptId, call)
    }

    private fun ended(call: NonIdempotentCall, outcome: StoredOutcome): ExecutorAction {
        if (outcome.status == ExecutionStatus.NotRun) {
            val refused = CallResult.Refused(CallRefusal.EndpointRefused, EarlierCalls.UNKNOWN)
            return ExecutorAction.RespondToCaller(call.requestId, refused)
        }
        outcomes[call.key] = outcome
        return ExecutorAction.RespondToCaller(call.requestId, CallResult.Ended(outcome))
    }
}

/** Dispatches once more when the connection of the first dispatch broke. */
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

/** Takes a broken connection for a call that did not run. */
internal class OptimisticGateway(private val executor: IdempotentExecutor) : Gateway {
    override fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> {
        val broken = event is ExecutorEvent.DispatchEnded && event.outcome.status == ExecutionStatus.Unknown
        if (!broken) return executor.handle(event, nowMs)
        val notRun = (event as ExecutorEvent.DispatchEnded).copy(outcome = StoredOutcome(ExecutionStatus.NotRun))
        return executor.handle(notRun, nowMs)
    }
}
