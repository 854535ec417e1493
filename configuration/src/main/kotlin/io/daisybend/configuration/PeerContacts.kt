/*
 * Tracks the other VMs: which were probed, which responded and which offset they have reached. At a small site all
 * peers are probed within one freshness window. In a large fleet a random sample of them is probed, and a larger share
 * of the sample must respond.
 */
package io.daisybend.configuration

import io.daisybend.kernel.VmId
import kotlin.random.Random

internal class PeerContacts(private val random: Random) {
    private class Contact(var lastProbedAtMs: Long) {
        var answeredProbeAtMs = NEVER_MS
        var nextOffset = -1L
        var isVoter = false
    }

    private class OpenProbe(val peer: VmId, val sentAtMs: Long)

    private val contacts = HashMap<VmId, Contact>()
    private val openProbes = LinkedHashMap<Int, OpenProbe>()
    private var peers = emptyList<VmId>()
    private var peerSet = emptySet<VmId>()
    private var probeQueue = ArrayDeque<VmId>()
    private var nextSequence = 0
    private var hasPeerList = false

    val size: Int get() = peers.size

    fun updatePeers(newPeers: List<VmId>) {
        hasPeerList = true
        if (newPeers == peers) return
        peers = newPeers
        peerSet = newPeers.toSet()
        probeQueue = ArrayDeque(newPeers.shuffled(random))
        contacts.keys.retainAll(peerSet)
    }

    /** Returns the next [count] distinct peers; every peer is returned once before any peer is returned again. */
    fun nextPeers(count: Int): List<VmId> {
        val peerCount = minOf(count, peers.size)
        if (probeQueue.size < peerCount) probeQueue.addAll(peers.shuffled(random).filterNot { it in probeQueue })
        return List(peerCount) { probeQueue.removeFirst() }
    }

    fun startProbe(peer: VmId, nowMs: Long): Int {
        val sequence = nextSequence++
        openProbes[sequence] = OpenProbe(peer, nowMs)
        if (peer in peerSet) contacts.getOrPut(peer) { Contact(nowMs) }.lastProbedAtMs = nowMs
        if (openProbes.size > MAX_OPEN_PROBES) openProbes.remove(openProbes.keys.first())
        return sequence
    }

    /** Returns when the probe was sent, or null if [peer] was not sent this probe or has already answered it. */
    fun finishProbe(peer: VmId, sequence: Int): Long? {
        if (openProbes[sequence]?.peer != peer) return null
        return openProbes.remove(sequence)?.sentAtMs
    }

    fun recordResponse(peer: VmId, probedAtMs: Long, response: GossipMessage.ProbeResponse) {
        val contact = contacts[peer] ?: return
        if (probedAtMs < contact.answeredProbeAtMs) return
        contact.answeredProbeAtMs = probedAtMs
        contact.nextOffset = response.nextOffset
        contact.isVoter = response.isVoter
    }

    /**
     * Returns whether most VMs have replayed all records before [nextOffset]. This VM contributes [ownVotes], 0 or 1.
     * Each voting peer counts if it answered a probe sent since [sinceMs] with [nextOffset] or beyond. With more than
     * [minSampleSize] peers, a larger share of a sample of at least that many probed peers must agree instead.
     */
    fun isMajority(ownVotes: Int, sinceMs: Long, minSampleSize: Int, nextOffset: Long = 0): Boolean {
        val probed = contacts.values.filter { it.lastProbedAtMs >= sinceMs }
        val agreeing = probed.count { it.answeredProbeAtMs >= sinceMs && it.isVoter && it.nextOffset >= nextOffset }
        val isEveryPeerProbed = peers.size <= minSampleSize
        val sampleSize = if (isEveryPeerProbed) peers.size else maxOf(probed.size, minSampleSize)
        return hasPeerList &&
            agreeing + ownVotes > (sampleSize + 1) * (if (isEveryPeerProbed) MAJORITY_SHARE else SAMPLE_MAJORITY_SHARE)
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE
        const val MAX_OPEN_PROBES = 256
        const val MAJORITY_SHARE = 0.5
        const val SAMPLE_MAJORITY_SHARE = 0.6
    }
}
