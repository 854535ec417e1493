package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

class RunDurationsTest : FunSpec({
    test("the prediction follows the durations of completed runs") {
        val durations = RunDurations()
        repeat(200) { durations.onEnded(maxOutputTokens = 300, tookMs = 6_000) }
        durations.expectedMs(100) shouldBeInRange 1_900L..2_000L
    }

    test("runs of a few tokens do not change the prediction") {
        val durations = RunDurations()
        val before = durations.expectedMs(100)
        repeat(200) { durations.onEnded(maxOutputTokens = 2, tookMs = 6_000) }
        durations.expectedMs(100) shouldBe before
    }
})
