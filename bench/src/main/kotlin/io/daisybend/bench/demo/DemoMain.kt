/*
 * Client of the demonstration: sends requests and operator commands to three daemons and checks every response.
 * bin/demo starts the daemons and the other processes.
 */
package io.daisybend.bench.demo

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs the demonstration; the arguments are the first port and the file with the operator token. */
public fun main(args: Array<String>) {
    require(args.size == 2) { "expected PORT_BASE and TOKEN_FILE, got ${args.size} arguments" }
    val token = Files.readString(Path.of(args[1])).trim()
    val checks = DemoChecks()
    val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = 60_000 }
    }
    val site = DemoSite(args[0].toInt())
    runBlocking { Demo(site, client, DemoOperatorClient(site, client, token), checks).run() }
    client.close()
    println(checks.summary())
    exitProcess(checks.exitCode)
}

private class Demo(
    private val site: DemoSite,
    private val client: HttpClient,
    private val operators: DemoOperatorClient,
    private val checks: DemoChecks,
) {
    private val key = DemoKey("front-desk", "uncommon-lantern")
    private val withdrawnKey = DemoKey("lost-phone", "forgotten-ferry")

    suspend fun run() {
        operators.awaitHealthy()
        operators.applyManifest(site.manifest(listOf(key.spec, withdrawnKey.spec)))
        operators.awaitReady()
        coldRequest()
        streamedRequest()
        adapterRequest()
        reservation()
        withdrawnKeyRequest()
        gracefulStop()
    }

    private suspend fun coldRequest() {
        val response = chat(site.callerAddresses[0], "order-drafts", "Draft the order for Friday.", key)
        val text = response.bodyAsText()
        checks.served("cold request", response.status.value == 200 && "order-drafts-" in text, "${response.status}")
    }

    private suspend fun streamedRequest() {
        val text = streamCompletion(site.callerAddresses[1])
        checks.served("warm streamed request", isCompleteStream(text), "${tokenCount(text)} tokens")
    }

    private suspend fun adapterRequest() {
        val response = chat(site.callerAddresses[2], DemoSite.adapterId.value, "Is the film on?", key)
        val isCorrect = response.status.value == 200 && DemoSite.adapterId.value in response.bodyAsText()
        checks.served("request with an adapter", isCorrect, "${response.status}")
    }

    /** Sends a reservation, then repeats it through another daemon, which replays the stored response. */
    private suspend fun reservation() {
        val first = reserve(site.callerAddresses[0])
        val responseBody = first.bodyAsText()
        checks.served("reservation", first.status.value == 201, "${first.status} $responseBody")
        val repeated = reserveWithRetries(site.callerAddresses[1])
        val isReplayed = repeated.headers["Idempotency-Replayed"] == "true" && repeated.bodyAsText() == responseBody
        checks.served("the same reservation again", isReplayed, "${repeated.status} replayed: $isReplayed")
    }

    /** Repeats the call after `Retry-After` while the daemon has not yet read the outcome of the first call. */
    private suspend fun reserveWithRetries(address: String): HttpResponse {
        repeat(MAX_RETRIES) {
            val response = reserve(address)
            val retryAfterS = response.headers["Retry-After"]?.toLongOrNull()
            if (response.status.value != STATUS_IN_PROGRESS || retryAfterS == null) return response
            delay(retryAfterS * MS_PER_SECOND)
        }
        return reserve(address)
    }

    private suspend fun reserve(address: String): HttpResponse =
        client.post("http://$address/services/booking/reservations") {
            bearerAuth(key.bearerToken)
            header("Idempotency-Key", "reservation-1")
            contentType(ContentType.Application.Json)
            setBody("""{"blankets":12}""")
        }

    private suspend fun withdrawnKeyRequest() {
        operators.applyManifest(site.manifest(listOf(key.spec)))
        val refusal = awaitRefusal()
        val isExpected = refusal.status.value == 401 && refusal.headers["X-Execution-Status"] == "not_run"
        checks.refused("request with a withdrawn key", isExpected, "${refusal.status}")
    }

    /**
     * Sends requests until one is refused as not run. A request that the withdrawal interrupts may have run and reports
     * so.
     */
    private suspend fun awaitRefusal(): HttpResponse {
        repeat(MAX_POLLS) {
            val response = chat(site.callerAddresses[1], "order-drafts", "Hello?", withdrawnKey)
            val isRefusedUnrun = response.headers["X-Execution-Status"] == "not_run"
            if (response.status.value != 200 && isRefusedUnrun) return response
            delay(POLL_INTERVAL_MS)
        }
        return chat(site.callerAddresses[1], "order-drafts", "Hello?", withdrawnKey)
    }

    private suspend fun gracefulStop() = coroutineScope {
        val streams = List(STREAMS_DURING_STOP) { async { streamCompletion(site.callerAddresses[2]) } }
        delay(POLL_INTERVAL_MS)
        operators.drain(site.operatorAddresses[2])
        streams.awaitAll().forEach {
            checks.served("stream during a stop", isCompleteStream(it), "${tokenCount(it)} tokens")
        }
    }

    private suspend fun streamCompletion(address: String): String = client.post("http://$address/v1/chat/completions") {
        bearerAuth(key.bearerToken)
        contentType(ContentType.Application.Json)
        setBody(chatBody("order-drafts", "Which films run this week?", stream = true))
    }.bodyAsText()

    private suspend fun chat(address: String, model: String, text: String, key: DemoKey): HttpResponse =
        client.post("http://$address/v1/chat/completions") {
            bearerAuth(key.bearerToken)
            contentType(ContentType.Application.Json)
            setBody(chatBody(model, text, stream = false))
        }

    private companion object {
        const val MAX_POLLS = 200
        const val POLL_INTERVAL_MS = 100L
        const val STREAMS_DURING_STOP = 10
        val json = Json { encodeDefaults = true }
    }
}

private const val STREAM_TOKENS = 40
private const val STATUS_IN_PROGRESS = 409
private const val MS_PER_SECOND = 1_000L

/** Maximum retries of a call in progress on another daemon, each after the delay in `Retry-After`. */
private const val MAX_RETRIES = 5

private fun chatBody(model: String, text: String, stream: Boolean): String =
    """{"model":"$model","stream":$stream,"max_tokens":$STREAM_TOKENS,"messages":[{"role":"user","content":"$text"}]}"""

private fun tokenCount(stream: String): Int = Regex("order-drafts-\\d+-(\\d+)").findAll(stream).count()

/** Returns whether [stream] contains every token once and in order, and the end marker. */
private fun isCompleteStream(stream: String): Boolean {
    val tokenIndexes = Regex("order-drafts-\\d+-(\\d+)").findAll(stream).map { it.groupValues[1].toInt() }.toList()
    return tokenIndexes == (0 until STREAM_TOKENS).toList() && "[DONE]" in stream
}
