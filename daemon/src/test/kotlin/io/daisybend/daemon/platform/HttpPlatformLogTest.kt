package io.daisybend.daemon.platform

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.daemon.daemonHttpClient
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.standins.StandIn
import io.daisybend.standins.freePort
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

    suspend fun withPlatform(body: suspend (HttpPlatformLog, suspend (String) -> Unit) -> Unit) {
        val platform = StandIn.platform(freePort()).start()
        val client = daemonHttpClient()
        try {
            body(HttpPlatformLog(client, platform.address, timeoutMs = 5_000)) { switches ->
                client.post("http://${platform.address}/switches") {
                    contentType(ContentType.Application.Json)
                    setBody(switches)
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

    test("an append whose answer is lost has an unknown outcome and took effect") {
        withPlatform { log, switch ->
            switch("""{"loseAppendAnswers":1}""")
            log.append(stream, byteArrayOf(7)).getError().shouldBeInstanceOf<LogFailure.OutcomeUnknown>()
            log.read(stream, 0, 10).get()?.records?.single()?.payload shouldBe byteArrayOf(7)
        }
    }

    test("a log that is down is unavailable") {
        withPlatform { log, switch ->
            switch("""{"logDown":true}""")
            log.append(stream, byteArrayOf(1)).getError().shouldBeInstanceOf<LogFailure.Unavailable>()
            log.read(stream, 0, 1).getError().shouldBeInstanceOf<LogFailure.Unavailable>()
        }
    }

    test("records past their retention are expired and the first kept offset is told") {
        withPlatform { log, switch ->
            switch("""{"retentionRecords":2}""")
            repeat(5) { log.append(stream, byteArrayOf(it.toByte())) }
            val expired = log.read(stream, 0, 10).getError().shouldBeInstanceOf<LogFailure.Expired>()
            expired.firstOffset shouldBe 3
        }
    }

    test("random bytes from the platform give typed failures") {
        val random = Random(31)
        val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val answering = thread(isDaemon = true) {
            while (!server.isClosed) {
                runCatching {
                    server.accept().use { socket ->
                        socket.getInputStream().read(ByteArray(4_096))
                        socket.getOutputStream().write(malformedAnswer(random))
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
        answering.join(1_000)
    }
})

/** Returns bytes that are no HTTP answer, or an HTTP answer with a body that is no record. */
private fun malformedAnswer(random: Random): ByteArray {
    val noise = random.nextBytes(random.nextInt(1, 200))
    if (random.nextBoolean()) return noise
    val head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${noise.size}\r\n\r\n"
    return head.toByteArray() + noise
}
