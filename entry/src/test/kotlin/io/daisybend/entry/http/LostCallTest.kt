package io.daisybend.entry.http

import com.github.michaelbull.result.getError
import io.daisybend.platform.SocketAddress
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket

private const val BODY_BYTES = 400_000
private const val NANOS_PER_MILLI = 1_000_000L

/** Returns how many bytes arrive until the connection ends. */
private fun Socket.countRest(): Int {
    val piece = ByteArray(65_536)
    var count = 0
    try {
        while (true) {
            val read = getInputStream().read(piece)
            if (read < 0) return count
            count += read
        }
    } catch (expectedReset: IOException) {
        return count
    }
}

class LostCallTest : FunSpec({
    // The system went on sending the rest after the call had failed, for a minute on a link that was cut.
    test("what the peer has not received when a call times out is not delivered later") {
        ServerSocket().use { server ->
            server.receiveBufferSize = 4_096
            server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            SelectorManager(Dispatchers.IO).use { selector ->
                val pool = ConnectionPool(selector) { System.nanoTime() / NANOS_PER_MILLI }
                val address = SocketAddress("127.0.0.1", server.localPort)
                val response = PooledHttpClient(pool)
                    .call(address, "POST", "/x", emptyList(), ByteArray(BODY_BYTES), timeoutMs = 200, 10_000)
                response.getError().shouldNotBeNull()
                delay(700)
                server.accept().use { it.countRest() } shouldBeLessThan BODY_BYTES / 4
            }
        }
    }
})
