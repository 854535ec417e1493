package io.daisybend.serving.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class StorePollingTest : FunSpec({
    fun polling(configApplyMs: Long, revokeMs: Long = 5_000) =
        StorePolling(StorePollingBounds(configApplyMs, revokeMs, drainMs = 2_000))

    // A longer poll on a silent connection would bring a configuration into force after its bound.
    test("a long poll that is not answered leaves time for another read within the bound") {
        for (configApplyMs in 2_700L..4_000L step 100) {
            val longPollMs = polling(configApplyMs).operatorTimes(vmCount = 75).longPollMs
            longPollMs + 2 * StorePolling.RESPONSE_TIMEOUT_MS shouldBeLessThanOrEqual configApplyMs
        }
        polling(3_000).operatorTimes(75) shouldBe OperatorPollTimes(longPollMs = 1_500)
        polling(4_000).operatorTimes(75) shouldBe OperatorPollTimes(longPollMs = 2_500)
        polling(4_000, revokeMs = 4_000).operatorTimes(75) shouldBe OperatorPollTimes(longPollMs = 2_000)
    }

    test("fleets of up to 16 VMs and tight bounds keep the times of before") {
        val before = OperatorPollTimes(longPollMs = 1_200)
        listOf(1, 8, 16).forEach { polling(4_000).operatorTimes(it) shouldBe before }
        polling(2_000).operatorTimes(75) shouldBe before
        before.maxDenialAgeMs shouldBe 1_900
        before.maxUsableAgeMs shouldBe 2_600
        polling(3_000).retryDelayMs(vmCount = 16, Random(1)) shouldBe 250
    }

    // All VMs of a large fleet called the store in step after its return.
    test("retries in a large fleet are spread but notice the return within half a second") {
        val delays = List(200) { polling(3_000).retryDelayMs(vmCount = 75, Random(it)) }
        delays.forEach { it shouldBeInRange 250L..450L }
        (delays.distinct().size > 100) shouldBe true
    }

    // At 75 VMs that restart one after the other, each VM read the evidence each 1.5 s all day.
    test("evidence is read seldom while a few of many VMs restart, and often in a partition") {
        polling(3_000).evidenceIntervalMs(vmCount = 75, unreachableShare = 2 / 75.0) shouldBe 6_000
        polling(3_000).evidenceIntervalMs(vmCount = 75, unreachableShare = 0.3) shouldBe 1_500
        polling(3_000).evidenceIntervalMs(vmCount = 9, unreachableShare = 0.05) shouldBe 1_500
    }
})
