package io.daisybend.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

class EventLogTest : FunSpec({
    test("lines above the limit per second are counted and not written") {
        val log = EventLog("vm-1", maxLinesPerSecond = 5)
        repeat(1_000) { log.write("overload", "number" to it) }
        // The loop may extend over up to three calendar seconds, each with its own limit of five lines.
        log.droppedCount shouldBeGreaterThanOrEqual 985L
    }

    test("lines that do not fit into the output queue are counted, and writing does not block") {
        var room = 0
        val log = EventLog("vm-1", queueCapacity = { room })
        repeat(100) { log.write("overload", "number" to it) }
        log.droppedCount shouldBe 100
        room = 1
        log.write("relieved")
        log.droppedCount shouldBe 100
    }
})
