/*
 * Stand-in for a model engine. It generates one token per word of a fixed text, streams them as server-sent events
 * with their index, resumes from an index, and takes orders and fencing numbers.
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

/** A completion as the engine is asked for it. */
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

/** One generated token. */
@Serializable
public data class EngineToken(
    val requestId: String,
    val attempt: Int,
    val index: Int,
    val text: String,
    val finishReason: String? = null,
)

/** Everything that callers' requests showed this engine. */
@Serializable
public data class EngineSeen(val lines: List<String>)

internal class EngineStandIn(private val options: EngineOptions) {
    private val memory = EngineMemory(options.memoryBytes, options.kvCacheBytes, options.checksFencing)
    private val cacheEvents = CacheEventLog()
    private val switches = AtomicReference(EngineSwitches())
    private val running = AtomicInteger()
    private val requestsStarted = AtomicLong()
    private val cancelled = ConcurrentHashMap.newKeySet<String>()
    private val seen = ArrayList<String>()
    private val storeClient = HttpClient.newHttpClient()
    private val reports = LaggingReports()

    fun Application.routes() {
        routing {
            get("/switches") { call.respond(switches.get()) }
            post("/switches") {
                switches.set(call.receive())
                call.respond(switches.get())
            }
            get("/seen") { call.respond(EngineSeen(synchronized(seen) { seen.toList() })) }
            controlRoutes()
            post("/completions") { complete(call) }
            post("/cancel") {
                cancelled += call.receive<Cancellation>().requestId
                call.respond(HttpStatusCode.NoContent)
            }
        }
    }

    private fun Route.controlRoutes() {
        get("/control/state") {
            hangIfSwitched()
            call.respond(engineState())
        }
        get("/control/load") { call.respond(reports.delayed(engineState(), switches.get().reportLagMs)) }
        get("/control/cache-events") {
            val from = call.request.queryParameters["from"]?.toLongOrNull() ?: 0
            call.respond(cacheEvents.visible(from, switches.get().cacheEventLagMs))
        }
        post("/control/fence") { call.respond(memory.raiseFence(call.receive<FenceRaise>().fence)) }
        post("/control/orders") { call.answerOrder(execute(call.receive())) }
    }

    private fun engineState() = memory.state(running.get(), requestsStarted.get())

    private suspend fun ApplicationCall.answerOrder(answer: OrderAnswer) {
        val before = switches.getAndUpdate { it.copy(loseOrderAnswers = maxOf(0, it.loseOrderAnswers - 1)) }
        if (before.loseOrderAnswers > 0) respond(HttpStatusCode.GatewayTimeout) else respond(answer)
    }

    private suspend fun execute(order: EngineOrder): OrderAnswer {
        hangIfSwitched()
        memory.begin(order)?.let { return it }
        fetchWeights(order)
        delay(switches.get().loadDelayMs)
        return memory.finish(order)
    }

    private suspend fun fetchWeights(order: EngineOrder) {
        val address = options.weightStoreAddress ?: return
        val folder = if (order.kind == OrderKind.LOAD_ADAPTER) "adapters" else "models"
        val request = HttpRequest.newBuilder(URI("http://$address/weights/$folder/${order.itemId}")).build()
        storeClient.sendAsync(request, HttpResponse.BodyHandlers.discarding()).await()
    }

    private suspend fun complete(call: ApplicationCall) {
        val body = call.receiveText()
        note(call, body)
        hangIfSwitched()
        val completion = standInJson.decodeFromString(EngineCompletion.serializer(), body)
        if (!memory.holds(completion.itemId)) {
            call.respond(HttpStatusCode.Conflict, OrderAnswer("", done = false, refusal = "not_loaded", fence = 0))
            return
        }
        running.incrementAndGet()
        requestsStarted.incrementAndGet()
        try {
            cacheEvents.add(completion.itemId, completion.prompt, switches.get().dropEveryNthCacheEvent)
            delay(switches.get().firstTokenMs)
            call.respondTextWriter(ContentType.Text.EventStream) { generate(completion) }
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun Writer.generate(completion: EngineCompletion) {
        for (index in completion.fromTokenIndex until completion.maxTokens) {
            val now = switches.get()
            if (completion.requestId in cancelled) return
            check(index != now.dieAfterTokens) { "switched to die after $index tokens" }
            if (index == now.silentAfterTokens) awaitCancellation()
            val finishReason = if (index == completion.maxTokens - 1) "length" else null
            val text = generatedText(completion, index)
            send(EngineToken(completion.requestId, completion.attempt, index, text, finishReason))
            delay(now.tokenIntervalMs)
        }
    }

    private fun Writer.send(token: EngineToken) {
        write("data: ${standInJson.encodeToString(EngineToken.serializer(), token)}\n\n")
        flush()
    }

    private suspend fun hangIfSwitched() {
        while (switches.get().hang) delay(HANG_POLL_MS)
    }

    private fun note(call: ApplicationCall, body: String) = synchronized(seen) {
        seen += call.request.headers.entries().joinToString { "${it.key}=${it.value}" } + " " + body
    }

    private companion object {
        const val HANG_POLL_MS = 20L
    }
}

/** Returns the token at [index] of the answer to [completion]; the same request always gets the same answer. */
private fun generatedText(completion: EngineCompletion, index: Int): String =
    " ${completion.itemId}-${completion.prompt.hashCode().toUInt() % 1_000u}-$index"
