package io.daisybend.serving.residency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

private const val FULL_SPEED_MS = 8_000L

/** A weight store that runs [fullSpeedLoads] at full speed; a load beyond them takes proportionally longer. */
private class SimulatedStore(private val fullSpeedLoads: Int) {
    private class Load(val concurrent: Int, val startedAtMs: Long, val endsAtMs: Long)

    private val loads = ArrayList<Load>()
    val concurrency = StoreConcurrency()
    val limit get() = concurrency.limit

    /** Keeps as many loads under way as the limit allows for [durationMs]; returns the number of loads that ended. */
    fun saturate(durationMs: Long): Int {
        var ended = 0
        for (nowMs in 0 until durationMs step 100) {
            val due = loads.filter { it.endsAtMs <= nowMs }
            loads.removeAll(due)
            due.forEach { concurrency.onLoadEnded(it.concurrent, nowMs - it.startedAtMs, FULL_SPEED_MS, nowMs) }
            ended += due.size
            while (loads.size < concurrency.limit) {
                val concurrent = loads.size + 1
                val tookMs = FULL_SPEED_MS * maxOf(1.0, concurrent.toDouble() / fullSpeedLoads)
                loads.add(Load(concurrent, nowMs, nowMs + tookMs.toLong()))
            }
        }
        return ended
    }
}

class StoreConcurrencyTest : FunSpec({
    listOf(1, 2, 3, 4, 8).forEach { fullSpeedLoads ->
        test("the limit follows a store that runs $fullSpeedLoads loads at full speed") {
            val store = SimulatedStore(fullSpeedLoads)
            store.saturate(durationMs = 120_000)
            store.limit shouldBeInRange fullSpeedLoads..fullSpeedLoads + 1
        }
    }

    test("a limited store completes as many loads as one that all loads are sent to at once") {
        // Two loads in 8 s, less the loads that are still under way at the end.
        SimulatedStore(fullSpeedLoads = 2).saturate(durationMs = 120_000) shouldBeInRange 26..30
    }

    test("a load at full speed does not raise the limit while fewer loads than allowed were under way") {
        val concurrency = StoreConcurrency()
        concurrency.onLoadEnded(concurrent = 1, tookMs = 8_100, fullSpeedMs = FULL_SPEED_MS, nowMs = 10_000)
        concurrency.limit shouldBe 4
    }

    test("a single slow load lowers no limit, and a second one does") {
        val concurrency = StoreConcurrency()
        concurrency.onLoadEnded(concurrent = 1, tookMs = 60_000, fullSpeedMs = FULL_SPEED_MS, nowMs = 60_000)
        concurrency.limit shouldBe 4
        concurrency.onLoadEnded(concurrent = 4, tookMs = 16_000, fullSpeedMs = FULL_SPEED_MS, nowMs = 61_000)
        concurrency.limit shouldBe 2
    }

    test("two slow loads far apart do not confirm each other") {
        val concurrency = StoreConcurrency()
        concurrency.onLoadEnded(concurrent = 1, tookMs = 60_000, fullSpeedMs = FULL_SPEED_MS, nowMs = 60_000)
        concurrency.onLoadEnded(concurrent = 1, tookMs = 60_000, fullSpeedMs = FULL_SPEED_MS, nowMs = 160_000)
        concurrency.limit shouldBe 4
    }

    test("a limit that was lowered wrongly rises again") {
        val store = SimulatedStore(fullSpeedLoads = 4)
        repeat(2) {
            store.concurrency.onLoadEnded(concurrent = 4, tookMs = 90_000, fullSpeedMs = FULL_SPEED_MS, nowMs = 0)
        }
        store.limit shouldBe 1
        store.saturate(durationMs = 150_000)
        store.limit shouldBeInRange 4..5
    }

    test("a load whose duration is mostly the lag of its report changes nothing") {
        val concurrency = StoreConcurrency()
        repeat(3) { concurrency.onLoadEnded(concurrent = 1, tookMs = 900, fullSpeedMs = 200, nowMs = 60_000) }
        concurrency.limit shouldBe 4
    }
})
