/*
 * Defines two simple reference queues: a FIFO queue, and start-time fair queueing implemented as a scan over a list.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

internal class FifoQueue {
    private val waiting = ArrayDeque<QueuedRequest>()

    fun add(request: QueuedRequest) {
        waiting += request
    }

    fun next(): QueuedRequest? = waiting.removeFirstOrNull()
}

/** Chooses each request by a scan over all waiting requests. */
internal class ScanningFairQueue(private val weightOfClass: Map<PriorityClass, Int>) {
    private val waiting = ArrayList<QueuedRequest>()
    private val teamTags = HashMap<Pair<PriorityClass, TeamId>, Long>()
    private val teamVirtualTimes = HashMap<PriorityClass, Long>()
    private val classTags = HashMap<PriorityClass, Long>()
    private var classVirtualTime = 0L

    fun add(request: QueuedRequest) {
        val teamKey = request.priorityClass to request.teamId
        if (waiting.none { it.priorityClass == request.priorityClass && it.teamId == request.teamId }) {
            teamTags[teamKey] = maxOf(teamTags[teamKey] ?: 0, teamVirtualTimes[request.priorityClass] ?: 0)
        }
        if (waiting.none { it.priorityClass == request.priorityClass }) {
            classTags[request.priorityClass] = maxOf(classTags[request.priorityClass] ?: 0, classVirtualTime)
        }
        waiting += request
    }

    fun next(): QueuedRequest? {
        val priorityClass = waiting.map { it.priorityClass }.distinct()
            .minWithOrNull(compareBy({ classTags.getValue(it) }, { it })) ?: return null
        val requestsOfClass = waiting.filter { it.priorityClass == priorityClass }
        val chosen = requestsOfClass.minWith(
            compareBy({ teamTags.getValue(priorityClass to it.teamId) }, { it.teamId.value }, { it.deadlineMs }),
        )
        val teamKey = priorityClass to chosen.teamId
        teamVirtualTimes[priorityClass] = maxOf(teamVirtualTimes[priorityClass] ?: 0, teamTags.getValue(teamKey))
        teamTags[teamKey] = teamTags.getValue(teamKey) + chosen.costTokens * 1_000 / chosen.shareWeight
        classVirtualTime = maxOf(classVirtualTime, classTags.getValue(priorityClass))
        classTags[priorityClass] =
            classTags.getValue(priorityClass) + chosen.costTokens * 1_000 / weightOfClass.getValue(priorityClass)
        waiting -= chosen
        removeInactiveTags(priorityClass)
        return chosen
    }

    private fun removeInactiveTags(priorityClass: PriorityClass) {
        if (waiting.none { it.priorityClass == priorityClass }) teamTags.keys.removeIf { it.first == priorityClass }
        if (waiting.isEmpty()) classTags.clear()
    }
}
