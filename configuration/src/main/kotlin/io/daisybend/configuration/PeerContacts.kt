/*
 * What a VM knows of the others: whom it asked, who answered and how far they are. All peers of a small site are asked
 * within one window; of a large fleet a random sample is, and a larger share of it has to answer.
 */
package io.daisybend.configuration

import io.daisybend.kernel.VmId
import kotlin.random.Random

internal class PeerContacts(private val random: Random) {
    private class Contact(var requestedAtMs: Long) {
        var heardAtMs = NEVER_MS
        var nextOffset = -1L
        var counts = false
    }

    private class OpenProbe(val peer: VmId, val sentAtMs: Long)

    private val contacts = HashMap<VmId, Contact>()
    private val openProbes = LinkedHashMap<Int, OpenProbe>()
    private var peers = emptyList<VmId>()
    private var peerSet = emptySet<VmId>()
    private var queue = ArrayDeque<VmId>()
    private var nextSequence = 0
    private var isListed = false

    val size: Int get() = peers.size

    fun list(listed: List<VmId>) {
        isListed = true
        if (listed == peers) return
        peers = listed
        peerSet = listed.toSet()
        queue = ArrayDeque(listed.shuffled(random))
        contacts.keys.retainAll(peerSet)
    }

    /** Returns the next [count] distinct peers, each one once before any comes again. */
    fun next(count: Int): List<VmId> {
        val wanted = minOf(count, peers.size)
        if (queue.size < wanted) queue.addAll(peers.shuffled(random).filterNot { it in queue })
        return List(wanted) { queue.removeFirst() }
    }

    fun openProbe(peer: VmId, nowMs: Long): Int {
        val sequence = nextSequence++
        openProbes[sequence] = OpenProbe(peer, nowMs)
        if (peer in peerSet) contacts.getOrPut(peer) { Contact(nowMs) }.requestedAtMs = nowMs
        if (openProbes.size > MAX_OPEN_PROBES) openProbes.remove(openProbes.keys.first())
        return sequence
    }

    /** Returns when the answered probe was sent; null if [peer] was not asked or has answered already. */
    fun closeProbe(peer: VmId, sequence: Int): Long? {
        if (openProbes[sequence]?.peer != peer) return null
        return openProbes.remove(sequence)?.sentAtMs
    }

    fun heard(peer: VmId, atMs: Long, answer: GossipMessage.ProbeResponse) {
        val contact = contacts[peer] ?: return
        if (atMs < contact.heardAtMs) return
        contact.heardAtMs = atMs
        contact.nextOffset = answer.nextOffset
        contact.counts = answer.counts
    }

    /**
     * Tells whether [own] VMs, 1 or 0, and those that were asked and have answered since [sinceMs], count and are at
     * [nextOffset] or beyond are most of all VMs; of a fleet larger than [minSample], of the VMs that were asked.
     */
    fun isMajority(own: Int, sinceMs: Long, minSample: Int, nextOffset: Long = 0): Boolean {
        val asked = contacts.values.filter { it.requestedAtMs >= sinceMs }
        val heard = asked.count { it.heardAtMs >= sinceMs && it.counts && it.nextOffset >= nextOffset }
        val isWhole = peers.size <= minSample
        val sampleSize = if (isWhole) peers.size else maxOf(asked.size, minSample)
        return isListed && heard + own > (sampleSize + 1) * (if (isWhole) WHOLE_SHARE else SAMPLE_SHARE)
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE
        const val MAX_OPEN_PROBES = 256
        const val WHOLE_SHARE = 0.5
        const val SAMPLE_SHARE = 0.6
    }
}
