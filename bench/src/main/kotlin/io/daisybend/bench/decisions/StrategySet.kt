/*
 * Strategies that a scenario runs with. Both variants handle the same events and return the same types of actions, so
 * that runs differ only in their decisions.
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

internal interface QueueStrategy {
    val pendingTokens: Long
    val expectedWaitMs: Long

    fun handle(event: QueueEvent, nowMs: Long): List<QueueAction>
}

internal fun interface LoadStrategy {
    fun handle(event: LoadEvent, nowMs: Long): List<LoadAction>
}

internal fun interface ReplicaStrategy {
    fun handle(event: ReplicaEvent, nowMs: Long): List<ReplicaAction>
}

internal interface RoutingStrategy {
    fun route(request: RoutingRequest, candidates: List<ReplicaCandidate>, nowMs: Long): EndpointId?

    fun handle(event: RouterEvent, nowMs: Long)
}

/** Admits or refuses requests by the rate of their team. A decision may follow later than its reservation. */
internal interface RateStrategy {
    /** Returns the VM that a caller is directed to instead of [vmIndex]. */
    fun chooseEntryVm(teamId: TeamId, requestId: RequestId, vmIndex: Int): Int

    fun reserve(vmIndex: Int, requestId: RequestId, teamId: TeamId, tokens: Long, onDecision: (Boolean) -> Unit)

    fun settle(vmIndex: Int, requestId: RequestId, teamId: TeamId, usedTokens: Long)

    fun restartVm(vmIndex: Int)

    fun onLogOutage(untilMs: Long)
}

/**
 * The strategies of one variant. If [sharesReplicaState] is set, all VMs see a load as soon as any VM decides it; if
 * [needsLogForLoads] is set, a load waits for an append to the log.
 */
internal class StrategySet(
    val name: String,
    val sharesReplicaState: Boolean,
    val needsLogForLoads: Boolean,
    val rates: RateStrategy,
    val loads: LoadStrategy,
    val replicas: ReplicaStrategy,
    val newQueue: (maxConcurrentRequests: Int) -> QueueStrategy,
    val newRouter: (vmIndex: Int) -> RoutingStrategy,
)
