package io.daisybend.entry.http

import io.daisybend.entry.standin.FakeServer
import io.daisybend.platform.SocketAddress
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Many times what the buffers of a connection hold. */
private const val LONG_BODY_BYTES = 32_000_000

/** Time in which the buffers of a connection are full, in milliseconds. */
private const val FULL_MS = 300L

private const val CANCELLED_CONNECTS = 2_000

/** What opening a connection takes at most, mostly, in microseconds. */
private const val CONNECT_MICROS = 1_000
private const val NANOS_PER_MICRO = 1_000L

/** Time in which an engine must learn that its request was given up, in milliseconds. */
private const val CLOSE_MS = 400

/** Writes to the other end until that fails; returns whether it does within [CLOSE_MS]. */
private fun Socket.failsToWriteInTime(): Boolean {
    val startedAt = TimeSource.Monotonic.markNow()
    try {
        while (startedAt.elapsedNow() < CLOSE_MS.milliseconds) {
            getOutputStream().write(0)
            Thread.sleep(5)
        }
    } catch (expectedClose: IOException) {
        return true
    }
    return false
}

class ConnectionCloseTest : FunSpec({
    // Engines went on with requests that had been given up: the connection stayed open until they had read the body.
    test("a connection is closed although its peer does not read what was written") {
        SelectorManager(Dispatchers.IO).use { selector ->
            ServerSocket(0).use { listener ->
                val pool = ConnectionPool(selector) { System.nanoTime() / 1_000_000 }
                val connection = pool.connect(SocketAddress("127.0.0.1", listener.localPort), 1_000).shouldNotBeNull()
                listener.accept().use { peer ->
                    val writing = launch { connection.sink.writeAll(ByteArray(LONG_BODY_BYTES)) }
                    delay(FULL_MS)
                    writing.cancel()
                    connection.close()
                    check(peer.failsToWriteInTime()) { "expected a closed connection after $CLOSE_MS ms" }
                }
            }
        }
    }

    test("a connection that opens as its request is cancelled is closed") {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        SelectorManager(Dispatchers.IO).use { selector ->
            val server = FakeServer(scope) {}.start(selector)
            val pool = ConnectionPool(selector) { System.nanoTime() / 1_000_000 }
            val address = SocketAddress("127.0.0.1", server.port)
            repeat(CANCELLED_CONNECTS) { number ->
                val connecting = scope.launch { pool.connect(address, 1_000)?.close() }
                val cancelledAtNanos = System.nanoTime() + number % CONNECT_MICROS * NANOS_PER_MICRO
                while (System.nanoTime() < cancelledAtNanos) Thread.onSpinWait()
                connecting.cancelAndJoin()
            }
            eventually(3.seconds) { server.connectionCount shouldBe 0 }
        }
        scope.cancel()
    }
})
