package io.daisybend.entry.http

import com.github.michaelbull.result.get
import io.daisybend.entry.standin.FakeServer
import io.daisybend.entry.standin.FakeServerCall
import io.daisybend.platform.EngineClient
import io.daisybend.platform.Header
import io.daisybend.platform.HttpClient
import io.daisybend.platform.OrderAuthority
import io.daisybend.platform.SocketAddress
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.residency.EngineOrder
import io.daisybend.serving.residency.OrderAnswer
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val TIMEOUT_MS = 3_000L
private const val NANOS_PER_MILLI = 1_000_000L

/** An engine that may write its last answer on a connection once more before the next one, which then comes later. */
private class RepeatingEngine {
    val connections = AtomicInteger()

    @Volatile
    var repeats = false

    @Volatile
    var requestStatus = 503

    @Volatile
    var orderStatus = 202
    private val lastAnswers = ConcurrentHashMap<ByteSource, Pair<Int, String>>()

    suspend fun handle(call: FakeServerCall) {
        if (call.isFirst) connections.incrementAndGet()
        lastAnswers[call.source]?.takeIf { repeats }?.let {
            write(call, it)
            delay(100)
        }
        val answer = when (call.head.path) {
            "/daisybend/report" -> 200 to """{"stage":"both","models":[],"busy":false,"seqNo":7}"""
            "/daisybend/order" -> orderStatus to ""
            else -> requestStatus to ""
        }
        lastAnswers[call.source] = answer
        write(call, answer)
    }

    private suspend fun write(call: FakeServerCall, answer: Pair<Int, String>) =
        call.respond(answer.first, answer.second.encodeToByteArray(), listOf(Header("X-Daisybend-Not-Executed", "1")))
}

/** A VM's calls to [engine]. */
private class Calls(val engine: RepeatingEngine, private val port: Int, connections: OutgoingConnections) {
    private val client = EngineClient(connections.calls, connections.orders)
    private val requests: HttpClient = PooledHttpClient(connections.requests)
    private val entry =
        EndpointEntry(Incarnation("e-1", bornMs = 1), "s1", "127.0.0.1", port, "north", 64, false, holdings = null)

    suspend fun request() = requests.call(
        SocketAddress("127.0.0.1", port),
        "POST",
        "/once/x",
        emptyList(),
        ByteArray(0),
        TIMEOUT_MS,
        maxResponseBytes = 1_000,
    ).get()?.status

    suspend fun orderCount() = client.report(entry, TIMEOUT_MS).get()?.orderCount

    suspend fun order(): OrderAnswer {
        val order = EngineOrder.UnloadModel("m1", waitsForRuns = true)
        return client.order(entry, order, orderCount = 7, OrderAuthority("vm-1", epoch = 1), TIMEOUT_MS)
    }
}

private suspend fun withCalls(check: suspend Calls.() -> Unit) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    SelectorManager(Dispatchers.IO).use { selector ->
        try {
            val engine = RepeatingEngine()
            val server = FakeServer(scope, engine::handle).start(selector)
            val connections = OutgoingConnections(selector) { System.nanoTime() / NANOS_PER_MILLI }
            Calls(engine, server.port, connections).check()
        } finally {
            scope.cancel()
        }
    }
}

/** Calls name no request, so an answer that an engine writes once more can't be told from theirs. */
class CallConnectionsTest : FunSpec({
    test("a refusal of a request that is written once more is neither a report nor the answer to an order") {
        listOf(503, 421).forEach { status ->
            withClue(status) {
                withCalls {
                    engine.requestStatus = status
                    request() shouldBe status
                    engine.repeats = true
                    orderCount().shouldNotBeNull() shouldBe 7
                }
                withCalls {
                    engine.requestStatus = status
                    request() shouldBe status
                    engine.repeats = true
                    order() shouldBe OrderAnswer.Accepted
                }
            }
        }
    }

    test("a report or the answer to an order that is written once more is not the answer to the next order") {
        withCalls {
            orderCount().shouldNotBeNull()
            engine.repeats = true
            order() shouldBe OrderAnswer.Accepted
            engine.orderStatus = 409
            order() shouldBe OrderAnswer.Conflict
            orderCount().shouldNotBeNull()
        }
    }

    test("reports share a connection, and each order costs one at most") {
        withCalls {
            repeat(5) {
                repeat(10) { orderCount().shouldNotBeNull() }
                order() shouldBe OrderAnswer.Accepted
            }
            engine.connections.get() shouldBeLessThanOrEqual 1 + 5
        }
    }
})
