/*
 * Defines the events and actions of the load scheduler. A load puts the weights of one model or adapter on an endpoint.
 */
package io.daisybend.scheduling.loads

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The source from which an endpoint loads weights, fastest first. */
@Serializable
public enum class WeightSource {
    @SerialName("memory")
    MEMORY,

    @SerialName("disk")
    DISK,

    @SerialName("remote")
    REMOTE,
}

/** Identifies the load of a model, or of one of its adapters, on an endpoint. */
@Serializable
public data class LoadKey(
    val endpointId: EndpointId,
    val modelId: ModelId,
    val adapterId: AdapterId? = null,
)

/** A request that waits for a load. */
public data class LoadWaiter(
    val requestId: RequestId,
    val priorityClass: PriorityClass,
    val deadlineMs: Long,
)

/** An input of a [LoadScheduler]. */
public sealed interface LoadEvent {
    /**
     * The load of [key] was requested for [waiter], or in advance of any request if that is null. It takes about
     * [expectedLoadMs] from [source] after its start.
     */
    public data class Requested(
        val key: LoadKey,
        val source: WeightSource,
        val expectedLoadMs: Long,
        val waiter: LoadWaiter?,
    ) : LoadEvent

    /** A load succeeded. */
    public data class Finished(val key: LoadKey) : LoadEvent

    /** A load failed; its waiting requests have to be rerouted. */
    public data class Failed(val key: LoadKey) : LoadEvent

    /** A waiting request was cancelled. */
    public data class WaiterCancelled(val requestId: RequestId) : LoadEvent

    /** Periodic event that refuses requests whose deadline has become unreachable and uses released permits. */
    public data object Tick : LoadEvent
}

/** An action that the VM of the scheduler has to perform. */
public sealed interface LoadAction {
    /** Start the load. */
    public data class Start(val key: LoadKey, val source: WeightSource) : LoadAction

    /** The weights are loaded; the requests of [waiters] can run. */
    public data class Ready(val key: LoadKey, val waiters: List<LoadWaiter>) : LoadAction

    /** The load failed; the requests of [waiters] need another endpoint. */
    public data class Reroute(val key: LoadKey, val waiters: List<LoadWaiter>) : LoadAction

    /** Cancel a load that has not started and has no waiting requests; its memory reservation can be released. */
    public data class Cancel(val key: LoadKey) : LoadAction

    /** Refuse the request, which did not run. */
    public data class Refuse(val waiter: LoadWaiter, val refusal: LoadRefusal) : LoadAction

    /** Deliver a [LoadEvent.Tick] at [atMs]; replaces an earlier action of this kind. */
    public data class WakeAt(val atMs: Long) : LoadAction
}

/** The reason why a request is refused instead of waiting for a load. */
public sealed interface LoadRefusal : Failure {
    /** The time in milliseconds after which a retry may succeed. */
    public val retryAfterMs: Long

    /** The weights are expected to be loaded after the deadline of the request. */
    public data class DeadlineUnreachable(
        val expectedWaitMs: Long,
        val remainingMs: Long,
        override val retryAfterMs: Long,
    ) : LoadRefusal {
        override val message: String =
            "expected the weights within $remainingMs ms, got an estimated load time of $expectedWaitMs ms"
    }
}
