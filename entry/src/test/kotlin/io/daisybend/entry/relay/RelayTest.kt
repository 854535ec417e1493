package io.daisybend.entry.relay

import io.daisybend.entry.http.ConnectionBrokenException
import io.daisybend.platform.SocketAddress
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runInterruptible
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LONG_BODY_BYTES = 8_000_000

/** Many times what the buffers of a relay and its connections hold. */
private const val ENDLESS_BYTES = 100_000_000

/** Time in which one side must learn that the other has closed, in milliseconds. */
private const val CLOSE_MS = 100L
private const val QUICK_MS = 250L

/** Reads until the connection ends; returns how long it took, in milliseconds. */
private suspend fun Socket.awaitClose(): Long = runInterruptible(Dispatchers.IO) {
    val startedAtMs = nowMs()
    soTimeout = 5_000
    runCatching { getInputStream().transferTo(OutputStream.nullOutputStream()) }
    nowMs() - startedAtMs
}

/** Expects a broken connection: that of the peer if [isPeerLost], otherwise that of the endpoint. */
private fun Result<Any>.shouldBeBroken(isPeerLost: Boolean = false) {
    val broken = exceptionOrNull().shouldBeInstanceOf<ConnectionBrokenException>()
    broken.cause.shouldBeInstanceOf<IOException>()::class shouldBe
        if (isPeerLost) RelayLostException::class else RelayedEndpointBrokeException::class
}

/** Relays like a VM, up to a frame of data, and then ends as the system ends the connections of a killed process. */
private fun ServerSocket.relayAndDie() = accept().use { hop ->
    hop.getInputStream().read(ByteArray(RelayFrame.MAX_MESSAGE_BYTES))
    val reply = RelayReply(RELAY_VERSION, "vm-2", RelayOutcome.CONNECTED)
    hop.getOutputStream().write(encodeRelayMessage(RelayReply.serializer(), reply))
    hop.getOutputStream().write(RelayFrame.header(4) + "part".toByteArray())
}

class RelayTest : FunSpec({
    test("long bodies arrive whole in both directions, also when the readers are slow") {
        withRelay {
            val (connection, endpoint) = open()
            val body = Random(1).nextBytes(LONG_BODY_BYTES)
            val atEndpoint = scope.async(Dispatchers.IO) {
                delay(100)
                endpoint.getInputStream().readNBytes(LONG_BODY_BYTES)
            }
            connection.sink.writeAll(body)
            atEndpoint.await() contentEquals body shouldBe true
            scope.launch(Dispatchers.IO) { endpoint.use { it.getOutputStream().write(body) } }
            delay(100)
            connection.source.readToEnd() contentEquals body shouldBe true
            connection.relayedBy shouldBe "vm-2"
            eventually(3.seconds) { metrics.text() shouldContain "daisybend_relay_bytes_total{to=\"peer\"} 8000000.0" }
        }
    }

    test("a caller that does not read holds up the endpoint instead of filling the memory") {
        withRelay {
            val (_, endpoint) = open()
            val writing = scope.launch(Dispatchers.IO) {
                runCatching { endpoint.getOutputStream().write(ByteArray(ENDLESS_BYTES)) }
            }
            withTimeoutOrNull(1_000) { writing.join() } shouldBe null
            endpoint.close()
        }
    }

    test("an orderly end of the endpoint arrives as one, its reset as a break") {
        withRelay {
            repeat(40) { round ->
                val (connection, endpoint) = open()
                connection.sink.writeAll(ByteArray(10))
                endpoint.getInputStream().readNBytes(10)
                endpoint.getOutputStream().write(ByteArray(20))
                if (round % 2 == 1) endpoint.setSoLinger(true, 0)
                endpoint.close()
                val received = runCatching { connection.source.readToEnd().size }
                if (round % 2 == 0) received.getOrThrow() shouldBe 20 else received.shouldBeBroken()
            }
        }
    }

    test("an endpoint that ends its connection before it has the whole request leaves a break") {
        withRelay {
            val (connection, endpoint) = open()
            scope.launch { connection.sink.writeAll(ByteArray(ENDLESS_BYTES)) }
            endpoint.getInputStream().readNBytes(1_000)
            endpoint.shutdownOutput()
            runCatching { connection.source.readToEnd() }.shouldBeBroken()
        }
    }

    test("a peer that is killed leaves a break, not an end") {
        RelayRig().use { rig ->
            ServerSocket(0).use { killed ->
                rig.scope.launch(Dispatchers.IO) { killed.relayAndDie() }
                val result = rig.connect(peer = rig.peerAt(killed.localPort))
                val connection = result.shouldBeInstanceOf<RelayResult.Connected>().connection
                runCatching { connection.source.readToEnd() }.shouldBeBroken(isPeerLost = true)
            }
        }
    }

    test("the endpoint's connection is closed at once when the caller's is, also while the endpoint reads nothing") {
        withRelay {
            repeat(10) {
                val (connection, endpoint) = open()
                connection.close()
                endpoint.awaitClose() shouldBeLessThan CLOSE_MS
            }
            val (connection, endpoint) = open()
            val writing = scope.launch { connection.sink.writeAll(ByteArray(ENDLESS_BYTES)) }
            delay(500)
            writing.cancel()
            connection.close()
            // Bytes in either direction would show the helping VM that its peer has closed.
            eventually(CLOSE_MS.milliseconds) { server.inProgress shouldBe 0 }
            endpoint.awaitClose() shouldBeLessThan CLOSE_MS
        }
    }

    test("a relay is refused quickly for an endpoint that is not listed or down, and by a VM that may not help") {
        withRelay(RelayLimits(maxRelays = 1)) {
            val down = ServerSocket(0).use { SocketAddress("127.0.0.1", it.localPort) }
            val startedAtMs = nowMs()
            connect(to = down) shouldBe RelayResult.PeerUnavailable("not listed")
            listed.add(down)
            connect(to = down) shouldBe RelayResult.EndpointUnreachable
            mayHelp = false
            connect() shouldBe RelayResult.PeerUnavailable("without a way to the endpoints")
            mayHelp = true
            val (connection, _) = open()
            connect() shouldBe RelayResult.PeerUnavailable("busy with 1 relays")
            connect(peer = peerAt(down.port)).shouldBeInstanceOf<RelayResult.PeerUnavailable>()
            nowMs() - startedAtMs shouldBeLessThan 5 * QUICK_MS
            connection.close()
        }
    }

    test("a peer that hangs is unavailable when the time is up") {
        withRelay {
            val startedAtMs = nowMs()
            ServerSocket(0).use { connect(peer = peerAt(it.localPort), timeoutMs = 300) } shouldBe
                RelayResult.PeerUnavailable("no answer within 300 ms")
            nowMs() - startedAtMs shouldBeLessThan 300 + QUICK_MS
        }
    }

    test("garbage and connections that say nothing do no harm") {
        withRelay(RelayLimits(maxRelays = 1, requestTimeoutMs = 300)) {
            val sockets = List(60) { round ->
                val garbage = Random(round).nextBytes(round * 50)
                Socket("127.0.0.1", peer.address.port).apply {
                    getOutputStream().write(if (round % 2 == 0) garbage else RelayFrame.header(100) + garbage)
                }
            }
            open().first.close()
            sockets.forEach { it.awaitClose() shouldBeLessThan 300 + QUICK_MS }
            eventually(1.seconds) { server.inProgress shouldBe 0 }
        }
    }

    test("two hundred relays work at once") {
        withRelay {
            val relays = coroutineScope { List(200) { async { open() } }.awaitAll() }
            server.inProgress shouldBe 200
            relays.forEach { (_, endpoint) ->
                scope.launch(Dispatchers.IO) { endpoint.use { it.getOutputStream().write(ByteArray(50_000)) } }
            }
            relays.forEach { (connection, _) -> connection.source.readToEnd().size shouldBe 50_000 }
        }
    }

    test("a relayed connection is kept like others until its peer stops or it is idle for too long") {
        withRelay(RelayLimits(idleTimeoutMs = 400)) {
            pool.release(open().first, 10_000)
            pool.closeIdleRelayedBy("vm-2")
            pool.takeIdle(target) { it.relayedBy != null }.shouldBeNull()
            val (idle, endpoint) = open()
            endpoint.awaitClose() shouldBeLessThan 400 + QUICK_MS
            runCatching { idle.source.readToEnd() }.shouldBeBroken(isPeerLost = true)
            eventually(1.seconds) { server.inProgress shouldBe 0 }
            val kept = List(3) { open().first }.onEach { pool.release(it, 10_000) }
            pool.release(pool.takeIdle(target) { it.relayedBy != null }.shouldNotBeNull(), 10_000)
            server.startDraining()
            eventually(300.milliseconds) { kept.none { it.isReusable } shouldBe true }
            pool.takeIdle(target) { it.relayedBy != null }.shouldBeNull()
            connect() shouldBe RelayResult.PeerUnavailable("stopping")
        }
    }
})
