/*
 * Tracks a request that waits for a slot on an endpoint. The gateway that received the request keeps it; the VM that
 * owns the endpoint holds only an entry in its queue, which is lost if that VM fails. The gateway therefore requests
 * the slot again if the owner does not respond in time, changes, or reports that it is not the owner, and refuses the
 * request at its deadline. A slot that is granted too late or twice is released, so that no slot leaks.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure
import kotlin.random.Random

/** The reason for refusing a waiting request, which did not run. */
public sealed interface WaitRefusal : Failure {
    /** The deadline passed before a slot was granted. */
    public data class DeadlineExceeded(val waitedMs: Long) : WaitRefusal {
        override val message: String = "expected a slot before the deadline, waited $waitedMs ms"
    }

    /** The owner expects a free slot only at [expectedAtMs], at or after the deadline. */
    public data class QueueTooLong(val expectedAtMs: Long, val deadlineMs: Long) : WaitRefusal {
        override val message: String = "expected a slot before $deadlineMs ms, the queue offers it at $expectedAtMs ms"
    }

    /** The owner refused the request because of [reason]. */
    public data class RefusedByOwner(val reason: Failure) : WaitRefusal {
        override val message: String = reason.message
    }
}

/** An input of a [WaitingRequest]. */
public sealed interface WaitEvent {
    /** The request arrived. */
    public data object Arrived : WaitEvent

    /** The owner queued the request and expects to serve it at [expectedAtMs]; null if the time is unknown. */
    public data class Queued(val slotRequestId: Int, val expectedAtMs: Long?) : WaitEvent

    /** The owner granted a slot on [endpointId]. */
    public data class Granted(val slotRequestId: Int, val endpointId: EndpointId) : WaitEvent

    /** The owner refused the request; asking again would not help. */
    public data class Refused(val slotRequestId: Int, val reason: Failure) : WaitEvent

    /** The owner was unreachable or reported that it does not own the endpoint. */
    public data class OwnerUnavailable(val slotRequestId: Int) : WaitEvent

    /** Another VM became the owner of the endpoint. */
    public data object OwnerChanged : WaitEvent

    /** Periodic event that evaluates timeouts. */
    public data object Tick : WaitEvent
}

/** An action that the gateway has to perform for a [WaitingRequest]. */
public sealed interface WaitAction {
    /** Request a slot from the current owner; [slotRequestId] identifies the slot request in later events. */
    public data class RequestSlot(val slotRequestId: Int) : WaitAction

    /** Run the request on [endpointId]. */
    public data class Serve(val endpointId: EndpointId) : WaitAction

    /** Release the slot on [endpointId] that was granted to [slotRequestId]. */
    public data class ReleaseSlot(val slotRequestId: Int, val endpointId: EndpointId) : WaitAction

    /** Remove the queue entry of [slotRequestId]. */
    public data class LeaveQueue(val slotRequestId: Int) : WaitAction

    /** Refuse the request, which did not run. */
    public data class Refuse(val refusal: WaitRefusal) : WaitAction
}

/** Timeouts of a [WaitingRequest]. */
public data class WaitSettings(
    val ownerTimeoutMs: Long = 1_000L,
    val retryBackoff: Backoff = Backoff(baseMs = 50L, maxMs = 2_000L),
)

/** Waits for a slot until [deadlineMs]; not thread-safe. */
public class WaitingRequest(
    private val deadlineMs: Long,
    private val settings: WaitSettings = WaitSettings(),
    private val random: Random = Random.Default,
) {
    private var slotRequestCount = 0
    private var consecutiveFailures = 0
    private var arrivedAtMs = 0L
    private var nextSlotRequestAtMs = 0L
    private var servedSlotRequestId: Int? = null
    private var actions = mutableListOf<WaitAction>()

    /** Whether the request was served or refused. */
    public var isEnded: Boolean = false
        private set

    /** Applies [event] and returns the resulting actions. */
    public fun handle(event: WaitEvent, nowMs: Long): List<WaitAction> {
        actions = mutableListOf()
        when (event) {
            is WaitEvent.Granted -> onGranted(event, nowMs)
            else -> if (!isEnded) handleWhileOpen(event, nowMs)
        }
        return actions
    }

    private fun handleWhileOpen(event: WaitEvent, nowMs: Long) {
        when (event) {
            WaitEvent.Arrived -> onArrived(nowMs)
            is WaitEvent.Queued -> if (isCurrent(event.slotRequestId)) onQueued(event.expectedAtMs, nowMs)
            is WaitEvent.Refused -> if (isCurrent(event.slotRequestId)) refuse(WaitRefusal.RefusedByOwner(event.reason))
            is WaitEvent.OwnerUnavailable -> if (isCurrent(event.slotRequestId)) scheduleRetry(nowMs)
            WaitEvent.OwnerChanged -> if (slotRequestCount > 0) requestSlot(nowMs)
            WaitEvent.Tick -> onTick(nowMs)
            is WaitEvent.Granted -> Unit
        }
    }

    private fun isCurrent(slotRequestId: Int): Boolean = slotRequestId == slotRequestCount - 1

    private fun onArrived(nowMs: Long) {
        if (slotRequestCount > 0) return
        arrivedAtMs = nowMs
        requestSlot(nowMs)
    }

    private fun requestSlot(nowMs: Long) {
        if (slotRequestCount > 0) actions += WaitAction.LeaveQueue(slotRequestCount - 1)
        actions += WaitAction.RequestSlot(slotRequestCount++)
        nextSlotRequestAtMs = nowMs + settings.ownerTimeoutMs
    }

    private fun onQueued(expectedAtMs: Long?, nowMs: Long) {
        consecutiveFailures = 0
        nextSlotRequestAtMs = nowMs + settings.ownerTimeoutMs
        if (expectedAtMs == null || expectedAtMs < deadlineMs) return
        actions += WaitAction.LeaveQueue(slotRequestCount - 1)
        refuse(WaitRefusal.QueueTooLong(expectedAtMs, deadlineMs))
    }

    private fun onGranted(event: WaitEvent.Granted, nowMs: Long) {
        if (event.slotRequestId == servedSlotRequestId) return
        if (isEnded || !isCurrent(event.slotRequestId) || nowMs >= deadlineMs) {
            actions += WaitAction.ReleaseSlot(event.slotRequestId, event.endpointId)
            return
        }
        isEnded = true
        servedSlotRequestId = event.slotRequestId
        actions += WaitAction.Serve(event.endpointId)
    }

    private fun scheduleRetry(nowMs: Long) {
        consecutiveFailures++
        nextSlotRequestAtMs = nowMs + settings.retryBackoff.delayMs(consecutiveFailures, random)
    }

    private fun onTick(nowMs: Long) {
        when {
            nowMs >= deadlineMs -> {
                if (slotRequestCount > 0) actions += WaitAction.LeaveQueue(slotRequestCount - 1)
                refuse(WaitRefusal.DeadlineExceeded(waitedMs = nowMs - arrivedAtMs))
            }
            nowMs >= nextSlotRequestAtMs -> requestSlot(nowMs)
        }
    }

    private fun refuse(refusal: WaitRefusal) {
        isEnded = true
        actions += WaitAction.Refuse(refusal)
    }
}
