/*
 * Exports metrics of the configuration in force on this VM.
 */
package io.daisybend.daemon.configuration

import io.daisybend.configuration.Freshness
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

internal fun registerConfigurationMetrics(registry: PrometheusRegistry, configuration: FollowedConfiguration) {
    gauge(registry, "daisybend_configuration_revision", "Revision of the configuration in force.") {
        (configuration.state?.revision ?: 0).toDouble()
    }
    gauge(registry, "daisybend_configuration_next_offset", "Offset of the first record not replayed yet.") {
        (configuration.state?.nextOffset ?: 0).toDouble()
    }
    gauge(registry, "daisybend_configuration_confirmed", "1 while the configuration is confirmed, 0 while refusing.") {
        if (configuration.freshness is Freshness.Unconfirmed) 0.0 else 1.0
    }
}

private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Double) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback { it.call(value()) }
        .register(registry)
}
