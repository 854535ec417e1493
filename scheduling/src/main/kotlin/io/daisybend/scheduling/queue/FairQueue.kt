/*
 * Queues the requests of one endpoint on the VM that owns it. Start-time fair queueing divides the service, counted in
 * tokens, first between the priority classes and then between the teams of a class; within a team the request with the
 * earliest deadline runs first. Batch requests leave some slots to interactive requests, so that an interactive request
 * does not have to wait for a long batch request to end. A request that cannot start before its deadline is refused as
 * soon as that is known. A full queue refuses a request of the team with the largest backlog relative to its weight in
 * the lowest waiting class, the one with the latest deadline, so that a large team does not displace a small one.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

/** Limits, weights and initial estimates of a [FairQueue]. */
public data class FairQueueSettings(
    val maxConcurrentRequests: Int = 8,
    val reservedInteractiveSlots: Int = 1,
    val maxWaitingRequests: Int = 2_000,
    val interactiveWeight: Int = 16,
    val batchWeight: Int = 1,
    val firstTokenAllowanceMs: Long = 100,
    val initialTokensPerSecondPerSlot: Long = 100,
)

/** Decides which waiting request of one endpoint runs next; not thread-safe. */
public class FairQueue(private val settings: FairQueueSettings = FairQueueSettings()) {
    private val backlogs = PriorityClass.entries.associateWith { HashMap<TeamId, TeamBacklog>() }
    private val classOrder = FairShareOrder<PriorityClass>()
    private val teamOrders = PriorityClass.entries.associateWith { FairShareOrder<TeamKey>() }
    private val waiting = HashMap<RequestId, QueueEntry>()
    private val running = HashMap<RequestId, RunningRequest>()
    private val serviceRate = ServiceRate(settings.initialTokensPerSecondPerSlot)
    private var maxConcurrentRequests = settings.maxConcurrentRequests
    private var nextSequence = 0L

    /** The number of waiting requests. */
    public val waitingCount: Int get() = waiting.size

    /** The number of requests running on the endpoint. */
    public val runningCount: Int get() = running.size

    /** The tokens of all waiting and running requests, which the owner reports to routers as its load. */
    public var pendingTokens: Long = 0L
        private set

    /** Applies [event] at [nowMs] and returns the resulting actions in order; ignores unknown request ids. */
    public fun handle(event: QueueEvent, nowMs: Long): List<QueueAction> {
        val actions = ArrayList<QueueAction>(2)
        when (event) {
            is QueueEvent.Arrived -> onArrived(event.request, nowMs, actions)
            is QueueEvent.RunningRequestFound -> onRunningRequestFound(event.request, nowMs)
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

    /** Returns the expected time from [nowMs] until a request like [request] starts. */
    public fun expectedWaitMs(request: QueuedRequest, nowMs: Long): Long {
        if (hasFreeSlot(request.priorityClass) && backlogTokens(request.priorityClass) == 0L) return 0L
        val teamTokens = backlogs.getValue(request.priorityClass)[request.teamId]?.tokens ?: 0L
        return estimateWaitMs(request, teamTokens, nowMs)
    }

    private fun onArrived(request: QueuedRequest, nowMs: Long, actions: MutableList<QueueAction>) {
        if (request.requestId in waiting || request.requestId in running) return
        val remainingMs = request.deadlineMs - nowMs - settings.firstTokenAllowanceMs
        val expectedWaitMs = admissionWaitMs(request, remainingMs, nowMs)
        if (expectedWaitMs > remainingMs) {
            actions += QueueAction.Refuse(request, deadlineUnreachable(expectedWaitMs, remainingMs))
            return
        }
        enqueue(request)
        if (waiting.size > settings.maxWaitingRequests) refuseFromLargestBacklog(nowMs, actions)
    }

    private fun onRunningRequestFound(request: QueuedRequest, nowMs: Long) {
        if (request.requestId in running) return
        waiting[request.requestId]?.let(::leaveQueue)
        pendingTokens += request.costTokens
        running[request.requestId] = RunningRequest(request, nowMs)
    }

    /** Computes the exact backlog ahead of [request] only if the cheaper upper bound exceeds [remainingMs]. */
    private fun admissionWaitMs(request: QueuedRequest, remainingMs: Long, nowMs: Long): Long {
        val upperBoundMs = expectedWaitMs(request, nowMs)
        if (upperBoundMs <= remainingMs) return upperBoundMs
        val backlog = backlogs.getValue(request.priorityClass)[request.teamId]
        return estimateWaitMs(request, backlog?.tokensBefore(request.deadlineMs) ?: 0L, nowMs)
    }

    private fun estimateWaitMs(request: QueuedRequest, teamTokensAhead: Long, nowMs: Long): Long {
        val tokensUntilServed = teamTokensAhead + request.costTokens
        val otherTeamsTokens = backlogs.getValue(request.priorityClass).values
            .filter { it.teamId != request.teamId }
            .sumOf { minOf(it.tokens, tokensUntilServed * it.shareWeight / request.shareWeight) }
        val higherClassTokens = PriorityClass.entries
            .filter { it < request.priorityClass }
            .sumOf(::backlogTokens)
        val aheadTokens = teamTokensAhead + otherTeamsTokens + higherClassTokens
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
        val entry = QueueEntry(request, nextSequence++)
        val backlog = backlogs.getValue(request.priorityClass)
            .getOrPut(request.teamId) { TeamBacklog(request.teamId, request.shareWeight) }
        backlog.shareWeight = request.shareWeight
        backlog.add(entry)
        waiting[request.requestId] = entry
        pendingTokens += request.costTokens
        teamOrders.getValue(request.priorityClass).activate(TeamKey(request.teamId), request.shareWeight)
        classOrder.activate(request.priorityClass, weightOf(request.priorityClass))
    }

    private fun leaveQueue(entry: QueueEntry) {
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
        val finished = running.remove(requestId) ?: return
        val request = finished.request
        pendingTokens -= request.costTokens
        serviceRate.observe(request.costTokens, nowMs - finished.startedAtMs)
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
        val minReachableDeadlineMs = nowMs + settings.firstTokenAllowanceMs
        for (classBacklogs in backlogs.values) {
            classBacklogs.values.toList().forEach { refuseExpiredIn(it, minReachableDeadlineMs, actions) }
        }
    }

    private fun refuseExpiredIn(backlog: TeamBacklog, minReachableDeadlineMs: Long, actions: MutableList<QueueAction>) {
        while (backlog.size > 0 && backlog.first().request.deadlineMs < minReachableDeadlineMs) {
            val entry = backlog.first()
            val waitMs = expectedWaitMs(entry.request, minReachableDeadlineMs)
            leaveQueue(entry)
            val remainingMs = entry.request.deadlineMs - minReachableDeadlineMs
            actions += QueueAction.Refuse(entry.request, deadlineUnreachable(waitMs, remainingMs))
        }
    }

    private fun refuseFromLargestBacklog(nowMs: Long, actions: MutableList<QueueAction>) {
        val classBacklogs = backlogs.values.last { it.isNotEmpty() }.values
        val largest = classBacklogs.maxWith(compareBy({ it.tokens.toDouble() / it.shareWeight }, { it.teamId.value }))
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

    private fun dispatch(entry: QueueEntry, nowMs: Long, actions: MutableList<QueueAction>) {
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
