/*
 * Measures the overhead of the system for warm requests: the time to first token through a daemon and directly from the
 * engine stand-in in the same run, the requests per second and core of the daemon, and its processor use when idle.
 */
package io.daisybend.bench.demo

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.utils.io.readLineStrict
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import java.nio.file.Files
import java.nio.file.Path

private const val MODEL = "order-drafts"
private const val WARM_UP_REQUESTS = 1_000
private const val MEASURED_REQUESTS = 2_000
private const val WORKERS = 16
private const val REQUESTS_PER_WORKER = 500
private const val NANOS_PER_MICRO = 1_000L
private const val NANOS_PER_SECOND = 1e9
private const val IDLE_SETTLE_MS = 3_000L
private const val IDLE_MEASURED_MS = 10_000L
private const val PERCENT = 100
private const val MAX_MICROS = 60_000_000L

/** Runs the measurement; the arguments are the first port and the file with the operator token. */
public fun main(args: Array<String>) {
    require(args.size == 2) { "expected PORT_BASE and TOKEN_FILE, got ${args.size} arguments" }
    val site = DemoSite(args[0].toInt(), daemonCount = 1)
    val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = 60_000 }
    }
    val operators = DemoOperatorClient(site, client, Files.readString(Path.of(args[1])).trim())
    runBlocking { EndToEnd(site, client, operators).run() }
    client.close()
}

private class EndToEnd(
    private val site: DemoSite,
    private val client: HttpClient,
    private val operators: DemoOperatorClient,
) {
    private val key = DemoKey("measurement", "steady-lighthouse")

    suspend fun run() {
        operators.awaitHealthy()
        operators.applyManifest(site.manifest(listOf(key.spec)))
        operators.awaitReady()
        site.engines.forEach { disableEngineDelays(it) }
        measureFirstTokenMicros { throughDaemon() }
        val engine = site.engines.first { MODEL in client.get("http://$it/control/state").bodyAsText() }
        repeat(WARM_UP_REQUESTS) {
            measureFirstTokenMicros { throughDaemon() }
            measureFirstTokenMicros { directToEngine(engine) }
        }
        measureFirstToken(engine)
        measureThroughput()
        measureIdle()
    }

    /** Prints the daemon's processor use without requests: reads of the log, the list and engine state, and ticks. */
    private suspend fun measureIdle() {
        delay(IDLE_SETTLE_MS)
        val cpuBeforeSeconds = daemonCpuSeconds()
        val startNanos = System.nanoTime()
        delay(IDLE_MEASURED_MS)
        val cpuSeconds = daemonCpuSeconds() - cpuBeforeSeconds
        val seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
        println("idle daemon, %.0f s: %.2f%% of a core".format(seconds, cpuSeconds / seconds * PERCENT))
    }

    private suspend fun measureFirstToken(engine: String) {
        val daemonLatency = Histogram(MAX_MICROS, 3)
        val engineLatency = Histogram(MAX_MICROS, 3)
        repeat(MEASURED_REQUESTS) {
            daemonLatency.recordValue(measureFirstTokenMicros { throughDaemon() })
            engineLatency.recordValue(measureFirstTokenMicros { directToEngine(engine) })
        }
        println("first token of a warm request, $MEASURED_REQUESTS requests one after another, us")
        println("percentile | through a daemon | direct to the engine | added")
        for (percentile in listOf(50.0, 99.0)) {
            val daemonMicros = daemonLatency.getValueAtPercentile(percentile)
            val engineMicros = engineLatency.getValueAtPercentile(percentile)
            println("p${percentile.toInt()} | $daemonMicros | $engineMicros | ${daemonMicros - engineMicros}")
        }
    }

    private suspend fun measureThroughput() = coroutineScope {
        val cpuBeforeSeconds = daemonCpuSeconds()
        val startNanos = System.nanoTime()
        List(WORKERS) {
            async { repeat(REQUESTS_PER_WORKER) { measureFirstTokenMicros { throughDaemon() } } }
        }.awaitAll()
        val seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
        val cpuSeconds = daemonCpuSeconds() - cpuBeforeSeconds
        val requests = WORKERS * REQUESTS_PER_WORKER
        println("throughput, $WORKERS callers, $requests requests of one token")
        println("requests/s | daemon cores used | requests/s for each core")
        println("%.0f | %.2f | %.0f".format(requests / seconds, cpuSeconds / seconds, requests / cpuSeconds))
    }

    private suspend fun daemonCpuSeconds(): Double =
        client.get("http://${site.operatorAddresses.first()}/metrics").bodyAsText().lines()
            .first { it.startsWith("process_cpu_seconds_total") }
            .substringAfterLast(' ').toDouble()

    private suspend fun disableEngineDelays(engine: String) {
        client.post("http://$engine/switches") {
            contentType(ContentType.Application.Json)
            setBody("""{"firstTokenMs":0,"tokenIntervalMs":0}""")
        }
    }

    private fun HttpRequestBuilder.throughDaemon() {
        url("http://${site.callerAddresses.first()}/v1/chat/completions")
        bearerAuth(key.bearerToken)
        val message = """[{"role":"user","content":"hello"}]"""
        setBody("""{"model":"$MODEL","stream":true,"max_tokens":1,"messages":$message}""")
    }

    private fun HttpRequestBuilder.directToEngine(engine: String) {
        url("http://$engine/completions")
        setBody("""{"requestId":"direct","attempt":1,"itemId":"$MODEL","prompt":"user: hello","maxTokens":1}""")
    }

    /** Sends one request and returns the time to its first event in microseconds; fails on a status other than 200. */
    private suspend fun measureFirstTokenMicros(request: HttpRequestBuilder.() -> Unit): Long {
        val startNanos = System.nanoTime()
        var micros = 0L
        client.preparePost {
            contentType(ContentType.Application.Json)
            request()
        }.execute { response ->
            check(response.status.value == 200) {
                "expected status 200, got ${response.status}: ${response.bodyAsText()}"
            }
            val lines = response.bodyAsChannel()
            var line = lines.readLineStrict()
            micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO
            while (line != null) line = lines.readLineStrict()
        }
        return micros
    }
}
