package io.daisybend.entry.exchange

import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionPool
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.parseRequestHead
import io.daisybend.entry.http.parseResponseHead
import io.daisybend.entry.http.readAll
import io.daisybend.entry.path.WaitingExchanges
import io.daisybend.platform.EndpointResponseHeaders
import io.daisybend.platform.SendHeaders
import io.daisybend.platform.SocketAddress
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val PART = "part of a body"
private const val ANSWER = "HTTP/1.1 200 OK\r\nX-Daisybend-Attempt-Id: a1\r\nX-Daisybend-Response-Seal: s\r\n\r\n$PART"

/** More than the buffers of a connection take, so that the upload is under way at the reset. */
private const val BODY_BYTES = 32_000_000
private const val TRIES = 60

/** Longer than the first connection of a busy machine takes, in milliseconds. */
private const val CONNECT_TIMEOUT_MS = 5_000L

private object NoGuard : SendGuard {
    override val mayMove = false

    override fun maySend() = true

    override fun onWriting(connection: Connection) = Unit

    override fun onHead(headers: EndpointResponseHeaders) = Unit

    override fun onUnrelated(status: Int, headers: EndpointResponseHeaders) = Unit
}

private fun endpointAt(port: Int) = EndpointTable().run {
    val entry = EndpointEntry(Incarnation("e-1", 1), "s", "127.0.0.1", port, "north", 6, false, holdings = null)
    put(entry, nowMs = 0)
    all().single()
}

/** Accepts connections one after the other, answers each one at its first byte, and resets it after a pause. */
private fun ServerSocket.answerAndReset() = thread {
    try {
        for (attempt in 0 until TRIES) {
            val connection = accept()
            connection.getInputStream().read()
            connection.getOutputStream().write(ANSWER.toByteArray())
            Thread.sleep(attempt % 7L)
            connection.setSoLinger(true, 0)
            connection.close()
        }
    } catch (expectedEnd: IOException) {
        return@thread
    }
}

class EarlyAnswerTest : FunSpec({
    // A reset is reported once. Where the writer of the request got the report, the answer seemed to end in order.
    test("an answer without a length that is reset while its request is being written is never complete") {
        val server = ServerSocket(0, TRIES, InetAddress.getLoopbackAddress())
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        server.answerAndReset()
        SelectorManager(Dispatchers.IO).use { selector ->
            val nowMs = { System.nanoTime() / 1_000_000 }
            val pool = ConnectionPool(selector, steadyMs = nowMs)
            val open: suspend (SocketAddress, String?, Long) -> Connection? = { address, _, timeoutMs ->
                pool.connect(address, timeoutMs)
            }
            val connections = EndpointConnections(pool, open, WaitingExchanges(nowMs))
            val head = parseRequestHead(listOf("POST /x HTTP/1.1", "Host: site"))
            val request = BufferedRequest(head, ByteArray(BODY_BYTES), "a1")
            val headers = SendHeaders(3_000, "e-1", team = null, enginePriority = null, lastEventId = null)
            repeat(TRIES) { attempt ->
                withClue("attempt $attempt") {
                    withTimeout(10.seconds) {
                        val endpoint = endpointAt(server.localPort)
                        val start =
                            startSend(connections, scope, request, endpoint, headers, CONNECT_TIMEOUT_MS, NoGuard)
                        if (start !is SendStart.HeadReceived) {
                            start.shouldBeInstanceOf<SendStart.NoResponse>()
                        } else {
                            shouldThrow<IOException> { start.exchange.body.readAll(100_000) }
                            start.exchange.abort()
                        }
                    }
                }
            }
        }
        scope.cancel()
        server.close()
    }

    // On a busy machine the endpoint reads a request, answers and closes before the thread that wrote it goes on.
    test("an answer without a length is complete if its request was sent, also when the writer ends late") {
        val server = ServerSocket(0, TRIES, InetAddress.getLoopbackAddress())
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val serving = thread { repeat(2) { server.accept().use { it.getOutputStream().write(PART.toByteArray()) } } }
        SelectorManager(Dispatchers.IO).use { selector ->
            val pool = ConnectionPool(selector) { System.nanoTime() / 1_000_000 }
            suspend fun exchange(isSent: Boolean) = EndpointExchange(
                pool,
                pool.connect(SocketAddress("127.0.0.1", server.localPort), CONNECT_TIMEOUT_MS)!!,
                parseResponseHead(listOf("HTTP/1.1 200 OK"), "POST"),
                writeJob = scope.async {
                    delay(100)
                    isSent
                },
            )
            exchange(isSent = true).body.readAll(100).decodeToString() shouldBe PART
            shouldThrow<IOException> { exchange(isSent = false).body.readAll(100) }
        }
        serving.join()
        scope.cancel()
        server.close()
    }

    test("a status outside 100 to 599 is no answer, whatever follows it") {
        listOf("000", "099", "600", "999", "-20", "+20", "20", "2000", "2x0", "").forEach { status ->
            withClue(status) {
                val lines = listOf("HTTP/1.1 $status OK", "X-Daisybend-Response-Seal: s", "Content-Length: 0")
                shouldThrow<MalformedMessageException> { parseResponseHead(lines, "GET") }
            }
        }
        parseResponseHead(listOf("HTTP/1.1 599 X"), "GET").status shouldBe 599
    }
})
