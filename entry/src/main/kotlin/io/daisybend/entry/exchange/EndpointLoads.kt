/*
 * The load of endpoints from all VMs: this VM's requests, the reports of the peers, and what the endpoints state in
 * responses and reports.
 */
package io.daisybend.entry.exchange

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.ReportSchedule
import io.daisybend.kernel.Failure
import io.daisybend.platform.EndpointResponseHeaders
import io.daisybend.platform.StatedLoad
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointLoad
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.PeerUseIndex
import io.daisybend.serving.endpoint.ReportedLoad
import io.daisybend.serving.endpoint.SampleUse
import java.util.concurrent.atomic.LongAdder
import kotlin.random.Random

/** Estimates the load of the endpoints of [table] in a fleet of [vmCount] VMs that report at [schedule]. */
internal class EndpointLoads(
    private val table: EndpointTable,
    private val vmCount: () -> Int,
    private val schedule: ReportSchedule,
    private val steadyMs: () -> Long,
    private val random: Random = Random.Default,
) {
    private val peerUses = PeerUseIndex()
    private val usedSamples = LongAdder()
    private val contradictedSamples = LongAdder()
    private val unreadableSamples = LongAdder()

    private val isLargeFleet: Boolean get() = vmCount() > MAX_SMALL_FLEET

    /** Random numbers for choices in a fleet where many VMs would choose the same endpoint; null in a small one. */
    val choiceRandom: Random? get() = random.takeIf { isLargeFleet }

    /** Number of loads that endpoints stated, by how they were used. */
    val sampleCounts: Map<String, Double>
        get() = mapOf(
            "used" to usedSamples.sum().toDouble(),
            "contradicted" to contradictedSamples.sum().toDouble(),
            "unreadable" to unreadableSamples.sum().toDouble(),
        )

    /** Returns the requests of the peers in flight at the endpoint called [id], as they reported. */
    fun peersInFlight(id: String): Int = peerUses.useOf(id).inFlight

    /** Returns the load that all VMs count at [endpoint]. */
    fun countedAt(endpoint: Endpoint): EndpointLoad {
        val peers = peerUses.useOf(endpoint.incarnation.id)
        return EndpointLoad(
            inFlight = endpoint.inFlight + peers.inFlight,
            pendingPromptTokens = endpoint.pendingPromptTokens + peers.pendingPromptTokens,
            kvTokens = endpoint.kvTokens + peers.kvTokens,
        )
    }

    /** Returns the estimated load of [endpoint] at [nowMs]. */
    fun loadOf(endpoint: Endpoint, nowMs: Long): EndpointLoad {
        val counted = countedAt(endpoint)
        val estimate = endpoint.loadEstimate
        if (!isLargeFleet && !estimate.hasSample) return counted
        val withRates = isLargeFleet || estimate.hasPace
        return estimate.loadAt(counted, withRates, nowMs, schedule.intervalMs(vmCount()))
    }

    /** Replaces the uses of the sender of [report]. */
    fun onPeerReport(report: PeerReport) {
        val uses = report.endpoints.associate {
            it.endpoint to EndpointLoad(it.inFlight, it.pendingPromptTokens, it.kvTokens)
        }
        peerUses.onReport(report.vm, uses)
    }

    /** Drops the uses of peers other than [alive]. */
    fun retainPeers(alive: Set<String>) = peerUses.retain(alive)

    /** Takes in the load that [endpoint] states in a response with [headers], if the response is its own. */
    fun onResponse(endpoint: Endpoint, headers: EndpointResponseHeaders) {
        if (!headers.isFrom(endpoint.incarnation.id)) return
        when (val load = headers.load) {
            null -> Unit
            is StatedLoad.Unreadable -> unreadableSamples.increment()
            is StatedLoad.Readable -> {
                val use = endpoint.loadEstimate
                    .onSample(load.sample, countedAt(endpoint), endpoint.answered, steadyMs())
                if (use == SampleUse.USED) usedSamples.increment() else contradictedSamples.increment()
            }
        }
    }

    /** Takes in the load in a report of the engine of [incarnation]. */
    fun onEngineReport(incarnation: Incarnation, load: Result<ReportedLoad, Failure>) {
        val endpoint = table.find(incarnation.id)?.takeIf { it.incarnation == incarnation } ?: return
        load.onSuccess { endpoint.loadEstimate.onReport(it, countedAt(endpoint), steadyMs()) }
            .onFailure { unreadableSamples.increment() }
    }

    private companion object {
        /** VMs up to which each one chooses the best endpoint: they see each other's requests early enough. */
        const val MAX_SMALL_FLEET = 16
    }
}
