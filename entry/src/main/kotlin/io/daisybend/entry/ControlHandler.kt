/*
 * Serves the requests that are not forwarded to endpoints: readiness, the addresses of VMs for callers, and metrics.
 */
package io.daisybend.entry

import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.store.ConfigurationWatcher
import io.daisybend.platform.DirectoryRequest
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.VmSettings
import io.daisybend.platform.readDirectoryRequest
import io.daisybend.platform.writeAddresses
import io.daisybend.serving.directory.DirectoryCaller
import io.daisybend.serving.directory.ListedVm
import io.daisybend.serving.directory.chooseListed
import io.daisybend.serving.endpoint.HomeRegions

/** Readiness of a VM for requests. */
internal interface Readiness {
    /** Whether callers should use this VM. */
    val isReady: Boolean

    /** Whether this VM is shutting down. */
    val isStopping: Boolean
}

/** Responds to readiness, directory and metrics requests from the state of this VM and the reports of its [peers]. */
internal class ControlHandler(
    private val settings: VmSettings,
    private val readiness: Readiness,
    private val peers: PeerTable,
    private val configuration: ConfigurationWatcher,
    private val homeRegions: HomeRegions,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    /** Returns the response to the request with [head]; 404 for an unknown path. */
    fun respond(head: RequestHead): ControlResponse = when (val request = readDirectoryRequest(head.target)) {
        DirectoryRequest.Readiness -> ControlResponse(if (readiness.isReady) STATUS_OK else STATUS_UNAVAILABLE)
        is DirectoryRequest.Addresses -> respondWithAddresses(request)
        DirectoryRequest.Unknown -> when (head.path) {
            METRICS_PATH -> ControlResponse(STATUS_OK, body = metrics.text())
            else -> ControlResponse(STATUS_NOT_FOUND)
        }
    }

    private fun respondWithAddresses(request: DirectoryRequest.Addresses): ControlResponse {
        val now = steadyMs()
        val others = peers.directoryReports(now)
        val ownAgeMs = configuration.confirmationAgeMs()
        val lowestAgeMs = minOf(ownAgeMs, others.minOfOrNull { it.storeAgeMs } ?: Long.MAX_VALUE)
        // When every VM's configuration is old, VMs are listed up to this much above the lowest age.
        val usableAgeMs = configuration.times.maxUsableAgeMs
        val maxAgeMs = maxOf(usableAgeMs, lowestAgeMs + usableAgeMs)
        val usable = others.filter { it.ready && it.storeAgeMs < maxAgeMs }
            .map { listed(SocketAddress(it.host, it.callerPort), it.failureDomain) }
        val own = listOf(listed(settings.callerAddress, settings.failureDomain))
            .filter { (readiness.isReady && ownAgeMs < maxAgeMs) || (usable.isEmpty() && !readiness.isStopping) }
        val candidates = usable + own
        if (candidates.isEmpty()) return ControlResponse(STATUS_UNAVAILABLE)
        val homes = request.host?.let { host -> configuration.table?.homesOfHost(host) }
        val choice = chooseListed(candidates, DirectoryCaller(request.failureDomain, request.region), homes)
        metrics.recordDirectoryAnswer(choice.scope)
        val ttlMs = minOf(ADDRESS_TTL_MS, settings.bounds.maxAddressTtlMs)
        return ControlResponse(STATUS_OK, "application/json", writeAddresses(choice.vms.take(MAX_ADDRESSES), ttlMs))
    }

    private fun listed(address: SocketAddress, failureDomain: String) =
        ListedVm(address, failureDomain, homeRegions.regionOf(failureDomain))

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"

        /**
         * How long callers may cache the addresses, in milliseconds. A stopping VM accepts requests for 2,500 ms, but
         * for no more than a third of the grace period (see [EntryVm.stop]). Addresses cached before the stop expire
         * within that time if the grace period is longer than 6 s.
         */
        const val ADDRESS_TTL_MS = 2_000L

        /** Callers ignore addresses beyond this number. */
        const val MAX_ADDRESSES = 64
    }
}
