package io.daisybend.entry.exchange

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EventProgressTest : FunSpec({
    fun progressOf(vararg pieces: String) =
        EventProgress().apply { pieces.forEach { onBytes(it.toByteArray()) } }

    test("an event is complete at its empty line, with either line end and in any pieces") {
        progressOf("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r", "\n\r", "\n").eventCount shouldBe 2
        progressOf("id: 1\ndata: a\n\n").isInsideEvent shouldBe false
    }

    test("a stream is inside an event until the empty line") {
        progressOf("id: 1\ndata: a\n\nid").isInsideEvent shouldBe true
        progressOf("id: 1\ndata: a\n").isInsideEvent shouldBe true
        progressOf("id: 1\ndata: a\n").eventCount shouldBe 0
    }

    test("empty lines between events are no events") {
        progressOf("\n\nid: 1\n\n\n\n").eventCount shouldBe 1
    }
})
