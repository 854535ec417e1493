/*
 * The other VMs, as far as this VM receives their reports. A VM is alive while its reports arrive, and mutually
 * reachable while it also receives the reports of this VM. Only mutually reachable VMs know each other's rate counters
 * exactly, so the others are assumed to use their full share.
 */
package io.daisybend.entry.peers

import io.daisybend.platform.SocketAddress
import io.daisybend.serving.directory.RunningVms
import io.daisybend.serving.rates.FleetContact
import java.util.concurrent.ConcurrentHashMap

/** A peer and its newest report. */
internal class Peer(val vm: String, val address: SocketAddress, var discoveredAtMs: Long) {
    @Volatile
    var report: PeerReport? = null

    @Volatile
    var lastReportAtMs: Long = Long.MIN_VALUE / 2

    /** Whether the peer reported that it holds the order duty. */
    val holdsDuty: Boolean get() = report?.holdsDuty == true
}

/** What a received report changed. */
internal enum class ReportEffect {
    /** The report is not newer than the stored one. */
    OUTDATED,
    UPDATED,

    /** The report is the first one of a process. */
    PROCESS_FOUND,

    /** The sender and this VM receive each other's reports again, or for the first time. */
    CONTACT_GAINED,
}

/** Peers known to this VM. */
internal class PeerTable(private val ownVm: String, private val schedule: ReportSchedule) {
    private val peers = ConcurrentHashMap<String, Peer>()
    private val running = RunningVms()

    val all: Collection<Peer> get() = peers.values

    /** Number of VMs, including this one. */
    val vmCount: Int get() = peers.size + 1

    /** Interval of regular reports, in milliseconds. */
    val reportIntervalMs: Long get() = schedule.intervalMs(vmCount)

    /** How long a change is contained in regular reports, in milliseconds. */
    val repeatWindowMs: Long get() = schedule.repeatWindowMs(vmCount)

    /** Returns the peer [vm], or null. */
    fun find(vm: String): Peer? = peers[vm]

    /** Adds or updates the peer [vm] at [address]. */
    fun discover(vm: String, address: SocketAddress, nowMs: Long) {
        if (vm == ownVm) return
        val known = peers[vm]
        if (known == null || known.address != address) peers[vm] = Peer(vm, address, nowMs)
    }

    /** Stores [report] unless it is outdated. */
    fun onReport(report: PeerReport, nowMs: Long): ReportEffect {
        discover(report.vm, SocketAddress(report.host, report.peerPort), nowMs)
        running.onReport(report.vm, report.startedAtMs, report.uptimeMs, report.stopping, nowMs)
        val peer = peers[report.vm] ?: return ReportEffect.OUTDATED
        val known = peer.report
        val isSameProcess = known?.startedAtMs == report.startedAtMs
        val isOutdated = known != null &&
            (report.startedAtMs < known.startedAtMs || (isSameProcess && report.sequence <= known.sequence))
        if (isOutdated) return ReportEffect.OUTDATED
        val wasReachable = isMutuallyReachable(peer, nowMs, schedule.mutualTimeoutMs(vmCount))
        peer.report = report
        peer.lastReportAtMs = nowMs
        return when {
            !isSameProcess -> ReportEffect.PROCESS_FOUND
            !wasReachable && ownVm in report.alivePeers -> ReportEffect.CONTACT_GAINED
            else -> ReportEffect.UPDATED
        }
    }

    /** Returns the newest reports of the peers that are alive at [nowMs]. */
    fun aliveReports(nowMs: Long): List<PeerReport> {
        val timeoutMs = schedule.aliveTimeoutMs(vmCount)
        return peers.values.filter { nowMs - it.lastReportAtMs < timeoutMs }.mapNotNull { it.report }
    }

    /** Returns the peers that hear this VM, and which it hears, at [nowMs]. */
    fun reachable(nowMs: Long): List<Peer> {
        val timeoutMs = schedule.mutualTimeoutMs(vmCount)
        return peers.values.filter { isMutuallyReachable(it, nowMs, timeoutMs) }
    }

    /** Returns the newest reports of the peers that the directory may name at [nowMs]. */
    fun directoryReports(nowMs: Long): List<PeerReport> {
        val timeoutMs = schedule.directoryTimeoutMs(vmCount)
        return peers.values.mapNotNull { it.report }
            .filter { running.isRunning(it.vm, it.startedAtMs, timeoutMs, nowMs) }
    }

    /** Returns whether [peer] is alive at [nowMs]. */
    fun isAlive(peer: Peer, nowMs: Long): Boolean = nowMs - peer.lastReportAtMs < schedule.aliveTimeoutMs(vmCount)

    /** Returns the contact of this VM with its peers at [nowMs]; VMs that are stopping are not out of contact. */
    fun contact(nowMs: Long): FleetContact {
        val timeoutMs = schedule.mutualTimeoutMs(vmCount)
        val unreachable =
            peers.values.filter { !isMutuallyReachable(it, nowMs, timeoutMs) && it.report?.stopping != true }
        return FleetContact(
            vmCount = vmCount,
            unreachableShare = unreachable.size / vmCount.toDouble(),
            lostShare = unreachable.count { it.report != null } / vmCount.toDouble(),
            detectionMs = timeoutMs,
            unreachableVms = unreachable.mapTo(HashSet()) { it.vm },
            lostVms = unreachable.filter { it.report != null }.mapTo(HashSet()) { it.vm },
        )
    }

    private fun isMutuallyReachable(peer: Peer, nowMs: Long, timeoutMs: Long) =
        nowMs - peer.lastReportAtMs < timeoutMs && ownVm in peer.report?.alivePeers.orEmpty()

    /** Removes peers without reports for [EXPIRY_MS]. */
    fun removeExpired(nowMs: Long) {
        peers.values.removeIf { nowMs - maxOf(it.lastReportAtMs, it.discoveredAtMs) > EXPIRY_MS }
        running.retain(peers.keys)
    }

    private companion object {
        /**
         * A peer without reports for this long is removed, in milliseconds. A VM that is cut off refuses all keys long
         * before.
         */
        const val EXPIRY_MS = 30_000L
    }
}
