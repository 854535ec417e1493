/*
 * Counters and histograms of an entry VM. All labels have a bounded set of values.
 */
package io.daisybend.entry

import io.daisybend.serving.directory.DirectoryScope
import io.daisybend.serving.site.RouteKind
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Metrics of the process. */
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

    private val directoryAnswers = Counter.builder().name("daisybend_directory_answers_total")
        .help("Answers of the directory that name VMs, by where these are").labelNames("scope").register(registry)

    /** Requests that could not be parsed or read in time. */
    val unreadableRequests: Counter = Counter.builder().name("daisybend_unreadable_requests_total")
        .help("Requests that could not be read").register(registry)

    /** Connections reset by callers. */
    val resetConnections: Counter = Counter.builder().name("daisybend_broken_callers_total")
        .help("Connections that callers reset").register(registry)

    /** Counts a request on a route of [kind] that ended with [status] after [tookMs] milliseconds. */
    fun recordRequest(kind: RouteKind, status: Int, tookMs: Long) {
        requests.labelValues(kind.name.lowercase(), status.toString()).inc()
        durations.labelValues(kind.name.lowercase()).observe(tookMs / MILLIS_PER_SECOND)
    }

    /** Counts a request that was refused with [status] before admission. */
    fun recordRefusal(status: Int) = refusals.labelValues(status.toString()).inc()

    /** Counts an [order] to an engine by its [answer]. */
    fun recordOrder(order: String, answer: String) = orders.labelValues(order, answer).inc()

    /** Counts an answer of the directory that names VMs in [scope]. */
    fun recordDirectoryAnswer(scope: DirectoryScope) = directoryAnswers.labelValues(scope.name.lowercase()).inc()

    /** Registers a gauge that calls [value] on each scrape. */
    fun addGauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Registers gauges that call [values] on each scrape, which returns the value for each value of [label]. */
    fun addGauges(name: String, help: String, label: String, values: () -> Map<String, Double>) {
        GaugeWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { callback -> values().forEach { (labelValue, value) -> callback.call(value, labelValue) } }
            .register(registry)
    }

    /** Registers counters that call [values] on each scrape, which returns the value for each value of [label]. */
    fun addCounters(name: String, help: String, label: String, values: () -> Map<String, Double>) {
        CounterWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { callback -> values().forEach { (labelValue, value) -> callback.call(value, labelValue) } }
            .register(registry)
    }

    /** Registers counters that call [values] on each scrape, which returns the value for each pair of label values. */
    fun addCounters(
        name: String,
        help: String,
        labels: Pair<String, String>,
        values: () -> Map<Pair<String, String>, Double>,
    ) {
        CounterWithCallback.builder().name(name).help(help).labelNames(labels.first, labels.second)
            .callback { callback ->
                values().forEach { (pair, value) -> callback.call(value, pair.first, pair.second) }
            }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
