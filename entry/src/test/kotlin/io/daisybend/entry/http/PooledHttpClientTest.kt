package io.daisybend.entry.http

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.entry.standin.FakeServer
import io.daisybend.entry.standin.FakeServerCall
import io.daisybend.platform.HttpClient
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreFailure
import io.daisybend.platform.StoreTopic
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay

private const val BODY = """{"offset":7,"end":8}"""
private const val HEAD = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nKeep-Alive: timeout=5\r\n"
private const val WITH_LENGTH = HEAD + "Content-Length: 20\r\n\r\n" + BODY
private const val IN_CHUNKS =
    HEAD + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + BODY + "\r\n0\r\nX-Checksum: 1\r\n\r\n"
private const val INTERIM_HEAD = "HTTP/1.1 103 Early Hints\r\nServer-Load: 1,0,6\r\n\r\n"

/** Time in which bytes arrive before a reset, which discards the others, in milliseconds. */
private const val TIME_TO_ARRIVE_MS = 5L

private suspend fun FakeServerCall.write(bytes: String) =
    sink.writeAll(bytes.toByteArray(Charsets.ISO_8859_1))

/** Runs [check] with a client and the address of a server that handles its calls with [handle]. */
private suspend fun withServer(
    handle: suspend (FakeServerCall) -> Unit,
    check: suspend (HttpClient, SocketAddress) -> Unit,
) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    SelectorManager(Dispatchers.IO).use { selector ->
        try {
            val server = FakeServer(scope, handle).start(selector)
            val pool = ConnectionPool(selector) { System.nanoTime() / NANOS_PER_MILLI }
            check(PooledHttpClient(pool), SocketAddress("127.0.0.1", server.port))
        } finally {
            scope.cancel()
        }
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

private suspend fun HttpClient.get(address: SocketAddress) =
    call(address, "GET", "/x", emptyList(), ByteArray(0), timeoutMs = 3_000, maxResponseBytes = 10_000)

class PooledHttpClientTest : FunSpec({
    test("a response of the store or an engine that is cut at any byte is no response, on a new or kept connection") {
        var cutBytes: Int? = null
        var endsWithReset = false
        var response = WITH_LENGTH
        var wasFirst = false
        withServer(
            handle = { call ->
                val count = cutBytes
                if (count == null) {
                    call.write(response)
                } else {
                    wasFirst = call.isFirst
                    call.write(response.take(count))
                    delay(TIME_TO_ARRIVE_MS)
                    if (endsWithReset) call.resetConnection() else call.closeConnection()
                }
            },
        ) { client, address ->
            for (text in listOf(WITH_LENGTH, IN_CHUNKS)) {
                response = text
                for (reset in listOf(false, true)) {
                    endsWithReset = reset
                    for (count in text.indices) {
                        withClue("$count bytes of a response, reset: $reset") {
                            cutBytes = null
                            if (count % 2 == 0) client.get(address).get()?.text shouldBe BODY
                            cutBytes = count
                            client.get(address).getError().shouldNotBeNull()
                            wasFirst shouldBe (count % 2 == 1)
                        }
                    }
                }
            }
        }
    }

    // The final response answered the next call on the connection: a report became the answer to an order.
    test("an interim head is not the response, and the response that follows it is not that to the next call") {
        var count = 0
        withServer(
            handle = { call ->
                val number = ++count
                call.write(INTERIM_HEAD)
                delay(50)
                call.respond(200, "response $number".encodeToByteArray())
            },
        ) { client, address ->
            repeat(3) { client.get(address).get()?.text shouldBe "response ${it + 1}" }
        }
    }

    test("interim heads without end are no response") {
        withServer(handle = { call -> while (true) call.write(INTERIM_HEAD) }) { client, address ->
            client.get(address).getError().shouldNotBeNull()
        }
    }

    // The append was taken for refused, although the store may have carried it out.
    test("an append whose connection ends after an interim head may have taken effect") {
        withServer(
            handle = { call ->
                call.write(INTERIM_HEAD)
                delay(TIME_TO_ARRIVE_MS)
                call.closeConnection()
            },
        ) { client, address ->
            StoreClient(client, address).append(StoreTopic.DUTY, ByteArray(1), atOffset = 7, timeoutMs = 3_000)
                .getError().shouldBeInstanceOf<StoreFailure.NoAnswer>()
        }
    }
})
