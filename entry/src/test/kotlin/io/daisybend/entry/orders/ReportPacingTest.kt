package io.daisybend.entry.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ReportPacingTest : FunSpec({
    fun ReportPacing.requestTimesMs(untilMs: Long, isReported: Boolean) = (0L..untilMs step 10).filter { nowMs ->
        tryRequest("e-1", nowMs).also { if (it) onResult("e-1", isReported) }
    }

    test("the pause doubles with each failure in a row, up to a second") {
        ReportPacing().requestTimesMs(5_000, isReported = false) shouldBe
            listOf(0L, 120L, 360L, 840L, 1_800L, 2_760L, 3_720L, 4_680L)
    }

    test("an engine whose reports arrive is asked at the least interval") {
        ReportPacing().requestTimesMs(500, isReported = true) shouldBe listOf(0L, 120L, 240L, 360L, 480L)
    }

    test("a report ends the long pauses of its engine only, and a cleared pacing those of all") {
        val pacing = ReportPacing()
        pacing.requestTimesMs(2_000, isReported = false)
        pacing.tryRequest("e-2", 2_000) shouldBe true
        pacing.onResult("e-1", isReported = true)
        pacing.tryRequest("e-1", 2_000) shouldBe true
        repeat(4) { pacing.onResult("e-2", isReported = false) }
        pacing.tryRequest("e-2", 2_200) shouldBe false
        pacing.clear()
        pacing.tryRequest("e-2", 2_200) shouldBe true
    }
})
