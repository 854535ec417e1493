package io.daisybend.transport

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.kernel.VmId
import io.daisybend.kernel.settings.HostAndPort
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.awaitCancellation
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random

class PeerNetworkTest : FunSpec({
    val secret = "a secret of the test".toByteArray()
    val alpha = VmId("alpha")
    val beta = VmId("beta")

    // Below the ephemeral range: a connection could take an ephemeral port before the listener binds it.
    fun freeAddress() = generateSequence { (12_000 until 32_000).random() }
        .first { port -> runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess }
        .let { HostAndPort("127.0.0.1", it) }

    suspend fun withPair(
        dialerSecret: ByteArray = secret,
        limits: PeerLimits = PeerLimits(),
        listenerLimits: PeerLimits = limits,
        body: suspend (PeerNetwork, PeerNetwork, HostAndPort) -> Unit,
    ) {
        val address = freeAddress()
        val dialer = PeerNetwork(alpha, dialerSecret, { address }, limits)
        val listener = PeerNetwork(beta, secret, { null }, listenerLimits)
        try {
            listener.listen(address)
            body(dialer, listener, address)
        } finally {
            dialer.close()
            listener.close()
        }
    }

    test("a call is handled by the handler of its channel, which receives the id of the calling VM") {
        withPair { dialer, listener, _ ->
            listener.registerHandler("echo") { from, payload -> from.value.toByteArray() + payload }
            val response = dialer.call(beta, "echo", byteArrayOf(1, 2), timeoutMs = 5_000).get()
            response shouldBe alpha.value.toByteArray() + byteArrayOf(1, 2)
        }
    }

    test("a process with a different secret is rejected") {
        withPair(dialerSecret = "another".toByteArray()) { dialer, listener, _ ->
            listener.registerHandler("echo") { _, payload -> payload }
            val failure = dialer.call(beta, "echo", byteArrayOf(1), timeoutMs = 5_000).getError()
            failure.shouldBeInstanceOf<PeerFailure.NotAuthenticated>().mayHaveHandled shouldBe false
        }
    }

    test("a call without a response times out and may have been handled") {
        withPair { dialer, listener, _ ->
            listener.registerHandler("silent") { _, _ -> awaitCancellation() }
            val failure = dialer.call(beta, "silent", byteArrayOf(1), timeoutMs = 100).getError()
            failure.shouldBeInstanceOf<PeerFailure.TimedOut>().mayHaveHandled shouldBe true
        }
    }

    test("a handler that throws fails only that call and handles the next one") {
        withPair { dialer, listener, _ ->
            var calls = 0
            listener.registerHandler("fragile") { _, payload ->
                check(calls++ > 0) { "expected a second call" }
                payload
            }
            dialer.call(beta, "fragile", byteArrayOf(1), 5_000).getError().shouldBeInstanceOf<PeerFailure.Refused>()
            dialer.call(beta, "fragile", byteArrayOf(2), 5_000).get() shouldBe byteArrayOf(2)
        }
    }

    test("a payload above the frame size limit is rejected before it is sent") {
        withPair(limits = PeerLimits(maxFrameBytes = 2_000)) { dialer, listener, _ ->
            listener.registerHandler("echo") { _, payload -> payload }
            val failure = dialer.call(beta, "echo", ByteArray(3_000), 5_000).getError()
            failure.shouldBeInstanceOf<PeerFailure.TooLarge>()
        }
    }

    test("a call to a peer that is not listening fails as not connected") {
        val network = PeerNetwork(alpha, secret, { freeAddress() })
        val failure = network.call(beta, "echo", byteArrayOf(1), 1_000).getError()
        failure.shouldBeInstanceOf<PeerFailure.NotConnected>().mayHaveHandled shouldBe false
        network.close()
    }

    test("random bytes on the peer port are rejected and later calls succeed") {
        withPair(
            limits = PeerLimits(connectTimeoutMs = 5_000),
            listenerLimits = PeerLimits(connectTimeoutMs = 300),
        ) { dialer, listener, address ->
            listener.registerHandler("echo") { _, payload -> payload }
            val random = Random(5)
            repeat(200) {
                Socket(address.host, address.port).use { socket ->
                    runCatching { socket.getOutputStream().write(random.nextBytes(random.nextInt(1, 200))) }
                }
            }
            dialer.call(beta, "echo", byteArrayOf(9), 5_000).get() shouldBe byteArrayOf(9)
        }
    }
})
