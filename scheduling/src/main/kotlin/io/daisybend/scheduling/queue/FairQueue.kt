/*
 * The queue of one endpoint at the VM that owns it. Service is counted in tokens: first between the priority classes,
 * then between the teams of a class, both by start-time fair queueing; within a team the earliest deadline goes first.
 * Batch work leaves a few slots to interactive work, so an interactive request need not wait for a long batch request
 * to end. What cannot start before its deadline is refused when that becomes known. A full queue refuses the newest
 * work of the team with the largest backlog in the lowest class, never the newcomer of a small team.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

/** Bounds and first estimates of a [FairQueue]. */
public data class FairQueueSettings(
    val maxConcurrentRequests: Int = 8,
    val reservedInteractiveSlots: Int = 1,
    val maxWaitingRequests: Int = 2_000,
    val interactiveWeight: Int = 16,
    val batchWeight: Int = 1,
    val firstTokenAllowanceMs: Long = 100,
    val initialTokensPerSecondPerSlot: Long = 100,
)

/** Decides which waiting request of one endpoint runs next; not safe for use by several threads. */
public class FairQueue(private val settings: FairQueueSettings = FairQueueSettings()) {
    private val backlogs = PriorityClass.entries.associateWith { HashMap<TeamId, TeamBacklog>() }
    private val classOrder = FairShareOrder<PriorityClass>()
    private val teamOrders = PriorityClass.entries.associateWith { FairShareOrder<TeamKey>() }
    private val waiting = HashMap<RequestId, WaitingRequest>()
    private val running = HashMap<RequestId, RunningRequest>()
    private val serviceRate = ServiceRate(settings.initialTokensPerSecondPerSlot)
    private var maxConcurrentRequests = settings.maxConcurrentRequests
    private var nextSequence = 0L

    /** The number of requests that wait. */
    public val waitingCount: Int get() = waiting.size

    /** The number of requests that run on the endpoint. */
    public val runningCount: Int get() = running.size

    /** The tokens that wait or run; the load that the owner reports to routers. */
    public var pendingTokens: Long = 0L
        private set

    /** Applies [event] at [nowMs] and returns what to do, in order; unknown request ids are ignored. */
    public fun handle(event: QueueEvent, nowMs: Long): List<QueueAction> {
        val actions = ArrayList<QueueAction>(2)
        when (event) {
            is QueueEvent.Arrived -> onArrived(event.request, nowMs, actions)
            is QueueEvent.RunningRequestFound -> onFoundRunning(event.request, nowMs)
            is QueueEvent.Finished -> onFinished(event.requestId, event.servedTokens, nowMs)
            is QueueEvent.Cancelled -> onCancelled(event.requestId)
            is QueueEvent.CapacityChanged -> maxConcurrentRequests = event.maxConcurrentRequests
            QueueEvent.Tick -> Unit
            QueueEvent.EndpointLeft -> rerouteAll(actions)
        }
        refuseExpired(nowMs, actions)
        dispatchAll(nowMs, actions)
        return actions
    }

    /** Returns the expected time from [nowMs] until a request like [request] would start. */
    public fun expectedWaitMs(request: QueuedRequest, nowMs: Long): Long {
        if (hasFreeSlot(request.priorityClass) && backlogTokens(request.priorityClass) == 0L) return 0L
        val ownTokens = backlogs.getValue(request.priorityClass)[request.teamId]?.tokens ?: 0L
        return waitMs(request, ownTokens, nowMs)
    }

    private fun onArrived(request: QueuedRequest, nowMs: Long, actions: MutableList<QueueAction>) {
        if (request.requestId in waiting || request.requestId in running) return
        val remainingMs = request.deadlineMs - nowMs - settings.firstTokenAllowanceMs
        val expectedWaitMs = wantedWaitMs(request, remainingMs, nowMs)
        if (expectedWaitMs > remainingMs) {
            actions += QueueAction.Refuse(request, deadlineUnreachable(expectedWaitMs, remainingMs))
            return
        }
        enqueue(request)
        if (waiting.size > settings.maxWaitingRequests) refuseOfLargestBacklog(nowMs, actions)
    }

    private fun onFoundRunning(request: QueuedRequest, nowMs: Long) {
        if (request.requestId in running) return
        waiting[request.requestId]?.let(::leaveQueue)
        pendingTokens += request.costTokens
        running[request.requestId] = RunningRequest(request, nowMs)
    }

    /** Computes the exact backlog ahead of [request] only when the quick upper bound misses the deadline. */
    private fun wantedWaitMs(request: QueuedRequest, remainingMs: Long, nowMs: Long): Long {
        val upperBoundMs = expectedWaitMs(request, nowMs)
        if (upperBoundMs <= remainingMs) return upperBoundMs
        val backlog = backlogs.getValue(request.priorityClass)[request.teamId]
        return waitMs(request, backlog?.tokensBefore(request.deadlineMs) ?: 0L, nowMs)
    }

    private fun waitMs(request: QueuedRequest, ownTokensAhead: Long, nowMs: Long): Long {
        val untilServed = ownTokensAhead + request.costTokens
        val othersAhead = backlogs.getValue(request.priorityClass).values
            .filter { it.teamId != request.teamId }
            .sumOf { minOf(it.tokens, untilServed * it.shareWeight / request.shareWeight) }
        val higherClasses = PriorityClass.entries
            .filter { it < request.priorityClass }
            .sumOf(::backlogTokens)
        val aheadTokens = ownTokensAhead + othersAhead + higherClasses
        return nextFreeSlotMs(request.priorityClass, nowMs) +
            serviceRate.durationMs(aheadTokens, maxConcurrentRequests)
    }

    private fun nextFreeSlotMs(priorityClass: PriorityClass, nowMs: Long): Long {
        if (hasFreeSlot(priorityClass) || running.isEmpty()) return 0L
        return running.values.minOf {
            it.startedAtMs + serviceRate.durationMs(it.request.costTokens, slots = 1) - nowMs
        }
            .coerceAtLeast(0L)
    }

    private fun deadlineUnreachable(expectedWaitMs: Long, remainingMs: Long) =
        QueueRefusal.DeadlineUnreachable(
            expectedWaitMs = expectedWaitMs,
            remainingMs = remainingMs,
            retryAfterMs = maxOf(MIN_RETRY_AFTER_MS, expectedWaitMs - maxOf(0L, remainingMs)),
        )

    private fun enqueue(request: QueuedRequest) {
        val entry = WaitingRequest(request, nextSequence++)
        val backlog = backlogs.getValue(request.priorityClass)
            .getOrPut(request.teamId) { TeamBacklog(request.teamId, request.shareWeight) }
        backlog.shareWeight = request.shareWeight
        backlog.add(entry)
        waiting[request.requestId] = entry
        pendingTokens += request.costTokens
        teamOrders.getValue(request.priorityClass).activate(TeamKey(request.teamId), request.shareWeight)
        classOrder.activate(request.priorityClass, weightOf(request.priorityClass))
    }

    private fun leaveQueue(entry: WaitingRequest) {
        val request = entry.request
        val backlog = backlogs.getValue(request.priorityClass).getValue(request.teamId)
        backlog.remove(entry)
        waiting -= request.requestId
        pendingTokens -= request.costTokens
        if (backlog.size > 0) return
        backlogs.getValue(request.priorityClass) -= request.teamId
        teamOrders.getValue(request.priorityClass).deactivate(TeamKey(request.teamId))
        if (backlogs.getValue(request.priorityClass).isEmpty()) classOrder.deactivate(request.priorityClass)
    }

    private fun onFinished(requestId: RequestId, servedTokens: Long, nowMs: Long) {
        val ended = running.remove(requestId) ?: return
        val request = ended.request
        pendingTokens -= request.costTokens
        serviceRate.observe(request.costTokens, nowMs - ended.startedAtMs)
        val correctionTokens = servedTokens - request.costTokens
        teamOrders.getValue(request.priorityClass).correct(TeamKey(request.teamId), correctionTokens)
        classOrder.correct(request.priorityClass, correctionTokens)
    }

    private fun onCancelled(requestId: RequestId) {
        waiting[requestId]?.let(::leaveQueue)
        val cancelled = running.remove(requestId) ?: return
        pendingTokens -= cancelled.request.costTokens
    }

    private fun rerouteAll(actions: MutableList<QueueAction>) {
        maxConcurrentRequests = 0
        waiting.values.sortedBy { it.sequence }.forEach { entry ->
            leaveQueue(entry)
            actions += QueueAction.Reroute(entry.request)
        }
    }

    private fun refuseExpired(nowMs: Long, actions: MutableList<QueueAction>) {
        val latestDeadlineMs = nowMs + settings.firstTokenAllowanceMs
        for (teams in backlogs.values) {
            teams.values.toList().forEach { refuseExpiredOf(it, latestDeadlineMs, actions) }
        }
    }

    private fun refuseExpiredOf(backlog: TeamBacklog, latestDeadlineMs: Long, actions: MutableList<QueueAction>) {
        while (backlog.size > 0 && backlog.first().request.deadlineMs < latestDeadlineMs) {
            val entry = backlog.first()
            val waitMs = expectedWaitMs(entry.request, latestDeadlineMs)
            leaveQueue(entry)
            val remainingMs = entry.request.deadlineMs - latestDeadlineMs
            actions += QueueAction.Refuse(entry.request, deadlineUnreachable(waitMs, remainingMs))
        }
    }

    private fun refuseOfLargestBacklog(nowMs: Long, actions: MutableList<QueueAction>) {
        val teams = backlogs.values.last { it.isNotEmpty() }.values
        val largest = teams.maxWith(compareBy({ it.tokens.toDouble() / it.shareWeight }, { it.teamId.value }))
        val entry = largest.last()
        val retryAfterMs = maxOf(MIN_RETRY_AFTER_MS, expectedWaitMs(entry.request, nowMs))
        leaveQueue(entry)
        actions += QueueAction.Refuse(
            entry.request,
            QueueRefusal.QueueFull(settings.maxWaitingRequests, retryAfterMs),
        )
    }

    private fun dispatchAll(nowMs: Long, actions: MutableList<QueueAction>) {
        while (true) {
            val priorityClass = classOrder.firstOrNull(::hasFreeSlot) ?: return
            val teamKey = checkNotNull(teamOrders.getValue(priorityClass).firstOrNull())
            val entry = backlogs.getValue(priorityClass).getValue(teamKey.teamId).first()
            dispatch(entry, nowMs, actions)
        }
    }

    private fun dispatch(entry: WaitingRequest, nowMs: Long, actions: MutableList<QueueAction>) {
        val request = entry.request
        teamOrders.getValue(request.priorityClass).charge(TeamKey(request.teamId), request.costTokens)
        classOrder.charge(request.priorityClass, request.costTokens)
        leaveQueue(entry)
        pendingTokens += request.costTokens
        running[request.requestId] = RunningRequest(request, nowMs)
        actions += QueueAction.Dispatch(request)
    }

    private fun hasFreeSlot(priorityClass: PriorityClass): Boolean =
        running.size < maxConcurrentRequests - reservedSlotsAgainst(priorityClass)

    private fun reservedSlotsAgainst(priorityClass: PriorityClass): Int =
        when (priorityClass) {
            PriorityClass.INTERACTIVE -> 0
            PriorityClass.BATCH -> minOf(settings.reservedInteractiveSlots, maxConcurrentRequests / 2)
        }

    private fun weightOf(priorityClass: PriorityClass): Int =
        when (priorityClass) {
            PriorityClass.INTERACTIVE -> settings.interactiveWeight
            PriorityClass.BATCH -> settings.batchWeight
        }

    private fun backlogTokens(priorityClass: PriorityClass): Long =
        backlogs.getValue(priorityClass).values.sumOf { it.tokens }

    private class RunningRequest(val request: QueuedRequest, val startedAtMs: Long)

    private data class TeamKey(val teamId: TeamId) : Comparable<TeamKey> {
        override fun compareTo(other: TeamKey): Int = teamId.value.compareTo(other.teamId.value)
    }

    private companion object {
        const val MIN_RETRY_AFTER_MS = 1_000L
    }
}
