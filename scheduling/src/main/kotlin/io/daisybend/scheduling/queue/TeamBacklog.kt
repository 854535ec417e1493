/*
 * Holds the waiting requests of one team within one priority class, ordered by deadline and then by arrival.
 */
package io.daisybend.scheduling.queue

import io.daisybend.kernel.TeamId
import java.util.TreeSet

internal class QueueEntry(val request: QueuedRequest, val sequence: Long) : Comparable<QueueEntry> {
    override fun compareTo(other: QueueEntry): Int {
        val byDeadline = request.deadlineMs.compareTo(other.request.deadlineMs)
        return if (byDeadline != 0) byDeadline else sequence.compareTo(other.sequence)
    }
}

internal class TeamBacklog(val teamId: TeamId, var shareWeight: Int) {
    private val waiting = TreeSet<QueueEntry>()

    var tokens = 0L
        private set

    val size: Int get() = waiting.size

    fun add(entry: QueueEntry) {
        if (waiting.add(entry)) tokens += entry.request.costTokens
    }

    fun remove(entry: QueueEntry) {
        if (waiting.remove(entry)) tokens -= entry.request.costTokens
    }

    fun first(): QueueEntry = waiting.first()

    fun last(): QueueEntry = waiting.last()

    fun requests(): List<QueueEntry> = waiting.toList()

    /** Returns the total tokens of the requests with a deadline up to and including [deadlineMs]. */
    fun tokensBefore(deadlineMs: Long): Long =
        waiting.asSequence().takeWhile { it.request.deadlineMs <= deadlineMs }.sumOf { it.request.costTokens }
}
