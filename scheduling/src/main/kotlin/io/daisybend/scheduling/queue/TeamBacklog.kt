/*
 * The waiting requests of one team within one priority class, earliest deadline first.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.TeamId
import java.util.TreeSet

internal class WaitingRequest(val request: QueuedRequest, val sequence: Long) : Comparable<WaitingRequest> {
    override fun compareTo(other: WaitingRequest): Int {
        val byDeadline = request.deadlineMs.compareTo(other.request.deadlineMs)
        return if (byDeadline != 0) byDeadline else sequence.compareTo(other.sequence)
    }
}

internal class TeamBacklog(val teamId: TeamId, var shareWeight: Int) {
    private val waiting = TreeSet<WaitingRequest>()

    var tokens = 0L
        private set

    val size: Int get() = waiting.size

    fun add(entry: WaitingRequest) {
        if (waiting.add(entry)) tokens += entry.request.costTokens
    }

    fun remove(entry: WaitingRequest) {
        if (waiting.remove(entry)) tokens -= entry.request.costTokens
    }

    fun first(): WaitingRequest = waiting.first()

    fun last(): WaitingRequest = waiting.last()

    fun requests(): List<WaitingRequest> = waiting.toList()

    /** Returns the tokens of the requests whose deadline is at most [deadlineMs]. */
    fun tokensBefore(deadlineMs: Long): Long =
        waiting.asSequence().takeWhile { it.request.deadlineMs <= deadlineMs }.sumOf { it.request.costTokens }
}
