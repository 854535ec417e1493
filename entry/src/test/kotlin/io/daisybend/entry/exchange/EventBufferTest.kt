package io.daisybend.entry.exchange

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

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
})
