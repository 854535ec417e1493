/*
 * Turns the request counts that VMs report since their starts into a history of uses.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.peers.PeerTimes
import io.daisybend.serving.residency.UseHistory

/** The counts read last, by VM and start; used by one coroutine. */
internal class RequestCounts {
    private class Seen(val counts: Map<String, Int>, val atMs: Long)

    private val seenByStart = HashMap<String, Seen>()

    /** When models and adapters were asked for. */
    val history = UseHistory()

    /** Takes in what was counted by [nowMs]; the first counts of a start say nothing of when they came about. */
    fun read(countsByStart: Map<String, Map<String, Int>>, nowMs: Long) {
        countsByStart.forEach { (start, counts) ->
            val before = seenByStart.put(start, Seen(counts, nowMs)) ?: return@forEach
            counts.forEach { (key, count) ->
                val added = count - (before.counts[key] ?: 0)
                if (added > 0) history.used(key, added, nowMs)
            }
        }
        seenByStart.values.removeIf { nowMs - it.atMs > FORGET_MS }
    }

    private companion object {
        /** Counts not read for this long are forgotten, in milliseconds: the peers' table forgets the VM as well. */
        const val FORGET_MS = PeerTimes.FORGET_MS
    }
}
