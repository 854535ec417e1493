/*
 * State of the whole fleet as this VM knows it: recent reports of the peers combined with the state of this VM.
 */
package io.daisybend.entry

import io.daisybend.entry.exchange.EndpointPool
import io.daisybend.entry.exchange.FleetView
import io.daisybend.entry.orders.FleetDemandView
import io.daisybend.entry.orders.LeaseManager
import io.daisybend.entry.orders.OrderController
import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.LoadForecast
import io.daisybend.entry.peers.PeerLink
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.peers.QueuedDemandReport
import io.daisybend.serving.duty.DutyContact
import io.daisybend.serving.duty.DutyOutlook

/** Components of this VM that [Fleet] reads from. */
internal class VmComponents(
    val endpointPool: EndpointPool,
    val leaseManager: LeaseManager,
    val orderController: OrderController,
    val peerLink: PeerLink,
)

/** The fleet as seen by [ownVm]; [components] is called only after all components have been created. */
internal class Fleet(
    private val ownVm: String,
    private val peers: PeerTable,
    private val loadForecast: LoadForecast,
    private val steadyMs: () -> Long,
    private val components: () -> VmComponents,
) : FleetView, FleetDemandView {
    private val endpointPool get() = components().endpointPool
    private val leaseManager get() = components().leaseManager
    private val orderController get() = components().orderController
    private val peerLink get() = components().peerLink

    private class KnownOutlook(val outlook: DutyOutlook, val computedAtMs: Long)

    @Volatile
    private var outlook: KnownOutlook? = null

    override fun allUses(): Map<String, List<EndpointUse>> =
        (peers.aliveReports(steadyMs()).flatMap { it.endpoints } + endpointPool.exchanges.endpointUses())
            .groupBy { it.endpoint }

    override fun allQueuedDemand(): List<QueuedDemandReport> =
        peers.aliveReports(steadyMs()).flatMap { it.queuedDemand } + endpointPool.demand.queuedDemand()

    override fun allRequestCounts(): Map<String, Map<String, Int>> =
        peers.aliveReports(steadyMs()).associate { "${it.vm}@${it.startedAtMs}" to it.requests } +
            (ownVm to endpointPool.demand.requestCounts(peers.repeatWindowMs))

    override fun loadedInMs(model: String): Long? {
        // A former holder of the duty does not hear the ends of the loads that it announced.
        val ownMs = leaseManager.currentEpoch()?.let { orderController.loadedInMs(model) }
        val isDutyHeld = dutyOutlook() == DutyOutlook.Held
        return listOfNotNull(ownMs, loadForecast.loadedInMs(model, steadyMs(), isDutyHeld)).minOrNull()
    }

    override fun dutyOutlook(): DutyOutlook {
        val now = steadyMs()
        outlook?.takeIf { now - it.computedAtMs < MAX_PEER_STATE_AGE_MS }?.let { return it.outlook }
        val heard = peers.aliveReports(now)
        val contact = DutyContact(
            isHolderHeard = heard.any { it.holdsDuty },
            isAnyVmHeard = heard.isNotEmpty() || peers.vmCount == 1,
            reportIntervalMs = peers.reportIntervalMs,
        )
        return leaseManager.outlook(contact).also { outlook = KnownOutlook(it, now) }
    }

    override fun vmCount(): Int = peers.vmCount

    override fun onDemandChanged() {
        if (leaseManager.currentEpoch() != null) orderController.reconcileSoon() else peerLink.reportDemandSoon()
    }

    override fun announceSoon() {
        endpointPool.onEndpointsChanged()
        peerLink.reportSoon()
    }

    private companion object {
        /** How long what the peers reported is kept combined, in milliseconds: well below the interval of reports. */
        const val MAX_PEER_STATE_AGE_MS = 25L
    }
}
