/*
 * The counters and histograms of an entry VM. Labels come from bounded sets only.
 */
package io.daisybend.entry

import io.daisybend.serving.site.RouteKind
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** All metrics of a process. */
internal class Metrics {
    private val registry = PrometheusRegistry()

    private val requests = Counter.builder().name("daisybend_requests_total")
        .help("Requests that were sent on or refused after admission, by kind of route and status")
        .labelNames("kind", "status").register(registry)

    private val durations = Histogram.builder().name("daisybend_request_seconds")
        .help("Time from a request's arrival to the end of its answer, by kind of route")
        .labelNames("kind").register(registry)

    private val refusals = Counter.builder().name("daisybend_refusals_total")
        .help("Requests refused before admission, by status").labelNames("status").register(registry)

    private val orders = Counter.builder().name("daisybend_orders_total")
        .help("Orders to engines, by kind and answer").labelNames("order", "answer").register(registry)

    /** Requests that could not be read. */
    val unreadableRequests: Counter = Counter.builder().name("daisybend_unreadable_requests_total")
        .help("Requests that could not be read").register(registry)

    /** Connections that callers reset. */
    val resetConnections: Counter = Counter.builder().name("daisybend_broken_callers_total")
        .help("Connections that callers reset").register(registry)

    /** Counts a request of [kind] that ended with [status] after [tookMs]. */
    fun recordRequest(kind: RouteKind, status: Int, tookMs: Long) {
        requests.labelValues(kind.name.lowercase(), status.toString()).inc()
        durations.labelValues(kind.name.lowercase()).observe(tookMs / MILLIS_PER_SECOND)
    }

    /** Counts a refusal with [status]. */
    fun recordRefusal(status: Int) = refusals.labelValues(status.toString()).inc()

    /** Counts an [order] with its [answer]. */
    fun recordOrder(order: String, answer: String) = orders.labelValues(order, answer).inc()

    /** Adds a gauge whose value is read when it is asked for. */
    fun addGauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Returns all metrics as text. */
    fun text(): String {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
