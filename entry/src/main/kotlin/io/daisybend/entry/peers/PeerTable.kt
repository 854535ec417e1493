/*
 * The other VMs, as far as this VM receives their reports. A VM is alive while its reports arrive, and mutually
 * reachable while it also receives the reports of this VM. Only mutually reachable VMs know each other's rate counters
 * exactly, so the others are assumed to use their full share.
 */
package io.daisybend.entry.peers

import io.daisybend.platform.SocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Timing of peer reports and of failure detection. */
internal object PeerTimeouts {
    /** Interval between reports, in milliseconds. */
    const val REPORT_INTERVAL_MS = 250L

    /** A peer without reports for this long is not alive, in milliseconds: four reports, some of which may be lost. */
    const val ALIVE_TIMEOUT_MS = 1_200L

    /**
     * A peer without reports for this long may use rates that this VM does not see, in milliseconds: two lost reports.
     */
    const val MUTUAL_TIMEOUT_MS = 800L

    /**
     * A peer without reports for this long is removed, in milliseconds. A VM that is cut off refuses all keys long
     * before.
     */
    const val EXPIRY_MS = 30_000L
}

/** A peer and its newest report. */
internal class Peer(val vm: String, val address: SocketAddress, var discoveredAtMs: Long) {
    @Volatile
    var report: PeerReport? = null

    @Volatile
    var lastReportAtMs: Long = Long.MIN_VALUE / 2
}

/** Peers known to this VM. */
internal class PeerTable(private val ownVm: String) {
    private val peers = ConcurrentHashMap<String, Peer>()

    val all: Collection<Peer> get() = peers.values

    /** Adds or updates the peer [vm] at [address]. */
    fun discover(vm: String, address: SocketAddress, nowMs: Long) {
        if (vm == ownVm) return
        val known = peers[vm]
        if (known == null || known.address != address) peers[vm] = Peer(vm, address, nowMs)
    }

    /** Stores [report]; returns false if it is not newer than the stored one. */
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

    /** Returns the newest reports of the peers that are alive at [nowMs]. */
    fun aliveReports(nowMs: Long): List<PeerReport> =
        peers.values.filter { nowMs - it.lastReportAtMs < PeerTimeouts.ALIVE_TIMEOUT_MS }.mapNotNull { it.report }

    /**
     * Returns the share of all VMs that are not mutually reachable from this one; VMs that are stopping do not count.
     */
    fun unreachableShare(nowMs: Long): Double {
        val silent = peers.values.count { peer -> !isMutuallyReachable(peer, nowMs) && peer.report?.stopping != true }
        return silent / (peers.size + 1.0)
    }

    private fun isMutuallyReachable(peer: Peer, nowMs: Long) =
        nowMs - peer.lastReportAtMs < PeerTimeouts.MUTUAL_TIMEOUT_MS && ownVm in peer.report?.alivePeers.orEmpty()

    /** Removes peers without reports for [PeerTimeouts.EXPIRY_MS]. */
    fun removeExpired(nowMs: Long) {
        peers.values.removeIf { nowMs - maxOf(it.lastReportAtMs, it.discoveredAtMs) > PeerTimeouts.EXPIRY_MS }
    }
}
