/*
 * The fleet as one VM sees it: what the peers reported lately, together with what this VM knows of itself.
 */
package io.daisybend.entry

import io.daisybend.entry.exchange.EndpointDesk
import io.daisybend.entry.exchange.FleetView
import io.daisybend.entry.orders.DutyRunner
import io.daisybend.entry.orders.DutyView
import io.daisybend.entry.orders.OrderRunner
import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.PeerLink
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.peers.WantReport

/** The parts of this VM that the fleet's view draws on. */
internal class FleetParts(
    val desk: EndpointDesk,
    val duty: DutyRunner,
    val orders: OrderRunner,
    val link: PeerLink,
)

/** The fleet around [ownVm]; [partsOf] gives them once all parts of the VM are put together. */
internal class Fleet(
    private val ownVm: String,
    private val peers: PeerTable,
    private val steadyMs: () -> Long,
    partsOf: () -> FleetParts,
) : FleetView, DutyView {
    private val parts by lazy(partsOf)
    private val desk get() = parts.desk
    private val duty get() = parts.duty
    private val orders get() = parts.orders
    private val link get() = parts.link

    override fun peerUses(): Map<String, List<EndpointUse>> =
        peers.alive(steadyMs()).flatMap { it.endpoints }.groupBy { it.endpoint }

    override fun allUses(): Map<String, List<EndpointUse>> =
        (peers.alive(steadyMs()).flatMap { it.endpoints } + desk.places.uses()).groupBy { it.endpoint }

    override fun allWants(): List<WantReport> = peers.alive(steadyMs()).flatMap { it.wants } + desk.ownWants()

    override fun allRequestCounts(): Map<String, Map<String, Int>> =
        peers.alive(steadyMs()).associate { "${it.vm}@${it.startedAtMs}" to it.requests } +
            (ownVm to desk.requestCounts())

    override fun loadedInMs(model: String): Long? =
        (peers.alive(steadyMs()).flatMap { it.holdings } + orders.announcements())
            .filter { it.loading == model }.minOfOrNull { it.loadedInMs }

    override fun isDutyHeld(): Boolean =
        duty.currentTurn() != null || peers.alive(steadyMs()).any { it.holdsDuty }

    override fun vmCount(): Int = peers.all.size + 1

    override fun wantsChanged() {
        if (duty.currentTurn() != null) orders.lookSoon() else link.reportSoon()
    }

    override fun announceSoon() {
        desk.endpointsChanged()
        link.reportSoon()
    }
}
