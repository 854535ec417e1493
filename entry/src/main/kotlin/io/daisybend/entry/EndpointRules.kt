/*
 * Joins the rules about which endpoints may get requests with their sources: the configuration, the settings, the list
 * of endpoints, the list of VMs and the operators' evacuations.
 */
package io.daisybend.entry

import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.store.EvacuationRecords
import io.daisybend.platform.PlatformBounds
import io.daisybend.platform.VmSettings
import io.daisybend.serving.endpoint.BrittleEngines
import io.daisybend.serving.endpoint.BrittleFleet
import io.daisybend.serving.endpoint.ColdEngines
import io.daisybend.serving.endpoint.EndpointEligibility
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.HomeRegions
import io.daisybend.serving.endpoint.KnownVms
import io.daisybend.serving.site.ColdStart
import io.daisybend.serving.site.SiteConfiguration
import java.util.concurrent.atomic.AtomicLong

/** The rules of one VM; calls [onChange] when evacuations change. */
internal class EndpointRules(
    private val settings: VmSettings,
    private val table: EndpointTable,
    private val peers: PeerTable,
    private val log: EventLog,
    private val metrics: Metrics,
    peersInFlight: (endpoint: String) -> Int,
    private val steadyMs: () -> Long,
    onChange: () -> Unit,
    requestEarlyReport: () -> Unit,
) {
    private val unreadableColdValues = AtomicLong()
    private val knownVms = KnownVms(settings.vm)
    private val coldEngines = ColdEngines(settings.vm) { endpoint, cause ->
        log.write(
            "endpoint-cold",
            "endpoint" to endpoint.id,
            "bornMs" to endpoint.bornMs,
            "cause" to cause.name.lowercase(),
        )
    }

    /** The brittle engines and the share of this VM in their room. */
    val brittleEngines = BrittleEngines(settings.vm, table::ofService, peersInFlight) { service, limit ->
        if (limit == null) {
            log.write("service-brittle-ended", "service" to service)
        } else {
            log.write("service-brittle", "service" to service, "turnedAwayPerS" to limit)
            requestEarlyReport()
        }
        onChange()
    }

    /** The evacuations; the configuration watcher feeds them. */
    val evacuationRecords = EvacuationRecords(log, steadyMs, ::onEvacuationEnded, onChange)

    /** The regions of failure domains. */
    val homeRegions = HomeRegions(settings.failureDomain, settings.region, settings.regionOfDomain)

    /** Which endpoints may get requests. */
    val eligibility = EndpointEligibility(coldEngines, brittleEngines, homeRegions) { evacuationRecords.current }

    private fun onEvacuationEnded(failureDomain: String) =
        coldEngines.onEvacuationEnded(table.all().filter { it.entry.failureDomain == failureDomain }, steadyMs())

    /** Applies the cold starts of the services of [configuration]. */
    fun configure(configuration: SiteConfiguration) = coldEngines.configure(
        configuration.services.mapNotNull { (name, service) ->
            service.coldStart?.let { name to it.within(settings.bounds) }
        }.toMap(),
    )

    /** Applies [entry] of the list of endpoints. */
    fun onListed(entry: EndpointEntry, isFirstRead: Boolean) {
        if (!entry.isColdLeftReadable) {
            unreadableColdValues.incrementAndGet()
            log.write("endpoint-cold-unreadable", "endpoint" to entry.incarnation.id, "source" to "list")
        }
        coldEngines.onListed(entry, isFirstRead, steadyMs())
    }

    /** Applies the [names] of the list of VMs. */
    fun onVmsListed(names: List<String>) = knownVms.onList(names, steadyMs())

    /** Applies what has changed without an event; called at a short interval. */
    fun maintain() {
        val now = steadyMs()
        val reporting = peers.all.map { it.vm }
        val settled = knownVms.current(reporting, now)
        if (coldEngines.isInUse) coldEngines.setVms(settled)
        val isInTouch = peers.contact(now).unreachableShare == 0.0
        val fleet = knownVms.named(reporting)
            ?.let { BrittleFleet(it, settled != null, isInTouch, peers.reportIntervalMs) }
        brittleEngines.setFleet(fleet, now)
        brittleEngines.removeExpired(now)
        coldEngines.removeForgotten(table.all().mapTo(HashSet()) { it.incarnation }, now)
    }

    /** Registers the gauges and counters of the rules. */
    fun registerMetrics() {
        metrics.addGauge("daisybend_evacuated_domains", "Failure domains that operators have evacuated") {
            evacuationRecords.current.size.toDouble()
        }
        metrics.addGauges("daisybend_endpoint_cold_seconds", "Time for which endpoints stay cold", "endpoint") {
            coldEngines.current(table.all(), steadyMs()).entries
                .associate { (endpoint, leftMs) -> endpoint.id to leftMs / MILLIS_PER_SECOND }
        }
        metrics.addGauges(
            "daisybend_service_brittle",
            "What each endpoint of a brittle service may turn away in a second",
            "service",
        ) { brittleEngines.limits.mapValues { it.value.toDouble() } }
        metrics.addCounters(
            "daisybend_brittle_requests_total",
            "Requests that brittle endpoints turned away, and requests held back for want of room there",
            "event",
        ) { brittleEngines.eventCounts }
        metrics.addCounters("daisybend_unreadable_cold_values", "Remaining cold times that are unreadable", "source") {
            mapOf("list" to unreadableColdValues.get().toDouble())
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Returns this cold start with no more requests than the platform's bound for a second allows. */
        fun ColdStart.within(bounds: PlatformBounds): ColdStart {
            val most = perSecond * (bounds.coldOver ?: return this) + (bounds.coldSlack ?: return this)
            return if (most > 0) copy(perSecond = minOf(perSecond, most)) else this
        }
    }
}
