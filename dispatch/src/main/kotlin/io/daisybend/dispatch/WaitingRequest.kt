/*
 * A request that waits for its turn at an endpoint. The gateway that took the request keeps it; the owner of the
 * endpoint holds only a place in its queue, which may vanish with the owner. The gateway therefore asks again when the
 * owner is not heard of, changes, or answers that it does not know the request, and refuses the request in time when
 * the deadline comes. A turn that is granted too late or twice is given back, so that no slot stays taken.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure
import kotlin.random.Random

/** Why a waiting request was refused; it did not run. */
public sealed interface WaitRefusal : Failure {
    /** The deadline came first. */
    public data class DeadlineExceeded(val waitedMs: Long) : WaitRefusal {
        override val message: String = "expected a turn before the deadline, waited $waitedMs ms"
    }

    /** The owner expects a turn only at [expectedAtMs], after the deadline. */
    public data class TooLongQueue(val expectedAtMs: Long, val deadlineMs: Long) : WaitRefusal {
        override val message: String = "expected a turn before $deadlineMs ms, the queue gives one at $expectedAtMs ms"
    }

    /** The owner refused, with [reason]. */
    public data class RefusedByOwner(val reason: Failure) : WaitRefusal {
        override val message: String = reason.message
    }
}

/** What happens to a waiting request. */
public sealed interface WaitEvent {
    /** The request came. */
    public data object Arrived : WaitEvent

    /** The owner has queued the request; [expectedAtMs] is when it expects to serve it, if it knows. */
    public data class Queued(val ask: Int, val expectedAtMs: Long?) : WaitEvent

    /** The owner grants a turn at [endpointId]. */
    public data class Granted(val ask: Int, val endpointId: EndpointId) : WaitEvent

    /** The owner refuses for good. */
    public data class Refused(val ask: Int, val reason: Failure) : WaitEvent

    /** The owner could not be reached, or says that it is not the owner. */
    public data class OwnerLost(val ask: Int) : WaitEvent

    /** Another VM owns the endpoint now. */
    public data object OwnerChanged : WaitEvent

    /** Time passed. */
    public data object Tick : WaitEvent
}

/** What a waiting request wants done. */
public sealed interface WaitAction {
    /** Ask the current owner for a turn; [ask] numbers the question. */
    public data class AskOwner(val ask: Int) : WaitAction

    /** Run the request at [endpointId]. */
    public data class Serve(val endpointId: EndpointId) : WaitAction

    /** Give the turn of question [ask] at [endpointId] back. */
    public data class GiveBack(val ask: Int, val endpointId: EndpointId) : WaitAction

    /** Leave the queue that question [ask] entered. */
    public data class LeaveQueue(val ask: Int) : WaitAction

    /** Refuse the request; it did not run. */
    public data class Refuse(val refusal: WaitRefusal) : WaitAction
}

/** Times of a [WaitingRequest]. */
public data class WaitSettings(
    val ownerSilenceMs: Long = 1_000L,
    val submitBackoff: Backoff = Backoff(baseMs = 50L, maxMs = 2_000L),
)

/** Waits for a turn until [deadlineMs]; not safe for use by several threads. */
public class WaitingRequest(
    private val deadlineMs: Long,
    private val settings: WaitSettings = WaitSettings(),
    private val random: Random = Random.Default,
) {
    private var asks = 0
    private var failures = 0
    private var arrivedAtMs = 0L
    private var askAgainAtMs = 0L
    private var servedAsk: Int? = null
    private var actions = mutableListOf<WaitAction>()

    /** Whether the request was served or refused. */
    public var isEnded: Boolean = false
        private set

    /** Returns what to do after [event]. */
    public fun handle(event: WaitEvent, nowMs: Long): List<WaitAction> {
        actions = mutableListOf()
        when (event) {
            is WaitEvent.Granted -> granted(event, nowMs)
            else -> if (!isEnded) handleOpen(event, nowMs)
        }
        return actions
    }

    private fun handleOpen(event: WaitEvent, nowMs: Long) {
        when (event) {
            WaitEvent.Arrived -> arrive(nowMs)
            is WaitEvent.Queued -> if (isCurrent(event.ask)) queued(event.expectedAtMs, nowMs)
            is WaitEvent.Refused -> if (isCurrent(event.ask)) refuse(WaitRefusal.RefusedByOwner(event.reason))
            is WaitEvent.OwnerLost -> if (isCurrent(event.ask)) retryLater(nowMs)
            WaitEvent.OwnerChanged -> if (asks > 0) ask(nowMs)
            WaitEvent.Tick -> tick(nowMs)
            is WaitEvent.Granted -> Unit
        }
    }

    private fun isCurrent(ask: Int): Boolean = ask == asks - 1

    private fun arrive(nowMs: Long) {
        if (asks > 0) return
        arrivedAtMs = nowMs
        ask(nowMs)
    }

    private fun ask(nowMs: Long) {
        if (asks > 0) actions += WaitAction.LeaveQueue(asks - 1)
        actions += WaitAction.AskOwner(asks++)
        askAgainAtMs = nowMs + settings.ownerSilenceMs
    }

    private fun queued(expectedAtMs: Long?, nowMs: Long) {
        failures = 0
        askAgainAtMs = nowMs + settings.ownerSilenceMs
        if (expectedAtMs == null || expectedAtMs < deadlineMs) return
        actions += WaitAction.LeaveQueue(asks - 1)
        refuse(WaitRefusal.TooLongQueue(expectedAtMs, deadlineMs))
    }

    private fun granted(event: WaitEvent.Granted, nowMs: Long) {
        if (event.ask == servedAsk) return
        if (isEnded || !isCurrent(event.ask) || nowMs >= deadlineMs) {
            actions += WaitAction.GiveBack(event.ask, event.endpointId)
            return
        }
        isEnded = true
        servedAsk = event.ask
        actions += WaitAction.Serve(event.endpointId)
    }

    private fun retryLater(nowMs: Long) {
        failures++
        askAgainAtMs = nowMs + settings.submitBackoff.delayMs(failures, random)
    }

    private fun tick(nowMs: Long) {
        when {
            nowMs >= deadlineMs -> {
                if (asks > 0) actions += WaitAction.LeaveQueue(asks - 1)
                refuse(WaitRefusal.DeadlineExceeded(waitedMs = nowMs - arrivedAtMs))
            }
            nowMs >= askAgainAtMs -> ask(nowMs)
        }
    }

    private fun refuse(refusal: WaitRefusal) {
        isEnded = true
        actions += WaitAction.Refuse(refusal)
    }
}
