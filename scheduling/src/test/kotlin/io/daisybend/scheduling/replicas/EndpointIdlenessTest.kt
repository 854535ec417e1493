package io.daisybend.scheduling.replicas

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EndpointIdlenessTest : FunSpec({
    val reloads = listOf(10_000L)

    fun idleSince(lastRequestMs: Long) = EndpointIdleness(minIdleMs = 30_000).apply {
        observe(EngineActivity("boot", runningRequests = 0, requestsStarted = 1), lastRequestMs)
    }

    test("an endpoint without a report keeps its replicas") {
        EndpointIdleness(minIdleMs = 0).isWorthKeeping(reloads, nowMs = 1_000_000) shouldBe true
    }

    test("replicas stay for the shortest idle time and go when their reload is no longer worth it") {
        val idleness = idleSince(0)
        idleness.isWorthKeeping(reloads, nowMs = 29_999) shouldBe true
        idleness.isWorthKeeping(reloads, nowMs = 3_600_000) shouldBe false
    }

    test("a running request keeps the endpoint active however long it runs") {
        val idleness = EndpointIdleness(minIdleMs = 30_000)
        (0L..3_600_000L step 1_000L).forEach { nowMs ->
            idleness.observe(EngineActivity("boot", runningRequests = 1, requestsStarted = 1), nowMs)
        }
        idleness.isWorthKeeping(reloads, nowMs = 3_601_000) shouldBe true
    }

    test("a request that began and ended between two reports counts") {
        val idleness = idleSince(0)
        idleness.observe(EngineActivity("boot", runningRequests = 0, requestsStarted = 2), nowMs = 3_600_000)
        idleness.isWorthKeeping(reloads, nowMs = 3_601_000) shouldBe true
    }

    test("replicas that are dear to reload stay longer than cheap ones") {
        val atMs = 120_000L
        idleSince(0).isWorthKeeping(listOf(60_000L), atMs) shouldBe true
        idleSince(0).isWorthKeeping(listOf(1_000L), atMs) shouldBe false
    }
})
