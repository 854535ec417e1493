package io.daisybend.daemon.platform

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.daemon.TestSite
import io.daisybend.daemon.daemonHttpClient
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.standins.StandIn
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.contentType
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.random.Random

class HttpPlatformLogTest : FunSpec({
    val stream = LogStream("test")

    suspend fun withPlatform(block: suspend (HttpPlatformLog, suspend (String) -> Unit) -> Unit) {
        val platform = StandIn.platform(TestSite.freePort()).start()
        val client = daemonHttpClient()
        try {
            block(HttpPlatformLog(client, platform.address, timeoutMs = 5_000)) { switchesJson ->
                client.post("http://${platform.address}/switches") {
                    contentType(ContentType.Application.Json)
                    setBody(switchesJson)
                }
            }
        } finally {
            client.close()
            platform.stop()
        }
    }

    test("records are read back at their offsets") {
        withPlatform { log, _ ->
            log.append(stream, byteArrayOf(1)).get() shouldBe 0
            log.append(stream, byteArrayOf(2)).get() shouldBe 1
            val batch = log.read(stream, fromOffset = 1, maxRecords = 10).get().shouldNotBeNull()
            batch.records.single().payload shouldBe byteArrayOf(2)
            batch.nextOffset shouldBe 2
        }
    }

    test("an append whose response is lost has an unknown outcome and is stored") {
        withPlatform { log, setSwitches ->
            setSwitches("""{"loseAppendAnswers":1}""")
            log.append(stream, byteArrayOf(7)).getError().shouldBeInstanceOf<LogFailure.OutcomeUnknown>()
            log.read(stream, 0, 10).get()?.records?.single()?.payload shouldBe byteArrayOf(7)
        }
    }

    test("appends and reads fail as unavailable while the log is down") {
        withPlatform { log, setSwitches ->
            setSwitches("""{"logDown":true}""")
            log.append(stream, byteArrayOf(1)).getError().shouldBeInstanceOf<LogFailure.Unavailable>()
            log.read(stream, 0, 1).getError().shouldBeInstanceOf<LogFailure.Unavailable>()
        }
    }

    test("a read of expired records fails with the first retained offset") {
        withPlatform { log, setSwitches ->
            setSwitches("""{"retentionRecords":2}""")
            repeat(5) { log.append(stream, byteArrayOf(it.toByte())) }
            val expired = log.read(stream, 0, 10).getError().shouldBeInstanceOf<LogFailure.Expired>()
            expired.firstOffset shouldBe 3
        }
    }

    test("random bytes from the platform result in typed failures") {
        val random = Random(31)
        val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val serverThread = thread(isDaemon = true) {
            while (!server.isClosed) {
                runCatching {
                    server.accept().use { socket ->
                        socket.getInputStream().read(ByteArray(4_096))
                        socket.getOutputStream().write(malformedResponse(random))
                    }
                }
            }
        }
        val client = daemonHttpClient()
        val log = HttpPlatformLog(client, "127.0.0.1:${server.localPort}", timeoutMs = 2_000)
        repeat(100) {
            log.read(stream, 0, 10).getError().shouldNotBeNull()
            log.append(stream, byteArrayOf(1)).getError().shouldNotBeNull()
        }
        client.close()
        server.close()
        serverThread.join(1_000)
    }
})

/** Returns bytes that are not an HTTP response, or an HTTP response whose body is not a valid record. */
private fun malformedResponse(random: Random): ByteArray {
    val randomBytes = random.nextBytes(random.nextInt(1, 200))
    if (random.nextBoolean()) return randomBytes
    val head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${randomBytes.size}\r\n\r\n"
    return head.toByteArray() + randomBytes
}
