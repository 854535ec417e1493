/*
 * Joins the shared reads of the list of endpoints with the peers: which VMs read for a failure domain, and the sending
 * of what a reader has read. Only fleets above a size share reads.
 */
package io.daisybend.entry.store

import io.daisybend.entry.EventLog
import io.daisybend.entry.peers.EndpointRelayReport
import io.daisybend.entry.peers.PeerLink
import io.daisybend.entry.peers.PeerTable
import io.daisybend.serving.endpoint.ListRelay
import io.daisybend.serving.site.StorePolling

/** Shares reads among the VMs of [failureDomain]. */
internal class ListSharing(
    private val ownVm: String,
    private val failureDomain: String,
    private val linkMbps: Double,
    private val peers: PeerTable,
    private val polling: StorePolling,
    private val log: EventLog,
    private val steadyMs: () -> Long,
    private val isStopping: () -> Boolean,
    private val peerLink: () -> PeerLink,
) {
    private var loggedRank: Int? = null

    /** Whether the fleet is large enough for shared reads. */
    val isShared: Boolean get() = polling.isLargeFleet(peers.vmCount)

    /** Returns the place of this VM among the readers of its failure domain, or null if it is none. */
    fun readerRank(): Int? {
        val maxAgeMs = polling.operatorTimes(peers.vmCount).maxUsableAgeMs
        val others = peers.aliveReports(steadyMs())
            .filter { it.failureDomain == failureDomain && !it.stopping && it.storeAgeMs < maxAgeMs }
            .map { it.vm }
        val rank = if (isStopping() || !isShared) null else ListRelay.readerRank(failureDomain, ownVm, others)
        if (rank !=
            loggedRank
        ) {
            log.write("endpoint-list-reader", "rank" to (rank ?: "none"), "domainVms" to others.size)
        }
        loggedRank = rank
        return rank
    }

    /** Sends the reports that [relays] return to the VMs of the failure domain, unless they are too many bytes. */
    suspend fun send(bytes: Int, relays: List<() -> EndpointRelayReport>) {
        val now = steadyMs()
        val recipients =
            peers.all.filter { peers.isAlive(it, now) && it.report?.failureDomain == failureDomain }
        val linkMs = bytes.toLong() * recipients.size * BITS_PER_BYTE / (linkMbps * BITS_PER_MEGABIT_MS)
        if (linkMs > MAX_LINK_MS) {
            log.write("endpoint-list-unshared", "bytes" to bytes, "recipients" to recipients.size)
            return
        }
        peerLink().relay(relays, recipients)
    }

    private companion object {
        const val BITS_PER_BYTE = 8
        const val BITS_PER_MEGABIT_MS = 1_000.0

        /** Time of the own link that the relay of one read may take, in milliseconds: a quarter of the interval. */
        const val MAX_LINK_MS = 210
    }
}
