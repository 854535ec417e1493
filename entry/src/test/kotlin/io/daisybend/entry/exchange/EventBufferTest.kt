package io.daisybend.entry.exchange

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.system.measureTimeMillis

class EventBufferTest : FunSpec({
    val stream = (1..40).joinToString("") { "id: $it\ndata: ${"x".repeat(it)}\n\n" }

    test("only complete events and their last id are returned, wherever the stream is split") {
        val random = Random(5)
        repeat(500) {
            val buffer = EventBuffer()
            val out = StringBuilder()
            var position = 0
            while (position < stream.length) {
                val end = minOf(stream.length, position + random.nextInt(1, 60))
                out.append(buffer.completeEvents(stream.substring(position, end).encodeToByteArray()).decodeToString())
                val lastId = Regex("id: (\\d+)\n").findAll(out).lastOrNull()?.groupValues?.get(1)
                buffer.lastEventId shouldBe lastId
                (out.isEmpty() || out.endsWith("\n\n")) shouldBe true
                position = end
            }
            out.toString() shouldBe stream
        }
    }

    test("a partial event is discarded, and the stream resumes after the last complete event") {
        val buffer = EventBuffer()
        buffer.completeEvents("id: 1\ndata: a\n\nid: 2\nda".encodeToByteArray()).decodeToString() shouldBe
            "id: 1\ndata: a\n\n"
        buffer.discardPartial()
        buffer.completeEvents("id: 2\ndata: b\n\n".encodeToByteArray()).decodeToString() shouldBe "id: 2\ndata: b\n\n"
        buffer.lastEventId shouldBe "2"
    }

    // A faulty engine that sent an event without end byte by byte kept the processor of its VM busy for seconds.
    test("the work on an event without end grows with its bytes, not with their square") {
        val buffer = EventBuffer()
        val byte = byteArrayOf('x'.code.toByte())
        val tookMs = measureTimeMillis { repeat(EVENT_BYTES) { buffer.completeEvents(byte).size shouldBe 0 } }
        tookMs shouldBeLessThan 1_500
    }
})

private const val EVENT_BYTES = 250_000
