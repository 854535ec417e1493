/*
 * Stand-in for a model engine. It streams deterministic tokens as server-sent events with their index, can resume a
 * completion from a token index, and executes orders with fencing numbers.
 */
package io.daisybend.standins.engine

import io.daisybend.standins.EngineOptions
import io.daisybend.standins.standInJson
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.Serializable
import java.io.Writer
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Completion request. */
@Serializable
public data class EngineCompletion(
    val requestId: String,
    val attempt: Int,
    val itemId: String,
    val prompt: String,
    val maxTokens: Int,
    val priority: Int = 0,
    val fromTokenIndex: Int = 0,
)

/** Generated token. */
@Serializable
public data class EngineToken(
    val requestId: String,
    val attempt: Int,
    val index: Int,
    val text: String,
    val finishReason: String? = null,
)

/** Headers and body of each completion request that the engine received, one line per request. */
@Serializable
public data class EngineSeen(val lines: List<String>)

internal class EngineStandIn(private val options: EngineOptions) {
    private val memory = EngineMemory(options.memoryBytes, options.kvCacheBytes, options.checksFencing)
    private val cacheEvents = CacheEventLog()
    private val switches = AtomicReference(EngineSwitches())
    private val running = AtomicInteger()
    private val requestsStarted = AtomicLong()
    private val cancelled = ConcurrentHashMap.newKeySet<String>()
    private val receivedRequests = ArrayList<String>()
    private val storeClient = HttpClient.newHttpClient()
    private val reports = DelayedReports()

    fun Application.routes() {
        routing {
            get("/switches") { call.respond(switches.get()) }
            post("/switches") {
                switches.set(call.receive())
                call.respond(switches.get())
            }
            get("/seen") { call.respond(EngineSeen(synchronized(receivedRequests) { receivedRequests.toList() })) }
            controlRoutes()
            post("/completions") { handleCompletion(call) }
            post("/cancel") {
                cancelled += call.receive<Cancellation>().requestId
                call.respond(HttpStatusCode.NoContent)
            }
        }
    }

    private fun Route.controlRoutes() {
        get("/control/state") {
            waitWhileHanging()
            call.respond(engineState())
        }
        get("/control/load") { call.respond(reports.delayed(engineState(), switches.get().reportLagMs)) }
        get("/control/cache-events") {
            val from = call.request.queryParameters["from"]?.toLongOrNull() ?: 0
            call.respond(cacheEvents.visible(from, switches.get().cacheEventLagMs))
        }
        post("/control/fence") { call.respond(memory.raiseFence(call.receive<FenceRaise>().fence)) }
        post("/control/orders") { call.respondToOrder(execute(call.receive())) }
    }

    private fun engineState() = memory.state(running.get(), requestsStarted.get())

    private suspend fun ApplicationCall.respondToOrder(response: OrderAnswer) {
        val before = switches.getAndUpdate { it.copy(loseOrderAnswers = maxOf(0, it.loseOrderAnswers - 1)) }
        if (before.loseOrderAnswers > 0) respond(HttpStatusCode.GatewayTimeout) else respond(response)
    }

    private suspend fun execute(order: EngineOrder): OrderAnswer {
        waitWhileHanging()
        memory.startOrder(order)?.let { return it }
        fetchWeights(order)
        delay(switches.get().loadDelayMs)
        return memory.finishLoad(order)
    }

    private suspend fun fetchWeights(order: EngineOrder) {
        val address = options.weightStoreAddress ?: return
        val folder = if (order.kind == OrderKind.LOAD_ADAPTER) "adapters" else "models"
        val request = HttpRequest.newBuilder(URI("http://$address/weights/$folder/${order.itemId}")).build()
        storeClient.sendAsync(request, HttpResponse.BodyHandlers.discarding()).await()
    }

    private suspend fun handleCompletion(call: ApplicationCall) {
        val body = call.receiveText()
        recordRequest(call, body)
        waitWhileHanging()
        val completion = standInJson.decodeFromString(EngineCompletion.serializer(), body)
        if (!memory.isLoaded(completion.itemId)) {
            call.respond(HttpStatusCode.Conflict, OrderAnswer("", done = false, refusal = "not_loaded", fence = 0))
            return
        }
        running.incrementAndGet()
        requestsStarted.incrementAndGet()
        try {
            cacheEvents.add(completion.itemId, completion.prompt, switches.get().dropEveryNthCacheEvent)
            delay(switches.get().firstTokenMs)
            call.respondTextWriter(ContentType.Text.EventStream) { writeTokens(completion) }
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun Writer.writeTokens(completion: EngineCompletion) {
        for (index in completion.fromTokenIndex until completion.maxTokens) {
            val current = switches.get()
            if (completion.requestId in cancelled) return
            check(index != current.dieAfterTokens) { "stream aborted after $index tokens as set by dieAfterTokens" }
            if (index == current.silentAfterTokens) awaitCancellation()
            val finishReason = if (index == completion.maxTokens - 1) "length" else null
            val text = generatedText(completion, index)
            send(EngineToken(completion.requestId, completion.attempt, index, text, finishReason))
            delay(current.tokenIntervalMs)
        }
    }

    private fun Writer.send(token: EngineToken) {
        write("data: ${standInJson.encodeToString(EngineToken.serializer(), token)}\n\n")
        flush()
    }

    private suspend fun waitWhileHanging() {
        while (switches.get().hang) delay(HANG_POLL_INTERVAL_MS)
    }

    private fun recordRequest(call: ApplicationCall, body: String) = synchronized(receivedRequests) {
        receivedRequests += call.request.headers.entries().joinToString { "${it.key}=${it.value}" } + " " + body
    }

    private companion object {
        const val HANG_POLL_INTERVAL_MS = 20L
    }
}

/** Returns the text of the token at [index]; it depends only on the item, the prompt and the index. */
private fun generatedText(completion: EngineCompletion, index: Int): String =
    " ${completion.itemId}-${completion.prompt.hashCode().toUInt() % 1_000u}-$index"
