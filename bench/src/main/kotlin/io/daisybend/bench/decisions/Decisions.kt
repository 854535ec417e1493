/*
 * The decisions that a scenario drives. Both variants answer the same events with the same actions, so that a run
 * differs in the decisions alone.
 */
package io.daisybend.bench.decisions

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.loads.LoadAction
import io.daisybend.scheduling.loads.LoadEvent
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.replicas.ReplicaAction
import io.daisybend.scheduling.replicas.ReplicaEvent
import io.daisybend.scheduling.routing.ReplicaCandidate
import io.daisybend.scheduling.routing.RouterEvent
import io.daisybend.scheduling.routing.RoutingRequest

internal interface QueueDecision {
    val pendingTokens: Long
    val expectedWaitMs: Long

    fun handle(event: QueueEvent, nowMs: Long): List<QueueAction>
}

internal fun interface LoadDecision {
    fun handle(event: LoadEvent, nowMs: Long): List<LoadAction>
}

internal fun interface ReplicaDecision {
    fun handle(event: ReplicaEvent, nowMs: Long): List<ReplicaAction>
}

internal interface RouterDecision {
    fun route(request: RoutingRequest, candidates: List<ReplicaCandidate>, nowMs: Long): EndpointId?

    fun handle(event: RouterEvent, nowMs: Long)
}

/** Admission by rate at the entry VMs; verdicts may come later than the reservation. */
internal interface RateDecision {
    /** Returns the VM that a caller is told to use instead of [vmIndex]. */
    fun entryVm(teamId: TeamId, requestId: RequestId, vmIndex: Int): Int

    fun reserve(vmIndex: Int, requestId: RequestId, teamId: TeamId, tokens: Long, onVerdict: (Boolean) -> Unit)

    fun settle(vmIndex: Int, requestId: RequestId, teamId: TeamId, usedTokens: Long)

    fun restartVm(vmIndex: Int)

    fun logDown(untilMs: Long)
}

/** One variant of all decisions; [sharesReplicaState] says whether routers see loads decided by others at once. */
internal class Decisions(
    val name: String,
    val sharesReplicaState: Boolean,
    val needsLogForLoads: Boolean,
    val rates: RateDecision,
    val loads: LoadDecision,
    val replicas: ReplicaDecision,
    val newQueue: (maxConcurrentRequests: Int) -> QueueDecision,
    val newRouter: (vmIndex: Int) -> RouterDecision,
)
