/*
 * The gateway's side of non-repeatable calls with an idempotency key. For each call it opens an attempt, asks a
 * coordinator of the key's partition to record the intent, and dispatches only when told that this attempt won and
 * only if the call's deadline has not passed. Each attempt is dispatched at most once in its life.
 *
 * An attempt that was never dispatched is abandoned in the stream, so that a repeated call may run. An attempt that was
 * dispatched is kept until its outcome is known to be in the stream, however long the log is down. Only the process
 * that opened an attempt may abandon it, and it does so either while it still knows that the attempt was not
 * dispatched, or when asked about an attempt of its own that it does not know: it forgets a dispatched attempt only
 * after its outcome was recorded, and an abandonment that follows an outcome has no effect.
 *
 * A call that finds another attempt of its key asks that attempt's gateway how it stands. When that gateway is gone or
 * does not answer, the outcome is unknown.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** A call that must not run twice. */
public data class NonIdempotentCall(
    val requestId: RequestId,
    val key: RequestKey,
    val fingerprint: RequestFingerprint,
    val deadlineMs: Long,
)

/** What is known about calls with the same key before the one that is answered. */
public enum class EarlierCalls(public val wireValue: String) {
    /** None has run or is running. */
    NONE("none"),

    /** One may have run. */
    UNKNOWN("unknown"),
}

/** What the caller is told. */
public sealed interface CallResult {
    /** What is known about the execution of the request. */
    public val status: ExecutionStatus

    /** The call was dispatched and ended with [outcome]. */
    public data class Ended(val outcome: StoredOutcome) : CallResult {
        override val status: ExecutionStatus get() = outcome.status
    }

    /** An earlier call with the same key ended with [outcome]. */
    public data class Replayed(val outcome: StoredOutcome) : CallResult {
        override val status: ExecutionStatus get() = outcome.status
    }

    /** An earlier call with the same key has not ended. */
    public data object StillRunning : CallResult {
        override val status: ExecutionStatus get() = ExecutionStatus.InProgress
    }

    /** An earlier call with the same key may or may not have run. */
    public data object OutcomeUnknown : CallResult {
        override val status: ExecutionStatus get() = ExecutionStatus.Unknown
    }

    /** This call did not run, for the reason [refusal]. */
    public data class Refused(val refusal: CallRefusal, val earlierCalls: EarlierCalls) : CallResult {
        override val status: ExecutionStatus get() = ExecutionStatus.NotRun
    }
}

/** What a gateway says about one of its attempts. */
@Serializable
public sealed interface AttemptState {
    /** The attempt has not ended. */
    @Serializable
    @SerialName("under_way")
    public data object InProgress : AttemptState

    /** The attempt ended. */
    @Serializable
    @SerialName("ended")
    public data class Ended(val outcome: StoredOutcome) : AttemptState

    /** The process that opened the attempt is gone. */
    @Serializable
    @SerialName("gone")
    public data object Gone : AttemptState
}

/** What happens to an executor. */
public sealed interface ExecutorEvent {
    /** A caller sent [call]. */
    public data class CallArrived(val call: NonIdempotentCall) : ExecutorEvent

    /** The caller of [requestId] waits no longer; a call that was not dispatched yet will not be. */
    public data class CallerDisconnected(val requestId: RequestId) : ExecutorEvent

    /** A coordinator answered. */
    public data class CoordinatorAnswered(val attemptId: AttemptId, val answer: CoordinatorAnswer) : ExecutorEvent

    /** The coordinator could not be reached. */
    public data class CoordinatorUnreachable(val attemptId: AttemptId) : ExecutorEvent

    /** The dispatched attempt ended. */
    public data class DispatchEnded(val attemptId: AttemptId, val outcome: StoredOutcome) : ExecutorEvent

    /** The gateway of [querierId] wants to know how [attemptId] stands. */
    public data class Queried(val querierId: AttemptId, val key: RequestKey, val attemptId: AttemptId) : ExecutorEvent

    /** The gateway that [querierId] asked answered. */
    public data class QueryAnswered(val querierId: AttemptId, val state: AttemptState) : ExecutorEvent

    /** Time passed. */
    public data object Tick : ExecutorEvent
}

/** What an executor wants done. */
public sealed interface ExecutorAction {
    /** Ask the coordinator at place [rank] of the partition of [key] to write [record] for [attemptId]. */
    public data class SubmitRecord(
        val attemptId: AttemptId,
        val key: RequestKey,
        val record: IntentRecord,
        val rank: Int,
    ) : ExecutorAction

    /** Dispatch the call; never asked twice for one attempt. */
    public data class Dispatch(val attemptId: AttemptId, val call: NonIdempotentCall) : ExecutorAction

    /** Answer the caller. */
    public data class RespondToCaller(val requestId: RequestId, val result: CallResult) : ExecutorAction

    /** Ask the gateway of [attemptId] how it stands. */
    public data class QueryAttempt(
        val querierId: AttemptId,
        val key: RequestKey,
        val attemptId: AttemptId,
    ) : ExecutorAction

    /** Tell the gateway of [querierId]. */
    public data class AnswerQuery(val querierId: AttemptId, val state: AttemptState) : ExecutorAction
}

/** Limits and times of an [IdempotentExecutor]. */
public data class ExecutorSettings(
    val grantTimeoutMs: Long = 2_000L,
    val queryTimeoutMs: Long = 2_000L,
    val submitBackoff: Backoff = Backoff(baseMs = 300L, maxMs = 10_000L),
    val maxStoredResponseBytes: Int = 1_024,
    val maxAttempts: Int = 10_000,
)

/** Runs the non-repeatable calls of one gateway process; not safe for use by several threads. */
public class IdempotentExecutor(
    private val incarnation: GatewayIncarnation,
    private val settings: ExecutorSettings = ExecutorSettings(),
    private val random: Random = Random.Default,
) {
    private sealed interface Phase {
        data class AwaitingGrant(val call: NonIdempotentCall, val arrivedAtMs: Long, val timeoutAtMs: Long) : Phase

        data class Dispatched(val call: NonIdempotentCall) : Phase

        data class Querying(val call: NonIdempotentCall, val timeoutAtMs: Long) : Phase

        data object Abandoning : Phase

        data class Recording(val outcome: StoredOutcome) : Phase
    }

    private class Attempt(
        val key: RequestKey,
        var phase: Phase,
        var record: IntentRecord?,
        var asks: Int = 0,
        var nextAskAtMs: Long = 0L,
    )

    private val attempts = LinkedHashMap<AttemptId, Attempt>()
    private var nextSequence = 0L
    private var actions = mutableListOf<ExecutorAction>()

    /** The number of attempts that are not yet settled in the stream. */
    public val openAttemptCount: Int get() = attempts.size

    /** Returns what to do after [event]. */
    public fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> {
        actions = mutableListOf()
        when (event) {
            is ExecutorEvent.CallArrived -> open(event.call, nowMs)
            is ExecutorEvent.CallerDisconnected -> callerLeft(event.requestId, nowMs)
            is ExecutorEvent.CoordinatorAnswered -> answered(event.attemptId, event.answer, nowMs)
            is ExecutorEvent.CoordinatorUnreachable -> attempts[event.attemptId]?.let { it.nextAskAtMs = nowMs }
            is ExecutorEvent.DispatchEnded -> dispatchEnded(event.attemptId, event.outcome, nowMs)
            is ExecutorEvent.Queried -> queried(event, nowMs)
            is ExecutorEvent.QueryAnswered -> queryAnswered(event.querierId, event.state)
            ExecutorEvent.Tick -> for (attemptId in attempts.keys.toList()) tick(attemptId, nowMs)
        }
        return actions
    }

    private fun open(call: NonIdempotentCall, nowMs: Long) {
        if (attempts.size >= settings.maxAttempts) {
            return answer(call, CallResult.Refused(CallRefusal.Overloaded(settings.maxAttempts), EarlierCalls.UNKNOWN))
        }
        val attemptId = AttemptId(incarnation, nextSequence++)
        val timeoutAtMs = minOf(call.deadlineMs, nowMs + settings.grantTimeoutMs)
        val attempt = Attempt(
            key = call.key,
            phase = Phase.AwaitingGrant(call, arrivedAtMs = nowMs, timeoutAtMs = timeoutAtMs),
            record = IntentRecord.Intent(call.key, call.fingerprint, attemptId),
        )
        attempts[attemptId] = attempt
        ask(attemptId, attempt, nowMs)
    }

    private fun callerLeft(requestId: RequestId, nowMs: Long) {
        val waiting = attempts.entries.firstOrNull {
            (it.value.phase as? Phase.AwaitingGrant)?.call?.requestId ==
                requestId
        }
        if (waiting != null) abandon(waiting.key, waiting.value, nowMs)
    }

    private fun ask(attemptId: AttemptId, attempt: Attempt, nowMs: Long) {
        val record = attempt.record ?: return
        actions += ExecutorAction.SubmitRecord(attemptId, attempt.key, record, rank = attempt.asks)
        attempt.asks++
        attempt.nextAskAtMs = nowMs + settings.submitBackoff.delayMs(attempt.asks, random)
    }

    private fun answered(attemptId: AttemptId, answer: CoordinatorAnswer, nowMs: Long) {
        val attempt = attempts[attemptId] ?: return
        val phase = attempt.phase
        when (answer) {
            CoordinatorAnswer.Granted ->
                if (phase is Phase.AwaitingGrant) granted(attemptId, attempt, phase, nowMs)
            is CoordinatorAnswer.AlreadyRecorded ->
                if (phase is Phase.AwaitingGrant) lost(attemptId, attempt, phase, answer, nowMs)
            is CoordinatorAnswer.Refused ->
                if (phase is Phase.AwaitingGrant) refused(attemptId, attempt, phase, answer, nowMs)
            CoordinatorAnswer.Confirmed ->
                if (phase is Phase.Abandoning || phase is Phase.Recording) attempts.remove(attemptId)
        }
    }

    private fun granted(attemptId: AttemptId, attempt: Attempt, phase: Phase.AwaitingGrant, nowMs: Long) {
        if (nowMs >= phase.timeoutAtMs) return timeOut(attemptId, attempt, phase, nowMs)
        attempt.phase = Phase.Dispatched(phase.call)
        attempt.record = null
        actions += ExecutorAction.Dispatch(attemptId, phase.call)
    }

    private fun lost(
        attemptId: AttemptId,
        attempt: Attempt,
        phase: Phase.AwaitingGrant,
        answer: CoordinatorAnswer.AlreadyRecorded,
        nowMs: Long,
    ) {
        if (answer.outcome != null) {
            attempts.remove(attemptId)
            return answer(phase.call, replay(answer.outcome))
        }
        attempt.phase = Phase.Querying(phase.call, timeoutAtMs = nowMs + settings.queryTimeoutMs)
        attempt.record = null
        actions += ExecutorAction.QueryAttempt(attemptId, attempt.key, answer.winner)
    }

    private fun refused(
        attemptId: AttemptId,
        attempt: Attempt,
        phase: Phase.AwaitingGrant,
        answer: CoordinatorAnswer.Refused,
        nowMs: Long,
    ) {
        answer(phase.call, CallResult.Refused(answer.refusal, earlierCallsOf(answer.refusal)))
        val isSettled = answer.refusal is CallRefusal.KeyConflict || answer.refusal is CallRefusal.AttemptAbandoned
        val isCertain = attempt.asks == 1 && !answer.mayBeRecorded
        if (isSettled || isCertain) attempts.remove(attemptId) else abandon(attemptId, attempt, nowMs)
    }

    /** A conflicting key belongs to another request, so no earlier call of this one is recorded. */
    private fun earlierCallsOf(refusal: CallRefusal): EarlierCalls =
        if (refusal is CallRefusal.KeyConflict) EarlierCalls.NONE else EarlierCalls.UNKNOWN

    private fun timeOut(attemptId: AttemptId, attempt: Attempt, phase: Phase.AwaitingGrant, nowMs: Long) {
        val refusal = CallRefusal.IntentTimedOut(waitedMs = nowMs - phase.arrivedAtMs)
        answer(phase.call, CallResult.Refused(refusal, EarlierCalls.UNKNOWN))
        abandon(attemptId, attempt, nowMs)
    }

    private fun abandon(attemptId: AttemptId, attempt: Attempt, nowMs: Long) {
        attempt.phase = Phase.Abandoning
        attempt.record = IntentRecord.Abandonment(attempt.key, attemptId)
        attempt.asks = 0
        ask(attemptId, attempt, nowMs)
    }

    private fun dispatchEnded(attemptId: AttemptId, outcome: StoredOutcome, nowMs: Long) {
        val attempt = attempts[attemptId] ?: return
        val phase = attempt.phase as? Phase.Dispatched ?: return
        if (outcome.status == ExecutionStatus.NotRun) {
            answer(phase.call, CallResult.Refused(CallRefusal.EndpointRefused, EarlierCalls.NONE))
            return abandon(attemptId, attempt, nowMs)
        }
        answer(phase.call, CallResult.Ended(outcome))
        val stored = bounded(outcome)
        attempt.phase = Phase.Recording(stored)
        attempt.record = IntentRecord.Outcome(attempt.key, attemptId, stored)
        attempt.asks = 0
        ask(attemptId, attempt, nowMs)
    }

    private fun bounded(outcome: StoredOutcome): StoredOutcome {
        val answer = outcome.response ?: return outcome
        return if (answer.body.size <= settings.maxStoredResponseBytes) outcome else outcome.copy(response = null)
    }

    private fun queried(query: ExecutorEvent.Queried, nowMs: Long) {
        val state = when {
            query.attemptId.executor != incarnation -> AttemptState.Gone
            else -> stateOf(query.attemptId, query.key, nowMs)
        }
        actions += ExecutorAction.AnswerQuery(query.querierId, state)
    }

    private fun stateOf(attemptId: AttemptId, key: RequestKey, nowMs: Long): AttemptState {
        val attempt = attempts[attemptId]
        val phase = attempt?.phase
        if (phase is Phase.Recording) return AttemptState.Ended(phase.outcome)
        if (attempt == null) abandonForgotten(attemptId, key, nowMs)
        return AttemptState.InProgress
    }

    private fun abandonForgotten(attemptId: AttemptId, key: RequestKey, nowMs: Long) {
        if (attempts.size >= settings.maxAttempts) return
        val attempt = Attempt(key, Phase.Abandoning, record = null)
        attempts[attemptId] = attempt
        abandon(attemptId, attempt, nowMs)
    }

    private fun queryAnswered(querierId: AttemptId, state: AttemptState) {
        val phase = attempts[querierId]?.phase as? Phase.Querying ?: return
        attempts.remove(querierId)
        when (state) {
            AttemptState.InProgress -> answer(phase.call, CallResult.StillRunning)
            AttemptState.Gone -> answer(phase.call, CallResult.OutcomeUnknown)
            is AttemptState.Ended -> answer(phase.call, replay(state.outcome))
        }
    }

    private fun replay(outcome: StoredOutcome): CallResult =
        if (outcome.status == ExecutionStatus.Unknown) CallResult.OutcomeUnknown else CallResult.Replayed(outcome)

    private fun tick(attemptId: AttemptId, nowMs: Long) {
        val attempt = attempts[attemptId] ?: return
        val phase = attempt.phase
        when {
            phase is Phase.AwaitingGrant && nowMs >= phase.timeoutAtMs -> timeOut(attemptId, attempt, phase, nowMs)
            phase is Phase.Querying && nowMs >= phase.timeoutAtMs -> queryAnswered(attemptId, AttemptState.Gone)
            nowMs >= attempt.nextAskAtMs -> ask(attemptId, attempt, nowMs)
        }
    }

    private fun answer(call: NonIdempotentCall, answer: CallResult) {
        actions += ExecutorAction.RespondToCaller(call.requestId, answer)
    }
}
