/*
 * Events and actions of the fair queue of one endpoint. Each request that arrives leaves by exactly one of: dispatch,
 * refusal, rerouting, or its own cancellation.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.Failure
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

/** A request with its expected service in tokens; [deadlineMs] is the latest useful time of its first token. */
public data class QueuedRequest(
    val requestId: RequestId,
    val teamId: TeamId,
    val priorityClass: PriorityClass,
    val costTokens: Long,
    val deadlineMs: Long,
    val shareWeight: Int = 1,
)

/** What may happen to the queue of an endpoint. */
public sealed interface QueueEvent {
    /** A request wants to run on the endpoint. */
    public data class Arrived(val request: QueuedRequest) : QueueEvent

    /** A new owner has found the request running on the endpoint. */
    public data class RunningRequestFound(val request: QueuedRequest) : QueueEvent

    /** A dispatched request has ended after [servedTokens], whether it succeeded or not. */
    public data class Finished(val requestId: RequestId, val servedTokens: Long) : QueueEvent

    /** The caller of a waiting or running request has gone away. */
    public data class Cancelled(val requestId: RequestId) : QueueEvent

    /** The endpoint now runs at most [maxConcurrentRequests] at once. */
    public data class CapacityChanged(val maxConcurrentRequests: Int) : QueueEvent

    /** Time has passed. */
    public data object Tick : QueueEvent

    /** The endpoint takes no more work; whatever waits has to go elsewhere. */
    public data object EndpointLeft : QueueEvent
}

/** What the owner of the endpoint has to do. */
public sealed interface QueueAction {
    /** Send the request to the endpoint. */
    public data class Dispatch(val request: QueuedRequest) : QueueAction

    /** Tell the caller that the request was not run. */
    public data class Refuse(val request: QueuedRequest, val refusal: QueueRefusal) : QueueAction

    /** Send the request to another endpoint. */
    public data class Reroute(val request: QueuedRequest) : QueueAction
}

/** Why the queue refuses a request, and after which time a retry may succeed. */
public sealed interface QueueRefusal : Failure {
    /** The time after which a retry may succeed. */
    public val retryAfterMs: Long

    /** The request would start after its deadline. */
    public data class DeadlineUnreachable(
        val expectedWaitMs: Long,
        val remainingMs: Long,
        override val retryAfterMs: Long,
    ) : QueueRefusal {
        override val message: String =
            "expected a start within $remainingMs ms, the queue needs about $expectedWaitMs ms"
    }

    /** The queue is full and the request's team holds the largest part of it. */
    public data class QueueFull(
        val maxWaitingRequests: Int,
        override val retryAfterMs: Long,
    ) : QueueRefusal {
        override val message: String = "expected at most $maxWaitingRequests waiting requests, the queue is full"
    }
}
