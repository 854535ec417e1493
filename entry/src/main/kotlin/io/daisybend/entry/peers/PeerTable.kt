/*
 * The other VMs as this one hears them. A VM counts as alive while its reports come; as mutual while it also hears
 * this VM. Only mutual VMs share counters exactly, so the others are counted at their full share.
 */
package io.daisybend.entry.peers

import io.daisybend.platform.SocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Times that tell whether a peer is there. */
internal object PeerTimeouts {
    /** Time between reports, in milliseconds. */
    const val REPORT_INTERVAL_MS = 250L

    /** A peer without reports for this long is not alive, in milliseconds: four reports, some of them lost. */
    const val ALIVE_TIMEOUT_MS = 1_200L

    /** A peer without reports for this long may use rates unseen, in milliseconds: two lost reports. */
    const val MUTUAL_TIMEOUT_MS = 800L

    /** A peer without reports for this long is forgotten, in milliseconds: its keys have long failed closed by then. */
    const val EXPIRY_MS = 30_000L
}

/** One peer and its newest report. */
internal class Peer(val vm: String, val address: SocketAddress, var discoveredAtMs: Long) {
    @Volatile
    var report: PeerReport? = null

    @Volatile
    var lastReportAtMs: Long = Long.MIN_VALUE / 2
}

/** All peers that this VM knows. */
internal class PeerTable(private val ownVm: String) {
    private val peers = ConcurrentHashMap<String, Peer>()

    val all: Collection<Peer> get() = peers.values

    /** Learns that [vm] listens at [address]. */
    fun discover(vm: String, address: SocketAddress, nowMs: Long) {
        if (vm == ownVm) return
        val known = peers[vm]
        if (known == null || known.address != address) peers[vm] = Peer(vm, address, nowMs)
    }

    /** Takes in [report]; returns false when a newer one of the same start is known. */
    fun onReport(report: PeerReport, nowMs: Long): Boolean {
        discover(report.vm, SocketAddress(report.host, report.peerPort), nowMs)
        val peer = peers[report.vm] ?: return false
        val known = peer.report
        val isOutdated = known != null &&
            (
                report.startedAtMs < known.startedAtMs ||
                    (report.startedAtMs == known.startedAtMs && report.sequence <= known.sequence)
                )
        if (isOutdated) return false
        peer.report = report
        peer.lastReportAtMs = nowMs
        return true
    }

    /** The newest reports of the peers that are alive at [nowMs]. */
    fun aliveReports(nowMs: Long): List<PeerReport> =
        peers.values.filter { nowMs - it.lastReportAtMs < PeerTimeouts.ALIVE_TIMEOUT_MS }.mapNotNull { it.report }

    /** The part of all VMs that this one can't count on hearing and being heard by. */
    fun silentShare(nowMs: Long): Double {
        val silent = peers.values.count { peer -> !isMutuallyReachable(peer, nowMs) && peer.report?.stopping != true }
        return silent / (peers.size + 1.0)
    }

    private fun isMutuallyReachable(peer: Peer, nowMs: Long) =
        nowMs - peer.lastReportAtMs < PeerTimeouts.MUTUAL_TIMEOUT_MS && ownVm in peer.report?.alivePeers.orEmpty()

    /** Forgets peers that were silent for long. */
    fun removeExpired(nowMs: Long) {
        peers.values.removeIf { nowMs - maxOf(it.lastReportAtMs, it.discoveredAtMs) > PeerTimeouts.EXPIRY_MS }
    }
}
