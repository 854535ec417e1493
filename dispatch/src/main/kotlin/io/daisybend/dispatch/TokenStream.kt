/*
 * The streamed answer to one request, put together from one or several attempts. Every token carries its request, its
 * attempt and its index; only the next index of the current attempt reaches the caller, so nothing late, crossed,
 * repeated or missing does. The answer ends with exactly one finish or failure.
 *
 * An attempt that has been silent for too long is probed over a new connection. An engine that has generated nothing
 * further is waited for; one that has, or that does not say, is asked to resume after the last delivered token; one
 * that cannot be reached is replaced by another replica, which continues after the same token. Retries come out of a
 * budget and back off with jitter.
 *
 * Before the first token a slow attempt may be hedged by a second one on another replica; the first token decides.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import kotlin.random.Random

/** One generated token on its way to the caller. */
public data class StreamToken(
    val requestId: RequestId,
    val attempt: Int,
    val index: Int,
    val text: String,
    val finishReason: String? = null,
)

/** What a probe over a new connection found out. */
public sealed interface ProbeResult {
    /** The engine did not answer. */
    public data object Unreachable : ProbeResult

    /** The engine works; [generatedTokens] counts the tokens of the request where it says so. */
    public data class Alive(val generatedTokens: Int? = null) : ProbeResult
}

/** Where an attempt runs. */
public sealed interface StreamTarget {
    /** Any replica. */
    public data object AnyReplica : StreamTarget

    /** The engine of the earlier [attempt]. */
    public data class SameEngine(val attempt: Int) : StreamTarget

    /** A replica on another engine than that of the earlier [attempt], if there is one. */
    public data class OtherReplica(val attempt: Int) : StreamTarget
}

/** What happens to a stream. */
public sealed interface StreamEvent {
    /** The request may be sent. */
    public data object Started : StreamEvent

    /** A token came. */
    public data class TokenReceived(val token: StreamToken) : StreamEvent

    /** The engine of [attempt] said that it still works on it. */
    public data class HeartbeatReceived(val attempt: Int) : StreamEvent

    /** The connection of [attempt] ended without a finish; [status] says whether the engine may have run it. */
    public data class AttemptLost(val attempt: Int, val status: ExecutionStatus) : StreamEvent

    /** The probe of [attempt] ended. */
    public data class ProbeEnded(val attempt: Int, val result: ProbeResult) : StreamEvent

    /** The caller closed its connection. */
    public data object CallerDisconnected : StreamEvent

    /** Time passed. */
    public data object Tick : StreamEvent
}

/** What a stream wants done. */
public sealed interface StreamAction {
    /** Open [attempt] on a new connection and ask for the tokens from [fromIndex] on. */
    public data class Open(val attempt: Int, val target: StreamTarget, val fromIndex: Int) : StreamAction

    /** Close the connection of [attempt] and cancel it at its engine. */
    public data class Close(val attempt: Int) : StreamAction

    /** Ask the engine of [attempt] over a new connection how the request stands. */
    public data class Probe(val attempt: Int) : StreamAction

    /** Send the token to the caller. */
    public data class Deliver(val token: StreamToken) : StreamAction

    /** End the answer. */
    public data class Finish(val reason: String) : StreamAction

    /** End the answer with [failure]; [status] says whether the request ran. */
    public data class Fail(val failure: StreamFailure, val status: ExecutionStatus) : StreamAction
}

/** Limits and times of a [TokenStream]; [hedgeAfterMs] is null where requests are not hedged. */
public data class StreamSettings(
    val firstTokenTimeoutMs: Long = 5_000L,
    val inactivityTimeoutMs: Long = 1_000L,
    val probeTimeoutMs: Long = 500L,
    val maxAttemptsWithoutProgress: Int = 6,
    val attemptsBeforeReplicaSwitch: Int = 2,
    val hedgeAfterMs: Long? = null,
    val reopenBackoff: Backoff = Backoff(baseMs = 20L, maxMs = 2_000L),
)

/** Streams the answer to [requestId]; not safe for use by several threads. */
public class TokenStream(
    private val requestId: RequestId,
    private val deadlineMs: Long,
    private val retryPermit: RetryPermit,
    private val settings: StreamSettings = StreamSettings(),
    private val random: Random = Random.Default,
) {
    private class Attempt(val openedAtMs: Long) {
        var heardAtMs = openedAtMs
        var probedAtMs: Long? = null
    }

    private class Reopening(val atMs: Long, val target: StreamTarget)

    private val attempts = LinkedHashMap<Int, Attempt>()
    private var attemptCount = 0
    private var fruitlessAttempts = 0
    private var startedAtMs = 0L
    private var hedged = false
    private var mayHaveRun = false
    private var reopening: Reopening? = null
    private var actions = mutableListOf<StreamAction>()

    /** The index of the next token for the caller. */
    public var nextIndex: Int = 0
        private set

    /** Whether the answer has ended. */
    public var isEnded: Boolean = false
        private set

    /** Returns what to do after [event]; nothing happens after the end. */
    public fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> {
        if (isEnded) return emptyList()
        actions = mutableListOf()
        when (event) {
            StreamEvent.Started -> start(nowMs)
            is StreamEvent.TokenReceived -> tokenReceived(event.token, nowMs)
            is StreamEvent.HeartbeatReceived -> attempts[event.attempt]?.heard(nowMs)
            is StreamEvent.AttemptLost -> attemptLost(event, nowMs)
            is StreamEvent.ProbeEnded -> probed(event.attempt, event.result, nowMs)
            StreamEvent.CallerDisconnected -> end()
            StreamEvent.Tick -> tick(nowMs)
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

    private fun Attempt.heard(nowMs: Long) {
        heardAtMs = nowMs
        probedAtMs = null
    }

    private fun tokenReceived(token: StreamToken, nowMs: Long) {
        val attempt = attempts[token.attempt]
        if (token.requestId != requestId || attempt == null || nowMs >= deadlineMs) return
        attempt.heard(nowMs)
        when {
            token.index == nextIndex -> deliver(token)
            token.index > nextIndex -> replace(token.attempt, StreamTarget.SameEngine(token.attempt), nowMs)
        }
    }

    private fun deliver(token: StreamToken) {
        (attempts.keys - token.attempt).forEach { close(it) }
        reopening = null
        nextIndex++
        fruitlessAttempts = 0
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

    private fun attemptLost(event: StreamEvent.AttemptLost, nowMs: Long) {
        attempts.remove(event.attempt) ?: return
        if (event.status != ExecutionStatus.NotRun) mayHaveRun = true
        if (attempts.isNotEmpty()) return
        val neverReached = event.status == ExecutionStatus.NotRun
        val target = when {
            neverReached -> StreamTarget.OtherReplica(event.attempt)
            else -> StreamTarget.SameEngine(event.attempt)
        }
        reopen(target, nowMs)
    }

    private fun replace(attempt: Int, target: StreamTarget, nowMs: Long) {
        close(attempt)
        if (attempts.isEmpty()) reopen(target, nowMs)
    }

    private fun reopen(target: StreamTarget, nowMs: Long) {
        fruitlessAttempts++
        when {
            fruitlessAttempts >= settings.maxAttemptsWithoutProgress ->
                fail(StreamFailure.AttemptsExhausted(attemptCount, nextIndex))
            !retryPermit.tryAcquire() -> fail(StreamFailure.RetryBudgetExhausted(nextIndex))
            else -> {
                val delayMs = settings.reopenBackoff.delayMs(fruitlessAttempts, random)
                reopening = Reopening(nowMs + delayMs, settledOn(target))
            }
        }
    }

    /** An engine that was resumed without getting any further is left. */
    private fun settledOn(target: StreamTarget): StreamTarget =
        if (target is StreamTarget.SameEngine && fruitlessAttempts >= settings.attemptsBeforeReplicaSwitch) {
            StreamTarget.OtherReplica(target.attempt)
        } else {
            target
        }

    private fun probed(attempt: Int, result: ProbeResult, nowMs: Long) {
        val current = attempts[attempt] ?: return
        if (current.probedAtMs == null) return
        when (result) {
            ProbeResult.Unreachable -> replace(attempt, StreamTarget.OtherReplica(attempt), nowMs)
            is ProbeResult.Alive ->
                if (result.generatedTokens == nextIndex) {
                    current.heard(nowMs)
                } else {
                    replace(attempt, StreamTarget.SameEngine(attempt), nowMs)
                }
        }
    }

    private fun tick(nowMs: Long) {
        if (nowMs >= deadlineMs) return fail(StreamFailure.DeadlineExceeded(nextIndex))
        val due = reopening?.takeIf { nowMs >= it.atMs }
        if (due != null) {
            reopening = null
            open(due.target, nowMs)
        }
        for ((number, attempt) in attempts.entries.map { it.key to it.value }) checkSilence(number, attempt, nowMs)
        hedge(nowMs)
    }

    private fun checkSilence(number: Int, attempt: Attempt, nowMs: Long) {
        val probedAtMs = attempt.probedAtMs
        val limitMs = if (nextIndex == 0) settings.firstTokenTimeoutMs else settings.inactivityTimeoutMs
        when {
            isEnded || number !in attempts -> Unit
            probedAtMs == null && nowMs - attempt.heardAtMs >= limitMs -> {
                attempt.probedAtMs = nowMs
                actions += StreamAction.Probe(number)
            }
            probedAtMs != null && nowMs - probedAtMs >= settings.probeTimeoutMs ->
                probed(number, ProbeResult.Unreachable, nowMs)
        }
    }

    private fun hedge(nowMs: Long) {
        val afterMs = settings.hedgeAfterMs ?: return
        if (hedged || isEnded || nextIndex > 0) return
        if (nowMs - startedAtMs < afterMs || attempts.size != 1) return
        hedged = true
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
        reopening = null
        isEnded = true
    }
}
