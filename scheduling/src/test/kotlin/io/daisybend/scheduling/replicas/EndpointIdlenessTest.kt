package io.daisybend.scheduling.replicas

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EndpointIdlenessTest : FunSpec({
    val reloadTimesMs = listOf(10_000L)

    fun activeAt(lastRequestMs: Long) = EndpointIdleness(minIdleMs = 30_000).apply {
        observe(EngineActivity("boot", runningRequests = 0, requestsStarted = 1), lastRequestMs)
    }

    test("an endpoint without a report keeps its replicas") {
        EndpointIdleness(minIdleMs = 0).isWorthKeeping(reloadTimesMs, nowMs = 1_000_000) shouldBe true
    }

    test("replicas stay loaded for the minimum idle time and are unloaded when the idle time outweighs their reload") {
        val idleness = activeAt(0)
        idleness.isWorthKeeping(reloadTimesMs, nowMs = 29_999) shouldBe true
        idleness.isWorthKeeping(reloadTimesMs, nowMs = 3_600_000) shouldBe false
    }

    test("a running request keeps the endpoint active regardless of its duration") {
        val idleness = EndpointIdleness(minIdleMs = 30_000)
        (0L..3_600_000L step 1_000L).forEach { nowMs ->
            idleness.observe(EngineActivity("boot", runningRequests = 1, requestsStarted = 1), nowMs)
        }
        idleness.isWorthKeeping(reloadTimesMs, nowMs = 3_601_000) shouldBe true
    }

    test("a request that started and ended between two reports counts as activity") {
        val idleness = activeAt(0)
        idleness.observe(EngineActivity("boot", runningRequests = 0, requestsStarted = 2), nowMs = 3_600_000)
        idleness.isWorthKeeping(reloadTimesMs, nowMs = 3_601_000) shouldBe true
    }

    test("replicas with a long reload time stay loaded longer than those with a short one") {
        val atMs = 120_000L
        activeAt(0).isWorthKeeping(listOf(60_000L), atMs) shouldBe true
        activeAt(0).isWorthKeeping(listOf(1_000L), atMs) shouldBe false
    }
})
