/*
 * The peers that can relay connections to endpoints, in the order in which they should be asked: one of the own failure
 * domain first, and then those of others, since a whole domain may be cut off. Otherwise the order is random, so that
 * the load of many VMs that are cut off is spread.
 */
package io.daisybend.entry.path

import io.daisybend.entry.peers.Peer
import io.daisybend.entry.peers.PeerTable
import java.util.concurrent.ConcurrentHashMap

/** Chooses among [peers] for a VM in [failureDomain]. */
internal class RelayPeers(
    private val peers: PeerTable,
    private val failureDomain: String,
    private val steadyMs: () -> Long,
) {
    private val leftOutUntilMs = ConcurrentHashMap<String, Long>()

    /** Returns the peers that can help now, the preferred ones first. */
    fun candidates(): List<Peer> {
        val nowMs = steadyMs()
        val (near, far) = peers.reachable(nowMs)
            .filter(::canHelp)
            .shuffled()
            .partition { it.report?.failureDomain == failureDomain }
        // Those that could not help are better than none.
        return (near.take(1) + far + near.drop(1)).sortedBy { nowMs < (leftOutUntilMs[it.vm] ?: Long.MIN_VALUE) }
    }

    /** Whether relayed connections through the peer [vm] may still be used. */
    fun mayUse(vm: String): Boolean {
        val peer = peers.find(vm) ?: return false
        return canHelp(peer) && peers.isAlive(peer, steadyMs())
    }

    /** Whether exchanges through the peer [vm] can't go on: it is gone, or is cut off itself. */
    fun isLost(vm: String): Boolean {
        val peer = peers.find(vm) ?: return true
        return !peers.isAlive(peer, steadyMs()) || peer.report?.cutOff == true
    }

    private fun canHelp(peer: Peer): Boolean = peer.report?.let { !it.stopping && !it.cutOff } ?: false

    /** Puts [peer] behind the others for a while, since it could not help. */
    fun onUnavailable(peer: Peer) {
        leftOutUntilMs[peer.vm] = steadyMs() + LEFT_OUT_MS
    }

    private companion object {
        /** How long a peer that could not help comes after the others, in milliseconds. */
        const val LEFT_OUT_MS = 1_000L
    }
}
