/*
 * What this VM tells its peers, and what it does with what they tell.
 */
package io.daisybend.entry

import io.daisybend.entry.peers.DutyReport
import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.peers.TeamUseReport
import io.daisybend.entry.peers.toHoldings
import io.daisybend.entry.store.ConfigurationFollower
import io.daisybend.platform.VmSettings
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.rates.TeamLimits
import io.daisybend.serving.rates.TeamUse
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.ClockReading
import java.util.concurrent.atomic.AtomicLong

/** Writes this VM's reports and takes in those of its peers; [renew] appends a peer's record of the order duty. */
internal class PeerExchange(
    private val settings: VmSettings,
    private val clocks: ClockPair,
    private val startedAt: ClockReading,
    private val readiness: Readiness,
    private val configuration: ConfigurationFollower,
    private val table: EndpointTable,
    private val peers: PeerTable,
    private val limits: TeamLimits,
    private val log: EventLog,
    private val renew: (DutyReport) -> Unit,
    partsOf: () -> FleetParts,
) {
    private val parts by lazy(partsOf)
    private val sequence = AtomicLong()

    /** Returns this VM's report. */
    fun makeReport(): PeerReport {
        val now = clocks.read()
        return PeerReport(
            vm = settings.vm,
            startedAtMs = startedAt.wallMs,
            uptimeMs = now.steadyMs - startedAt.steadyMs,
            sequence = sequence.incrementAndGet(),
            host = settings.ip,
            peerPort = settings.peerPort,
            callerPort = settings.callerAddress.port,
            failureDomain = settings.failureDomain,
            ready = readiness.isReady,
            stopping = readiness.isStopping,
            storeAgeMs = configuration.confirmationAgeMs(),
            hears = peers.alive(now.steadyMs).map { it.vm },
            teams = limits.report().map { (team, use) -> TeamUseReport(team, use.admitted, use.level) },
            duty = parts.duty.newest(),
            renewal = parts.duty.renewalToAsk(),
            holdsDuty = parts.duty.currentTurn() != null,
            endpoints = parts.desk.places.uses(),
            wants = parts.desk.ownWants(),
            requests = parts.desk.requestCounts(),
            holdings = if (parts.duty.currentTurn() != null) parts.orders.announcements() else emptyList(),
        )
    }

    /** Takes in a peer's [report]. */
    fun onReport(report: PeerReport) {
        val now = clocks.read().steadyMs
        val isNewPeer = peers.all.none { it.vm == report.vm && it.report?.startedAtMs == report.startedAtMs }
        if (!peers.onReport(report, now)) return
        if (isNewPeer) {
            log.write("peer-joined", "peer" to report.vm, "startedAtMs" to report.startedAtMs)
            parts.link.reportSoon()
        }
        val isOlder = report.uptimeMs > now - startedAt.steadyMs + OLDER_BY_MS
        val uses = report.teams.associate { it.team to TeamUse(it.admitted, it.level) }
        limits.onPeerUse(report.vm, report.startedAtMs, uses, isOlder, now)
        report.duty?.let(parts.duty::onReport)
        report.renewal?.let(renew)
        if (report.holdings.isNotEmpty()) {
            report.holdings.forEach { table.announce(Incarnation(it.engine, it.bornMs), it.toHoldings(), now) }
            parts.desk.endpointsChanged()
        }
        if (report.wants.isNotEmpty() && parts.duty.currentTurn() != null) parts.orders.lookSoon()
    }

    private companion object {
        /** A peer that runs longer by this knows the rates' state better, in milliseconds. */
        const val OLDER_BY_MS = 1_000L
    }
}
