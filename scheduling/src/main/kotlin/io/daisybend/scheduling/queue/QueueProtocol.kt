/*
 * Defines the events and actions of the fair queue of one endpoint. Each request that arrives leaves the queue in
 * exactly one way: dispatch, refusal, rerouting or cancellation.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.Failure
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

/** A request with its expected cost in tokens; its first token is useless after [deadlineMs]. */
public data class QueuedRequest(
    val requestId: RequestId,
    val teamId: TeamId,
    val priorityClass: PriorityClass,
    val costTokens: Long,
    val deadlineMs: Long,
    val shareWeight: Int = 1,
)

/** An input of a [FairQueue]. */
public sealed interface QueueEvent {
    /** A request for the endpoint arrived. */
    public data class Arrived(val request: QueuedRequest) : QueueEvent

    /** A new owner of the endpoint found [request] running on it. */
    public data class RunningRequestFound(val request: QueuedRequest) : QueueEvent

    /** A dispatched request ended after [servedTokens], successfully or not. */
    public data class Finished(val requestId: RequestId, val servedTokens: Long) : QueueEvent

    /** A waiting or running request was cancelled because its caller disconnected. */
    public data class Cancelled(val requestId: RequestId) : QueueEvent

    /** The endpoint now runs at most [maxConcurrentRequests] requests at once. */
    public data class CapacityChanged(val maxConcurrentRequests: Int) : QueueEvent

    /** Periodic event that refuses requests whose deadline has become unreachable. */
    public data object Tick : QueueEvent

    /** The endpoint accepts no more requests; all waiting requests are rerouted. */
    public data object EndpointLeft : QueueEvent
}

/** An action that the owner of the endpoint has to perform. */
public sealed interface QueueAction {
    /** Send the request to the endpoint. */
    public data class Dispatch(val request: QueuedRequest) : QueueAction

    /** Refuse the request, which did not run. */
    public data class Refuse(val request: QueuedRequest, val refusal: QueueRefusal) : QueueAction

    /** Send the request to another endpoint. */
    public data class Reroute(val request: QueuedRequest) : QueueAction
}

/** The reason why the queue refuses a request. */
public sealed interface QueueRefusal : Failure {
    /** The time in milliseconds after which a retry may succeed. */
    public val retryAfterMs: Long

    /** The request is expected to start after its deadline. */
    public data class DeadlineUnreachable(
        val expectedWaitMs: Long,
        val remainingMs: Long,
        override val retryAfterMs: Long,
    ) : QueueRefusal {
        override val message: String =
            "expected a start within $remainingMs ms, got an estimated wait of $expectedWaitMs ms"
    }

    /** The queue is full and the team of the request has the largest backlog. */
    public data class QueueFull(
        val maxWaitingRequests: Int,
        override val retryAfterMs: Long,
    ) : QueueRefusal {
        override val message: String = "expected at most $maxWaitingRequests waiting requests, got one more"
    }
}
