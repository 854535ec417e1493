/*
 * Assembles the streamed response to one request from one or more attempts. Every token carries its request id, attempt
 * number and index, and only the next expected index of an open attempt is delivered, so the caller gets no late,
 * misrouted, duplicate or missing token. The response ends with exactly one finish or failure.
 *
 * An attempt that is inactive for too long is probed over a new connection. If its engine has generated no further
 * token, the stream keeps waiting; if the engine has, or does not report a count, the stream resumes there after the
 * last delivered token; if the engine is unreachable, the stream resumes on another replica. Reopened attempts consume
 * the retry budget and back off with jitter.
 *
 * Before the first token, a slow attempt may be hedged by a second attempt on another replica. The attempt that
 * delivers the first token wins and the other one is closed.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import kotlin.random.Random

/** One generated token of a streamed response. */
public data class StreamToken(
    val requestId: RequestId,
    val attempt: Int,
    val index: Int,
    val text: String,
    val finishReason: String? = null,
)

/** The result of probing an engine over a new connection. */
public sealed interface ProbeResult {
    /** The engine did not answer. */
    public data object Unreachable : ProbeResult

    /** The engine responded; [generatedTokens] is its token count for the request, or null if it reports none. */
    public data class Alive(val generatedTokens: Int? = null) : ProbeResult
}

/** Which replica an attempt runs on. */
public sealed interface StreamTarget {
    /** Any replica. */
    public data object AnyReplica : StreamTarget

    /** The engine of the earlier [attempt]. */
    public data class SameEngine(val attempt: Int) : StreamTarget

    /** A replica on another engine than that of the earlier [attempt], if there is one. */
    public data class OtherReplica(val attempt: Int) : StreamTarget
}

/** An input of a [TokenStream]. */
public sealed interface StreamEvent {
    /** The request may be sent. */
    public data object Started : StreamEvent

    /** An attempt produced a token. */
    public data class TokenReceived(val token: StreamToken) : StreamEvent

    /** The engine of [attempt] reported that it is still working on the request. */
    public data class HeartbeatReceived(val attempt: Int) : StreamEvent

    /** The connection of [attempt] closed before the last token; [status] tells whether the engine may have run it. */
    public data class AttemptLost(val attempt: Int, val status: ExecutionStatus) : StreamEvent

    /** The probe of the engine of [attempt] ended with [result]. */
    public data class ProbeEnded(val attempt: Int, val result: ProbeResult) : StreamEvent

    /** The caller closed its connection. */
    public data object CallerDisconnected : StreamEvent

    /** Periodic event that evaluates timeouts. */
    public data object Tick : StreamEvent
}

/** An action that the owner of a [TokenStream] has to perform. */
public sealed interface StreamAction {
    /** Open [attempt] on a new connection and request the tokens from index [fromIndex] on. */
    public data class Open(val attempt: Int, val target: StreamTarget, val fromIndex: Int) : StreamAction

    /** Close the connection of [attempt] and cancel the attempt on its engine. */
    public data class Close(val attempt: Int) : StreamAction

    /** Ask the engine of [attempt] for the state of the request, over a new connection. */
    public data class Probe(val attempt: Int) : StreamAction

    /** Send [token] to the caller. */
    public data class Deliver(val token: StreamToken) : StreamAction

    /** End the response normally. */
    public data class Finish(val reason: String) : StreamAction

    /** End the response with [failure]; [status] tells whether the request ran. */
    public data class Fail(val failure: StreamFailure, val status: ExecutionStatus) : StreamAction
}

/** Timeouts and limits of a [TokenStream]; a null [hedgeAfterMs] disables hedging. */
public data class StreamSettings(
    val firstTokenTimeoutMs: Long = 5_000L,
    val inactivityTimeoutMs: Long = 1_000L,
    val probeTimeoutMs: Long = 500L,
    val maxAttemptsWithoutProgress: Int = 6,
    val attemptsBeforeReplicaSwitch: Int = 2,
    val hedgeAfterMs: Long? = null,
    val reopenBackoff: Backoff = Backoff(baseMs = 20L, maxMs = 2_000L),
)

/** Streams the response to [requestId]; not thread-safe. */
public class TokenStream(
    private val requestId: RequestId,
    private val deadlineMs: Long,
    private val retryPermit: RetryPermit,
    private val settings: StreamSettings = StreamSettings(),
    private val random: Random = Random.Default,
) {
    private class Attempt(val openedAtMs: Long) {
        var lastActivityAtMs = openedAtMs
        var probedAtMs: Long? = null
    }

    private class PendingReopen(val atMs: Long, val target: StreamTarget)

    private val attempts = LinkedHashMap<Int, Attempt>()
    private var attemptCount = 0
    private var attemptsWithoutProgress = 0
    private var startedAtMs = 0L
    private var hasHedged = false
    private var mayHaveRun = false
    private var pendingReopen: PendingReopen? = null
    private var actions = mutableListOf<StreamAction>()

    /** The index of the next token to deliver. */
    public var nextIndex: Int = 0
        private set

    /** Whether the response has ended. */
    public var isEnded: Boolean = false
        private set

    /** Applies [event] and returns the resulting actions; returns none after the response has ended. */
    public fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> {
        if (isEnded) return emptyList()
        actions = mutableListOf()
        when (event) {
            StreamEvent.Started -> start(nowMs)
            is StreamEvent.TokenReceived -> onTokenReceived(event.token, nowMs)
            is StreamEvent.HeartbeatReceived -> attempts[event.attempt]?.recordActivity(nowMs)
            is StreamEvent.AttemptLost -> onAttemptLost(event, nowMs)
            is StreamEvent.ProbeEnded -> onProbeEnded(event.attempt, event.result, nowMs)
            StreamEvent.CallerDisconnected -> end()
            StreamEvent.Tick -> onTick(nowMs)
        }
        return actions
    }

    private fun start(nowMs: Long) {
        if (attemptCount > 0) return
        startedAtMs = nowMs
        open(StreamTarget.AnyReplica, nowMs)
    }

    private fun open(target: StreamTarget, nowMs: Long) {
        val attempt = attemptCount++
        attempts[attempt] = Attempt(nowMs)
        actions += StreamAction.Open(attempt, target, fromIndex = nextIndex)
    }

    private fun Attempt.recordActivity(nowMs: Long) {
        lastActivityAtMs = nowMs
        probedAtMs = null
    }

    private fun onTokenReceived(token: StreamToken, nowMs: Long) {
        val attempt = attempts[token.attempt]
        if (token.requestId != requestId || attempt == null || nowMs >= deadlineMs) return
        attempt.recordActivity(nowMs)
        when {
            token.index == nextIndex -> deliver(token)
            token.index > nextIndex -> closeAndReopen(token.attempt, StreamTarget.SameEngine(token.attempt), nowMs)
        }
    }

    private fun deliver(token: StreamToken) {
        (attempts.keys - token.attempt).forEach { close(it) }
        pendingReopen = null
        nextIndex++
        attemptsWithoutProgress = 0
        actions += StreamAction.Deliver(token)
        if (token.finishReason == null) return
        attempts.clear()
        isEnded = true
        actions += StreamAction.Finish(token.finishReason)
    }

    private fun close(attempt: Int) {
        attempts.remove(attempt) ?: return
        mayHaveRun = true
        actions += StreamAction.Close(attempt)
    }

    private fun onAttemptLost(event: StreamEvent.AttemptLost, nowMs: Long) {
        attempts.remove(event.attempt) ?: return
        if (event.status != ExecutionStatus.NotRun) mayHaveRun = true
        if (attempts.isNotEmpty()) return
        val didNotRun = event.status == ExecutionStatus.NotRun
        val target = when {
            didNotRun -> StreamTarget.OtherReplica(event.attempt)
            else -> StreamTarget.SameEngine(event.attempt)
        }
        reopen(target, nowMs)
    }

    private fun closeAndReopen(attempt: Int, target: StreamTarget, nowMs: Long) {
        close(attempt)
        if (attempts.isEmpty()) reopen(target, nowMs)
    }

    private fun reopen(target: StreamTarget, nowMs: Long) {
        attemptsWithoutProgress++
        when {
            attemptsWithoutProgress >= settings.maxAttemptsWithoutProgress ->
                fail(StreamFailure.AttemptsExhausted(attemptCount, nextIndex))
            !retryPermit.tryAcquire() -> fail(StreamFailure.RetryBudgetExhausted(nextIndex))
            else -> {
                val delayMs = settings.reopenBackoff.delayMs(attemptsWithoutProgress, random)
                pendingReopen = PendingReopen(nowMs + delayMs, switchReplicaIfStuck(target))
            }
        }
    }

    /** Switches to another replica after too many attempts in a row without progress on the same engine. */
    private fun switchReplicaIfStuck(target: StreamTarget): StreamTarget =
        if (target is StreamTarget.SameEngine && attemptsWithoutProgress >= settings.attemptsBeforeReplicaSwitch) {
            StreamTarget.OtherReplica(target.attempt)
        } else {
            target
        }

    private fun onProbeEnded(attempt: Int, result: ProbeResult, nowMs: Long) {
        val current = attempts[attempt] ?: return
        if (current.probedAtMs == null) return
        when (result) {
            ProbeResult.Unreachable -> closeAndReopen(attempt, StreamTarget.OtherReplica(attempt), nowMs)
            is ProbeResult.Alive ->
                if (result.generatedTokens == nextIndex) {
                    current.recordActivity(nowMs)
                } else {
                    closeAndReopen(attempt, StreamTarget.SameEngine(attempt), nowMs)
                }
        }
    }

    private fun onTick(nowMs: Long) {
        if (nowMs >= deadlineMs) return fail(StreamFailure.DeadlineExceeded(nextIndex))
        val dueReopen = pendingReopen?.takeIf { nowMs >= it.atMs }
        if (dueReopen != null) {
            pendingReopen = null
            open(dueReopen.target, nowMs)
        }
        for ((number, attempt) in attempts.entries.map { it.key to it.value }) checkInactivity(number, attempt, nowMs)
        hedge(nowMs)
    }

    private fun checkInactivity(attemptNumber: Int, attempt: Attempt, nowMs: Long) {
        val probedAtMs = attempt.probedAtMs
        val timeoutMs = if (nextIndex == 0) settings.firstTokenTimeoutMs else settings.inactivityTimeoutMs
        when {
            isEnded || attemptNumber !in attempts -> Unit
            probedAtMs == null && nowMs - attempt.lastActivityAtMs >= timeoutMs -> {
                attempt.probedAtMs = nowMs
                actions += StreamAction.Probe(attemptNumber)
            }
            probedAtMs != null && nowMs - probedAtMs >= settings.probeTimeoutMs ->
                onProbeEnded(attemptNumber, ProbeResult.Unreachable, nowMs)
        }
    }

    private fun hedge(nowMs: Long) {
        val delayMs = settings.hedgeAfterMs ?: return
        if (hasHedged || isEnded || nextIndex > 0) return
        if (nowMs - startedAtMs < delayMs || attempts.size != 1) return
        hasHedged = true
        if (retryPermit.tryAcquire()) open(StreamTarget.OtherReplica(attempts.keys.first()), nowMs)
    }

    private fun fail(failure: StreamFailure) {
        end()
        val status = when {
            nextIndex > 0 -> ExecutionStatus.Failed
            mayHaveRun -> ExecutionStatus.Unknown
            else -> ExecutionStatus.NotRun
        }
        actions += StreamAction.Fail(failure, status)
    }

    private fun end() {
        attempts.keys.toList().forEach { close(it) }
        pendingReopen = null
        isEnded = true
    }
}
