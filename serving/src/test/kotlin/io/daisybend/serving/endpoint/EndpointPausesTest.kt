package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class EndpointPausesTest : FunSpec({
    val engine = Incarnation("e-1", 1)

    test("a pause lasts for the named time, at most for the longest one, and a later end outlasts an earlier one") {
        val pauses = EndpointPauses()
        pauses.leftMs(engine, nowMs = 0) shouldBe 0
        pauses.onTurnedAway(engine, pauseMs = 1_500, nowMs = 100) shouldBe 1_500
        pauses.onTurnedAway(engine, pauseMs = 200, nowMs = 300) shouldBe null
        pauses.leftMs(engine, nowMs = 1_000) shouldBe 600
        pauses.leftMs(engine, nowMs = 1_600) shouldBe 0
        pauses.onTurnedAway(engine, Long.MAX_VALUE, nowMs = 2_000) shouldBe EndpointPauses.MAX_PAUSE_MS
        pauses.onTurnedAway(Incarnation("e-2", 1), pauseMs = 0, nowMs = 0) shouldBe null
    }

    test("another incarnation of the endpoint has no pause, and ended pauses are forgotten") {
        val pauses = EndpointPauses()
        pauses.onTurnedAway(engine, pauseMs = 1_000, nowMs = 0)
        pauses.leftMs(Incarnation("e-1", 2), nowMs = 10) shouldBe 0
        pauses.current(nowMs = 10) shouldBe mapOf(engine to 990L)
        pauses.removeEnded(nowMs = 1_000)
        pauses.current(nowMs = 10).shouldBeEmpty()
    }

    // The users' rule: at most two requests between half a second after such an answer and the end of its time.
    test("an endpoint that sheds at random gets no request within the times that it named, in 500 schedules") {
        repeat(500) { seed ->
            val random = Random(seed)
            val pauses = EndpointPauses()
            val namedMs = ArrayList<Pair<Long, Long>>()
            val arrivalsMs = ArrayList<Long>()
            var nowMs = 0L
            while (nowMs < 60_000) {
                nowMs += random.nextLong(1, 40)
                if (pauses.leftMs(engine, nowMs) > 0) continue
                arrivalsMs.add(nowMs)
                if (random.nextInt(4) > 0) continue
                val pauseMs = random.nextLong(0, 9_000)
                pauses.onTurnedAway(engine, pauseMs, nowMs)
                namedMs.add(nowMs to nowMs + pauseMs)
            }
            namedMs.forEach { (fromMs, toMs) ->
                arrivalsMs.count { it > fromMs + 500 && it < toMs } shouldBeLessThanOrEqual 0
            }
        }
    }
})
