package io.daisybend.serving.rates

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class SharedTokenBucketTest : FunSpec({
    fun bucket() = SharedTokenBucket(ratePerSecond = 1_000.0, burst = 4_000.0, nowMs = 0)

    test("use that was withheld for a silent peer is not deducted a second time, and the rest is given back") {
        val bucket = bucket()
        bucket.reserve("vm-2", share = 0.5, elapsedMs = 2_000, nowMs = 0)
        bucket.deductPeerUse("vm-2", 700.0)
        bucket.level shouldBe 1_000.0
        bucket.release("vm-2", shortMs = 3_000, nowMs = 2_000)
        bucket.level shouldBe 1_300.0
    }

    // Given back after 20 s, it let 75 VMs spend the burst twice: once while apart, once afterwards.
    test("what a peer left unused in a long absence is lost, and a debt is not") {
        val bucket = bucket()
        bucket.reserve("vm-2", share = 0.5, elapsedMs = 20_000, nowMs = 0)
        bucket.release("vm-2", shortMs = 3_000, nowMs = 20_000)
        bucket.level shouldBe 1_000.0
        bucket.deductPeerUse(2_000.0)
        bucket.split(listOf("vm-2"), keptShare = 0.5, nowMs = 20_000)
        bucket.level shouldBe -500.0
        bucket.release("vm-2", shortMs = 3_000, nowMs = 40_000)
        bucket.level shouldBe -1_000.0
    }

    test("peers' use during a standstill is not deducted from a level that the burst capped") {
        val bucket = bucket()
        bucket.withholdAfterStandstill(10_000, peerShare = 0.5)
        bucket.refill(10_000, unreachableShare = 0.0)
        bucket.deductPeerUse("vm-2", 4_500.0)
        bucket.level shouldBe 4_000.0
    }

    test("a team's log line is due once a second and counts what was rejected since the last one") {
        val counts = RejectionCounts()
        repeat(3) { counts.record("red") }
        counts.takeDue(0) shouldBe mapOf("red" to 3L)
        counts.record("red")
        counts.takeDue(999) shouldBe emptyMap()
        counts.takeDue(1_000) shouldBe mapOf("red" to 1L)
        counts.takeDue(2_000) shouldBe emptyMap()
        counts.totals shouldBe mapOf("red" to 4L)
    }
})
