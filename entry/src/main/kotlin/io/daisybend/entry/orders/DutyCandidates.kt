/*
 * Which VMs may take the order duty. Orders don't go through other VMs, so a VM that reaches no engine leaves the duty
 * to those that do, as far as there are any.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.peers.PeerReport
import io.daisybend.kernel.rankByRendezvous

/** Ranks [ownVm] among those [peers] that may hold the duty, as far as they reach engines. */
internal class DutyCandidates(
    private val ownVm: String,
    private val peers: () -> List<PeerReport>,
    private val isCutOff: () -> Boolean = { false },
    private val reachesEngines: (PeerReport) -> Boolean = { true },
) {
    /** Returns the rank of this VM, 0 first, or null if it is cut off from the engines and another candidate is not. */
    fun rank(): Int? {
        val candidates = peers()
        val reaching = candidates.filter(reachesEngines)
        if (!isCutOff()) return rankAmong(reaching)
        return if (reaching.isEmpty()) rankAmong(candidates) else null
    }

    /** Returns whether a holder must give the duty to another VM: it is cut off, and another candidate is not. */
    fun shouldHandOver(): Boolean = isCutOff() && peers().any(reachesEngines)

    private fun rankAmong(others: List<PeerReport>) =
        rankByRendezvous(RANKING_KEY, others.map { it.vm } + ownVm).indexOf(ownVm)

    companion object {
        /** The key of the ranking, which all VMs must share. */
        const val RANKING_KEY = "order-duty"
    }
}
