/*
 * Runs non-idempotent calls with an idempotency key at most once, on the gateway side. For each call the executor opens
 * an attempt and asks a coordinator of the key's partition to record the intent. It dispatches the call only if the
 * coordinator grants permission before the call's deadline. Each attempt is dispatched at most once.
 *
 * If an attempt is not dispatched and its intent may be in the stream, the executor records an abandonment so that a
 * repeated call may run. If an attempt is dispatched, the executor keeps it until the stream contains its outcome,
 * however long the log is unavailable. Only the process that opened an attempt may abandon it. It does so while it
 * still knows that the attempt was not dispatched, or when a gateway queries one of its attempts that it no longer has.
 * The latter is safe: a dispatched attempt is removed only after its outcome was recorded, and an abandonment that
 * follows an outcome has no effect.
 *
 * If another attempt already holds the key, the executor queries that attempt's gateway for its state. If the process
 * that opened it no longer runs, or its gateway does not answer in time, the outcome is unknown.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** A call that must not run more than once. */
public data class NonIdempotentCall(
    val requestId: RequestId,
    val key: RequestKey,
    val fingerprint: RequestFingerprint,
    val deadlineMs: Long,
)

/** Whether earlier calls with the same key may have run; callers receive [wireValue]. */
public enum class EarlierCalls(public val wireValue: String) {
    /** No earlier call has run or is running. */
    NONE("none"),

    /** An earlier call may have run. */
    UNKNOWN("unknown"),
}

/** The result that the caller receives. */
public sealed interface CallResult {
    /** The execution status that the caller receives. */
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

    /** It is unknown whether an earlier call with the same key ran. */
    public data object OutcomeUnknown : CallResult {
        override val status: ExecutionStatus get() = ExecutionStatus.Unknown
    }

    /** This call did not run because of [refusal]. */
    public data class Refused(val refusal: CallRefusal, val earlierCalls: EarlierCalls) : CallResult {
        override val status: ExecutionStatus get() = ExecutionStatus.NotRun
    }
}

/** The state of an attempt as its gateway reports it. */
@Serializable
public sealed interface AttemptState {
    /** The attempt has not ended, or its gateway no longer has it. */
    @Serializable
    @SerialName("under_way")
    public data object InProgress : AttemptState

    /** The attempt ended with [outcome]. */
    @Serializable
    @SerialName("ended")
    public data class Ended(val outcome: StoredOutcome) : AttemptState

    /** The process that opened the attempt no longer runs. */
    @Serializable
    @SerialName("gone")
    public data object Gone : AttemptState
}

/** An input of an [IdempotentExecutor]. */
public sealed interface ExecutorEvent {
    /** A caller sent [call]. */
    public data class CallArrived(val call: NonIdempotentCall) : ExecutorEvent

    /** The caller of [requestId] disconnected; its call is abandoned if it still awaits permission. */
    public data class CallerDisconnected(val requestId: RequestId) : ExecutorEvent

    /** A coordinator answered the record that was submitted for [attemptId]. */
    public data class CoordinatorAnswered(val attemptId: AttemptId, val answer: CoordinatorAnswer) : ExecutorEvent

    /** The coordinator was unreachable. */
    public data class CoordinatorUnreachable(val attemptId: AttemptId) : ExecutorEvent

    /** The dispatched attempt ended with [outcome]. */
    public data class DispatchEnded(val attemptId: AttemptId, val outcome: StoredOutcome) : ExecutorEvent

    /** The gateway of the attempt [querierId] asks for the state of [attemptId]. */
    public data class Queried(val querierId: AttemptId, val key: RequestKey, val attemptId: AttemptId) : ExecutorEvent

    /** The query of the attempt [querierId] was answered with [state]. */
    public data class QueryAnswered(val querierId: AttemptId, val state: AttemptState) : ExecutorEvent

    /** Periodic event that evaluates timeouts and retries. */
    public data object Tick : ExecutorEvent
}

/** An action that the gateway has to perform for an [IdempotentExecutor]. */
public sealed interface ExecutorAction {
    /** Submit [record] for [attemptId] to the coordinator with the given [rank] in the partition of [key]. */
    public data class SubmitRecord(
        val attemptId: AttemptId,
        val key: RequestKey,
        val record: IntentRecord,
        val rank: Int,
    ) : ExecutorAction

    /** Dispatch the call; emitted at most once per attempt. */
    public data class Dispatch(val attemptId: AttemptId, val call: NonIdempotentCall) : ExecutorAction

    /** Send [result] to the caller of [requestId]. */
    public data class RespondToCaller(val requestId: RequestId, val result: CallResult) : ExecutorAction

    /** Ask the gateway of [attemptId] for its state, on behalf of the attempt [querierId]. */
    public data class QueryAttempt(
        val querierId: AttemptId,
        val key: RequestKey,
        val attemptId: AttemptId,
    ) : ExecutorAction

    /** Send [state] to the gateway of the attempt [querierId]. */
    public data class AnswerQuery(val querierId: AttemptId, val state: AttemptState) : ExecutorAction
}

/** Timeouts and limits of an [IdempotentExecutor]. */
public data class ExecutorSettings(
    val grantTimeoutMs: Long = 2_000L,
    val queryTimeoutMs: Long = 2_000L,
    val submitBackoff: Backoff = Backoff(baseMs = 300L, maxMs = 10_000L),
    val maxStoredResponseBytes: Int = 1_024,
    val maxAttempts: Int = 10_000,
)

/** Runs the non-idempotent calls of one gateway process; not thread-safe. */
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
        var submissions: Int = 0,
        var nextSubmitAtMs: Long = 0L,
    )

    private val attempts = LinkedHashMap<AttemptId, Attempt>()
    private var nextSequence = 0L
    private var actions = mutableListOf<ExecutorAction>()

    /** The number of attempts that the executor still tracks, including those whose records are not confirmed. */
    public val openAttemptCount: Int get() = attempts.size

    /** Applies [event] and returns the resulting actions. */
    public fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction> {
        actions = mutableListOf()
        when (event) {
            is ExecutorEvent.CallArrived -> openAttempt(event.call, nowMs)
            is ExecutorEvent.CallerDisconnected -> onCallerDisconnected(event.requestId, nowMs)
            is ExecutorEvent.CoordinatorAnswered -> onCoordinatorAnswered(event.attemptId, event.answer, nowMs)
            is ExecutorEvent.CoordinatorUnreachable -> attempts[event.attemptId]?.let { it.nextSubmitAtMs = nowMs }
            is ExecutorEvent.DispatchEnded -> onDispatchEnded(event.attemptId, event.outcome, nowMs)
            is ExecutorEvent.Queried -> onQueried(event, nowMs)
            is ExecutorEvent.QueryAnswered -> onQueryAnswered(event.querierId, event.state)
            ExecutorEvent.Tick -> for (attemptId in attempts.keys.toList()) onTick(attemptId, nowMs)
        }
        return actions
    }

    private fun openAttempt(call: NonIdempotentCall, nowMs: Long) {
        if (attempts.size >= settings.maxAttempts) {
            return respond(call, CallResult.Refused(CallRefusal.Overloaded(settings.maxAttempts), EarlierCalls.UNKNOWN))
        }
        val attemptId = AttemptId(incarnation, nextSequence++)
        val timeoutAtMs = minOf(call.deadlineMs, nowMs + settings.grantTimeoutMs)
        val attempt = Attempt(
            key = call.key,
            phase = Phase.AwaitingGrant(call, arrivedAtMs = nowMs, timeoutAtMs = timeoutAtMs),
            record = IntentRecord.Intent(call.key, call.fingerprint, attemptId),
        )
        attempts[attemptId] = attempt
        submitRecord(attemptId, attempt, nowMs)
    }

    private fun onCallerDisconnected(requestId: RequestId, nowMs: Long) {
        val entry = attempts.entries.firstOrNull {
            (it.value.phase as? Phase.AwaitingGrant)?.call?.requestId ==
                requestId
        }
        if (entry != null) abandon(entry.key, entry.value, nowMs)
    }

    private fun submitRecord(attemptId: AttemptId, attempt: Attempt, nowMs: Long) {
        val record = attempt.record ?: return
        actions += ExecutorAction.SubmitRecord(attemptId, attempt.key, record, rank = attempt.submissions)
        attempt.submissions++
        attempt.nextSubmitAtMs = nowMs + settings.submitBackoff.delayMs(attempt.submissions, random)
    }

    private fun onCoordinatorAnswered(attemptId: AttemptId, answer: CoordinatorAnswer, nowMs: Long) {
        val attempt = attempts[attemptId] ?: return
        val phase = attempt.phase
        when (answer) {
            CoordinatorAnswer.Granted ->
                if (phase is Phase.AwaitingGrant) onGranted(attemptId, attempt, phase, nowMs)
            is CoordinatorAnswer.AlreadyRecorded ->
                if (phase is Phase.AwaitingGrant) onAlreadyRecorded(attemptId, attempt, phase, answer, nowMs)
            is CoordinatorAnswer.Refused ->
                if (phase is Phase.AwaitingGrant) onRefused(attemptId, attempt, phase, answer, nowMs)
            CoordinatorAnswer.Confirmed ->
                if (phase is Phase.Abandoning || phase is Phase.Recording) attempts.remove(attemptId)
        }
    }

    private fun onGranted(attemptId: AttemptId, attempt: Attempt, phase: Phase.AwaitingGrant, nowMs: Long) {
        if (nowMs >= phase.timeoutAtMs) return timeOut(attemptId, attempt, phase, nowMs)
        attempt.phase = Phase.Dispatched(phase.call)
        attempt.record = null
        actions += ExecutorAction.Dispatch(attemptId, phase.call)
    }

    private fun onAlreadyRecorded(
        attemptId: AttemptId,
        attempt: Attempt,
        phase: Phase.AwaitingGrant,
        answer: CoordinatorAnswer.AlreadyRecorded,
        nowMs: Long,
    ) {
        if (answer.outcome != null) {
            attempts.remove(attemptId)
            return respond(phase.call, replayOf(answer.outcome))
        }
        attempt.phase = Phase.Querying(phase.call, timeoutAtMs = nowMs + settings.queryTimeoutMs)
        attempt.record = null
        actions += ExecutorAction.QueryAttempt(attemptId, attempt.key, answer.winner)
    }

    private fun onRefused(
        attemptId: AttemptId,
        attempt: Attempt,
        phase: Phase.AwaitingGrant,
        answer: CoordinatorAnswer.Refused,
        nowMs: Long,
    ) {
        respond(phase.call, CallResult.Refused(answer.refusal, earlierCallsOf(answer.refusal)))
        val isIntentVoid = answer.refusal is CallRefusal.KeyConflict || answer.refusal is CallRefusal.AttemptAbandoned
        val isKnownUnrecorded = attempt.submissions == 1 && !answer.mayBeRecorded
        if (isIntentVoid || isKnownUnrecorded) attempts.remove(attemptId) else abandon(attemptId, attempt, nowMs)
    }

    /** A conflicting key was used for a different request, so no earlier call of this request is recorded. */
    private fun earlierCallsOf(refusal: CallRefusal): EarlierCalls =
        if (refusal is CallRefusal.KeyConflict) EarlierCalls.NONE else EarlierCalls.UNKNOWN

    private fun timeOut(attemptId: AttemptId, attempt: Attempt, phase: Phase.AwaitingGrant, nowMs: Long) {
        val refusal = CallRefusal.IntentTimedOut(waitedMs = nowMs - phase.arrivedAtMs)
        respond(phase.call, CallResult.Refused(refusal, EarlierCalls.UNKNOWN))
        abandon(attemptId, attempt, nowMs)
    }

    private fun abandon(attemptId: AttemptId, attempt: Attempt, nowMs: Long) {
        attempt.phase = Phase.Abandoning
        attempt.record = IntentRecord.Abandonment(attempt.key, attemptId)
        attempt.submissions = 0
        submitRecord(attemptId, attempt, nowMs)
    }

    private fun onDispatchEnded(attemptId: AttemptId, outcome: StoredOutcome, nowMs: Long) {
        val attempt = attempts[attemptId] ?: return
        val phase = attempt.phase as? Phase.Dispatched ?: return
        if (outcome.status == ExecutionStatus.NotRun) {
            respond(phase.call, CallResult.Refused(CallRefusal.EndpointRefused, EarlierCalls.NONE))
            return abandon(attemptId, attempt, nowMs)
        }
        respond(phase.call, CallResult.Ended(outcome))
        val storedOutcome = withoutLargeResponse(outcome)
        attempt.phase = Phase.Recording(storedOutcome)
        attempt.record = IntentRecord.Outcome(attempt.key, attemptId, storedOutcome)
        attempt.submissions = 0
        submitRecord(attemptId, attempt, nowMs)
    }

    private fun withoutLargeResponse(outcome: StoredOutcome): StoredOutcome {
        val response = outcome.response ?: return outcome
        return if (response.body.size <= settings.maxStoredResponseBytes) outcome else outcome.copy(response = null)
    }

    private fun onQueried(query: ExecutorEvent.Queried, nowMs: Long) {
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
        if (attempt == null) abandonUnknown(attemptId, key, nowMs)
        return AttemptState.InProgress
    }

    private fun abandonUnknown(attemptId: AttemptId, key: RequestKey, nowMs: Long) {
        if (attempts.size >= settings.maxAttempts) return
        val attempt = Attempt(key, Phase.Abandoning, record = null)
        attempts[attemptId] = attempt
        abandon(attemptId, attempt, nowMs)
    }

    private fun onQueryAnswered(querierId: AttemptId, state: AttemptState) {
        val phase = attempts[querierId]?.phase as? Phase.Querying ?: return
        attempts.remove(querierId)
        when (state) {
            AttemptState.InProgress -> respond(phase.call, CallResult.StillRunning)
            AttemptState.Gone -> respond(phase.call, CallResult.OutcomeUnknown)
            is AttemptState.Ended -> respond(phase.call, replayOf(state.outcome))
        }
    }

    private fun replayOf(outcome: StoredOutcome): CallResult =
        if (outcome.status == ExecutionStatus.Unknown) CallResult.OutcomeUnknown else CallResult.Replayed(outcome)

    private fun onTick(attemptId: AttemptId, nowMs: Long) {
        val attempt = attempts[attemptId] ?: return
        val phase = attempt.phase
        when {
            phase is Phase.AwaitingGrant && nowMs >= phase.timeoutAtMs -> timeOut(attemptId, attempt, phase, nowMs)
            phase is Phase.Querying && nowMs >= phase.timeoutAtMs -> onQueryAnswered(attemptId, AttemptState.Gone)
            nowMs >= attempt.nextSubmitAtMs -> submitRecord(attemptId, attempt, nowMs)
        }
    }

    private fun respond(call: NonIdempotentCall, result: CallResult) {
        actions += ExecutorAction.RespondToCaller(call.requestId, result)
    }
}
