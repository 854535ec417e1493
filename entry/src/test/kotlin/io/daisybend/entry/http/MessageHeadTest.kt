package io.daisybend.entry.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.io.IOException
import kotlin.random.Random

internal fun sourceOf(text: String) = ByteSource(ByteReadChannel(text.toByteArray(Charsets.ISO_8859_1)))

/** A connection that is reset after [text] has arrived. */
private suspend fun resetSourceOf(text: String): ByteSource {
    val channel = ByteChannel()
    channel.writeFully(text.toByteArray(Charsets.ISO_8859_1))
    channel.flush()
    val source = ByteSource(channel)
    while (text.isNotEmpty() && !source.hasPendingInput) delay(1)
    channel.cancel(IOException("reset by peer"))
    return source
}

private suspend fun parseRequest(text: String, maxBytes: Int = 4_096): RequestHead? =
    sourceOf(text).readHeadLines(maxBytes)?.let(::parseRequestHead)

private suspend fun parseProblemOf(text: String): MalformedMessage =
    shouldThrow<MalformedMessageException> { parseRequest(text, maxBytes = 200) }.problem

class MessageHeadTest : FunSpec({
    test("a request head is parsed with its framing") {
        val head = parseRequest(
            "POST /a/b?c=1 HTTP/1.1\r\nHost: x.example:80\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
        )!!
        head.method shouldBe "POST"
        head.path shouldBe "/a/b"
        head.host shouldBe "x.example"
        head.framing shouldBe BodyFraming.Length(5)
        head.keepAlive shouldBe false
    }

    test("a connection that ends before a request yields no request, and one that ends within a request is broken") {
        parseRequest("") shouldBe null
        shouldThrow<ConnectionBrokenException> { parseRequest("GET / HT") }
    }

    test("requests that two parsers could interpret differently are rejected") {
        val host = "Host: x\r\n"
        listOf(
            "POST / HTTP/1.1\r\n${host}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST / HTTP/1.1\r\n${host}Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
            "POST / HTTP/1.1\r\n${host}Content-Length: +5\r\n\r\n",
            "POST / HTTP/1.1\r\n${host}Content-Length: 5, 5\r\n\r\n",
            "POST / HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
            "GET / HTTP/1.1\r\n${host}Bad Name: 1\r\n\r\n",
            "GET / HTTP/1.1\r\n${host}Name : 1\r\n\r\n",
            "GET / HTTP/1.1\r\n${host}A: 1\r\n continued\r\n\r\n",
            "GET / HTTP/1.1\nHost: x\n\n",
            "GET / HTTP/1.1\r\n${host}A: a\rB: b\r\n\r\n",
            "GET / HTTP/1.1\r\n${host}A: \u0000\r\n\r\n",
            "GET / HTTP/1.1\r\nA: 1\r\n\r\n",
            "GET / HTTP/1.1\r\n$host$host\r\n",
            "GET  / HTTP/1.1\r\n$host\r\n",
            "GET x HTTP/1.1\r\n$host\r\n",
            "GET /\t HTTP/1.1\r\n$host\r\n",
            "\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n$host\r\n",
        ).forEach { parseProblemOf(it) shouldBe MalformedMessage.BAD_REQUEST }
    }

    test("an unknown transfer coding, an unknown version and an oversized head each have their own status") {
        parseProblemOf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n") shouldBe
            MalformedMessage.UNSUPPORTED_CODING
        parseProblemOf("GET / HTTP/1.0\r\nHost: x\r\n\r\n") shouldBe MalformedMessage.UNSUPPORTED_VERSION
        parseProblemOf("GET / HTTP/1.1\r\nA: ${"a".repeat(300)}\r\n\r\n") shouldBe MalformedMessage.HEAD_TOO_LARGE
        parseProblemOf("G".repeat(300)) shouldBe MalformedMessage.HEAD_TOO_LARGE
    }

    test("the framing of a response depends on its status, its headers and the request method") {
        fun framingOf(text: String, method: String = "GET") = parseResponseHead(text.split("\r\n"), method).framing
        framingOf("HTTP/1.1 200 OK\r\nContent-Length: 7") shouldBe BodyFraming.Length(7)
        framingOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked") shouldBe BodyFraming.Chunked
        framingOf("HTTP/1.1 200 OK") shouldBe BodyFraming.UntilClose
        framingOf("HTTP/1.1 204 No Content") shouldBe BodyFraming.Length(0)
        framingOf("HTTP/1.1 200 OK\r\nContent-Length: 7", "HEAD") shouldBe BodyFraming.Length(0)
        parseResponseHead(
            listOf("HTTP/1.1 200 OK", "Keep-Alive: timeout=5", "Content-Length: 0"),
            "GET",
        ).keepAliveMs shouldBe
            5_000
        shouldThrow<MalformedMessageException> { parseResponseHead(listOf("HTTP/1.1 abc"), "GET") }
    }

    test("a head that is cut at any byte is no head, with an orderly end or a reset") {
        val heads = listOf(
            "HTTP/1.1 200 OK\r\nX-Daisybend-Response-Seal: 3e1b.07\r\nContent-Length: 1234\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Daisybend-Response-Seal: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST /a/ HTTP/1.1\r\nHost: x.example\r\nContent-Length: 1234\r\n\r\n",
        )
        for (head in heads) {
            sourceOf(head).readHeadLines(4_096)!!.size shouldBe 3
            sourceOf("").readHeadLines(4_096) shouldBe null
            for (cutBytes in 1 until head.length) {
                shouldThrow<ConnectionBrokenException> { sourceOf(head.take(cutBytes)).readHeadLines(4_096) }
            }
            for (cutBytes in head.indices) {
                shouldThrow<ConnectionBrokenException> { resetSourceOf(head.take(cutBytes)).readHeadLines(4_096) }
            }
        }
    }

    test("20,000 corrupted requests each yield a request, a typed problem or a broken connection") {
        val random = Random(11)
        val sample = "POST /a/ HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n" +
            "5\r\nhello\r\n0\r\n\r\n"
        repeat(20_000) {
            val bytes = sample.toByteArray(Charsets.ISO_8859_1)
            repeat(random.nextInt(1, 5)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            val source = sourceOf(String(bytes, 0, random.nextInt(bytes.size + 1), Charsets.ISO_8859_1))
            try {
                val head = source.readHeadLines(300)?.let(::parseRequestHead)
                head?.let { BodyReader(source, it.framing).readAll(1_000) }
            } catch (problem: MalformedMessageException) {
                problem.problem
            } catch (broken: IOException) {
                broken.message
            }
        }
    }
})

class BodyReaderTest : FunSpec({
    suspend fun bodyOf(
        text: String,
        framing: BodyFraming,
    ) = BodyReader(sourceOf(text), framing).readAll(1_000).decodeToString()

    test("a body ends where its framing says, and the following bytes stay unread") {
        bodyOf("hellomore", BodyFraming.Length(5)) shouldBe "hello"
        bodyOf("5\r\nhello\r\n1;x=y\r\n!\r\n0\r\nT: 1\r\n\r\nmore", BodyFraming.Chunked) shouldBe "hello!"
        bodyOf("hello", BodyFraming.UntilClose) shouldBe "hello"
        val source = sourceOf("hellomore")
        BodyReader(source, BodyFraming.Length(5)).readAll(10)
        source.hasPendingInput shouldBe true
    }

    test("a body that ends early fails as a broken connection") {
        shouldThrow<ConnectionBrokenException> { bodyOf("hel", BodyFraming.Length(5)) }
        shouldThrow<ConnectionBrokenException> { bodyOf("5\r\nhello\r\n", BodyFraming.Chunked) }
    }

    test("a body in chunks that is cut at any byte, also of its sizes and trailers, fails as a broken connection") {
        val body = "1a\r\n${"x".repeat(0x1a)}\r\n0;last\r\nX-Checksum: 1\r\n\r\n"
        bodyOf(body, BodyFraming.Chunked).length shouldBe 0x1a
        for (cutBytes in body.indices) {
            shouldThrow<ConnectionBrokenException> { bodyOf(body.take(cutBytes), BodyFraming.Chunked) }
        }
    }

    test("malformed chunks are rejected") {
        listOf("5\r\nhelloX\r\n", "-1\r\n", "fffffffff\r\n", "5 5\r\n", "\r\n").forEach {
            shouldThrow<MalformedMessageException> { bodyOf(it, BodyFraming.Chunked) }
        }
    }

    test("a body without a length that ends with a reset fails as a broken connection") {
        val channel = ByteChannel()
        channel.writeFully("hello".encodeToByteArray())
        channel.flush()
        val body = BodyReader(ByteSource(channel), BodyFraming.UntilClose)
        body.readPiece()!!.decodeToString() shouldBe "hello"
        channel.cancel(IOException("reset by peer"))
        shouldThrow<ConnectionBrokenException> { body.readPiece() }
    }

    test("a cancelled wait for bytes loses no bytes") {
        val channel = ByteChannel()
        val source = ByteSource(channel)
        repeat(50) {
            kotlinx.coroutines.withTimeoutOrNull(1) { source.fill() }
        }
        channel.writeFully("hello".encodeToByteArray())
        channel.flush()
        withTimeout(5_000) { source.fill() } shouldBe true
        source.takeText(5) shouldBe "hello"
    }
})
