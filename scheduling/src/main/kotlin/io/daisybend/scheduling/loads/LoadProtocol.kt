/*
 * Events and actions of the load scheduler. A load puts the weights of one model or adapter on one endpoint.
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

/** Where an endpoint finds weights, fastest first. */
@Serializable
public enum class WeightSource {
    @SerialName("memory")
    MEMORY,

    @SerialName("disk")
    DISK,

    @SerialName("remote")
    REMOTE,
}

/** Names the load of a model, or of one of its adapters, on an endpoint. */
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

/** What may happen to loads. */
public sealed interface LoadEvent {
    /**
     * The load of [key], which takes about [expectedLoadMs] from [source] once it runs, is wanted: by [waiter], or
     * ahead of requests when that is null.
     */
    public data class Requested(
        val key: LoadKey,
        val source: WeightSource,
        val expectedLoadMs: Long,
        val waiter: LoadWaiter?,
    ) : LoadEvent

    /** A load has ended well. */
    public data class Finished(val key: LoadKey) : LoadEvent

    /** A load has failed; its waiting requests need another decision. */
    public data class Failed(val key: LoadKey) : LoadEvent

    /** A waiting request has gone away. */
    public data class WaiterCancelled(val requestId: RequestId) : LoadEvent

    /** Time has passed. */
    public data object Tick : LoadEvent
}

/** What the scheduler's VM has to do. */
public sealed interface LoadAction {
    /** Order the load now. */
    public data class Start(val key: LoadKey, val source: WeightSource) : LoadAction

    /** The weights are in place; the requests can run. */
    public data class Ready(val key: LoadKey, val waiters: List<LoadWaiter>) : LoadAction

    /** The load failed; the requests need another endpoint. */
    public data class Reroute(val key: LoadKey, val waiters: List<LoadWaiter>) : LoadAction

    /** Nobody waits any more for a load that has not started; the memory reserved for it is free. */
    public data class Cancel(val key: LoadKey) : LoadAction

    /** Tell the caller that the request was not run. */
    public data class Refuse(val waiter: LoadWaiter, val refusal: LoadRefusal) : LoadAction

    /** Deliver a [LoadEvent.Tick] at [atMs]; a later action replaces an earlier one. */
    public data class WakeAt(val atMs: Long) : LoadAction
}

/** Why a request is not going to wait for a load. */
public sealed interface LoadRefusal : Failure {
    /** The time after which a retry may succeed. */
    public val retryAfterMs: Long

    /** The weights would be in place after the request's deadline. */
    public data class DeadlineUnreachable(
        val expectedWaitMs: Long,
        val remainingMs: Long,
        override val retryAfterMs: Long,
    ) : LoadRefusal {
        override val message: String =
            "expected the weights within $remainingMs ms, the load needs about $expectedWaitMs ms"
    }
}
