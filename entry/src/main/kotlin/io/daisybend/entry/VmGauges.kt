/*
 * Gauges and counters that read the state of a VM when they are scraped.
 */
package io.daisybend.entry

import io.daisybend.entry.exchange.BodyMemory
import io.daisybend.entry.exchange.CallerServer
import io.daisybend.entry.exchange.EndpointLoads
import io.daisybend.entry.exchange.PrefixCaches
import io.daisybend.entry.store.ConfigurationWatcher
import io.daisybend.entry.store.EndpointWatcher
import io.daisybend.serving.endpoint.EndpointPauses
import io.daisybend.serving.rates.EndpointRateLimiter

/** Registers the state of the components of a VM with [metrics]. */
internal class VmGauges(
    private val metrics: Metrics,
    private val log: EventLog,
    private val configuration: ConfigurationWatcher,
    private val bodyMemory: BodyMemory,
    private val endpointRateLimiter: EndpointRateLimiter,
    private val pauses: EndpointPauses,
    private val endpointWatcher: EndpointWatcher,
    private val endpointLoads: EndpointLoads,
    private val prefixCaches: PrefixCaches,
    private val callers: CallerServer,
    private val steadyMs: () -> Long,
) {
    /** Registers all gauges and counters. */
    fun register() {
        metrics.addGauge("daisybend_configuration_age_seconds", "Time since the store confirmed the configuration") {
            configuration.confirmationAgeMs() / MILLIS_PER_SECOND
        }
        metrics.addGauge("daisybend_log_lines_dropped", "Log lines beyond the limit of a second") {
            log.droppedCount.toDouble()
        }
        metrics.addGauge("daisybend_body_bytes", "Memory that bodies of requests take, in bytes") {
            bodyMemory.bytesInUse.toDouble()
        }
        metrics.addGauges("daisybend_endpoint_limit", "Limits that endpoints name, in requests a second", "endpoint") {
            endpointRateLimiter.current.mapKeys { it.key.id }
        }
        metrics.addGauges(
            "daisybend_endpoint_paused_seconds",
            "Time for which endpoints want no requests",
            "endpoint",
        ) {
            pauses.current(steadyMs()).entries.associate { (endpoint, leftMs) ->
                endpoint.id to
                    leftMs / MILLIS_PER_SECOND
            }
        }
        metrics.addCounters("daisybend_list_relays", "Received parts of the endpoint list", label = "use") {
            endpointWatcher.relayCounts()
        }
        metrics.addCounters(
            "daisybend_endpoint_load_samples_total",
            "Loads that endpoints stated, by how they were used",
            "use",
        ) { endpointLoads.sampleCounts }
        metrics.addCounters(
            "daisybend_prefix_cache_tokens_total",
            "Prompt tokens that prefix caches were expected to save, that a choice gave up, and that were missed",
            "result",
        ) { prefixCaches.tokenCounts }
        metrics.addGauge("daisybend_prefix_cache_expected_tokens", "Tokens expected in the prefix caches of engines") {
            prefixCaches.heldTokens().toDouble()
        }
        metrics.addGauge("daisybend_requests_under_way", "Requests read and not yet answered") {
            callers.requestsInProgress.toDouble()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
