/*
 * Two naive queues for comparison: first come first served, and start-time fair queueing written as a scan over a list.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass

internal class FirstComeQueue {
    private val waiting = ArrayDeque<QueuedRequest>()

    fun add(request: QueuedRequest) {
        waiting += request
    }

    fun next(): QueuedRequest? = waiting.removeFirstOrNull()
}

/** Scans all waiting requests for each choice; teams are weighted equally within a class. */
internal class ScanningFairQueue(private val weightOfClass: Map<PriorityClass, Int>) {
    private val waiting = ArrayList<QueuedRequest>()
    private val teamTags = HashMap<Pair<PriorityClass, TeamId>, Long>()
    private val teamTimes = HashMap<PriorityClass, Long>()
    private val classTags = HashMap<PriorityClass, Long>()
    private var classTime = 0L

    fun add(request: QueuedRequest) {
        val team = request.priorityClass to request.teamId
        if (waiting.none { it.priorityClass == request.priorityClass && it.teamId == request.teamId }) {
            teamTags[team] = maxOf(teamTags[team] ?: 0, teamTimes[request.priorityClass] ?: 0)
        }
        if (waiting.none { it.priorityClass == request.priorityClass }) {
            classTags[request.priorityClass] = maxOf(classTags[request.priorityClass] ?: 0, classTime)
        }
        waiting += request
    }

    fun next(): QueuedRequest? {
        val priorityClass = waiting.map { it.priorityClass }.distinct()
            .minWithOrNull(compareBy({ classTags.getValue(it) }, { it })) ?: return null
        val ofClass = waiting.filter { it.priorityClass == priorityClass }
        val chosen = ofClass.minWith(
            compareBy({ teamTags.getValue(priorityClass to it.teamId) }, { it.teamId.value }, { it.deadlineMs }),
        )
        val team = priorityClass to chosen.teamId
        teamTimes[priorityClass] = maxOf(teamTimes[priorityClass] ?: 0, teamTags.getValue(team))
        teamTags[team] = teamTags.getValue(team) + chosen.costTokens * 1_000 / chosen.shareWeight
        classTime = maxOf(classTime, classTags.getValue(priorityClass))
        classTags[priorityClass] =
            classTags.getValue(priorityClass) + chosen.costTokens * 1_000 / weightOfClass.getValue(priorityClass)
        waiting -= chosen
        forgetIdle(priorityClass)
        return chosen
    }

    private fun forgetIdle(priorityClass: PriorityClass) {
        if (waiting.none { it.priorityClass == priorityClass }) teamTags.keys.removeIf { it.first == priorityClass }
        if (waiting.isEmpty()) classTags.clear()
    }
}
