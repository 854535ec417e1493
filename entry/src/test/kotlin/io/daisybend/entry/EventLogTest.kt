package io.daisybend.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

class EventLogTest : FunSpec({
    test("lines beyond the limit of a second are counted instead of written") {
        val log = EventLog("vm-1", maxLinesPerSecond = 5)
        repeat(1_000) { log.write("overload", "number" to it) }
        // The loop may run into a second and a third second, each with its own five lines.
        log.droppedCount shouldBeGreaterThanOrEqual 985L
    }

    test("lines for which the queue to the output has no room are counted, and writing does not wait") {
        var room = 0
        val log = EventLog("vm-1", queueCapacity = { room })
        repeat(100) { log.write("overload", "number" to it) }
        log.droppedCount shouldBe 100
        room = 1
        log.write("relieved")
        log.droppedCount shouldBe 100
    }
})
