package io.daisybend.serving.residency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ColdDemandTest : FunSpec({
    test("requests for a model without a copy count from the first one until the model has a copy") {
        val demand = ColdDemand()
        demand.recordRequests("m1", count = 2, nowMs = 1_000)
        demand.recordRequests("m1", count = 1, nowMs = 6_000)
        demand.retain(nowMs = 9_000) { true }
        demand.queuedDemand(nowMs = 9_000) shouldBe
            listOf(QueuedDemand("m1", null, count = 3, urgency = 0, waitedMs = 8_000))
        demand.retain(nowMs = 9_000) { false }
        demand.queuedDemand(nowMs = 9_000).shouldBeEmpty()
    }

    test("a model that is no longer requested is forgotten") {
        val demand = ColdDemand()
        demand.recordRequests("m1", count = 1, nowMs = 1_000)
        demand.retain(nowMs = 12_000) { true }
        demand.queuedDemand(nowMs = 12_000).shouldBeEmpty()
    }

    test("a rarely requested model comes first once it has waited long enough") {
        val demand = ColdDemand()
        demand.recordRequests("rare", count = 1, nowMs = 0)
        demand.recordRequests("rare", count = 1, nowMs = 9_000)
        demand.recordRequests("frequent", count = 10, nowMs = 9_000)
        demand.queuedDemand(nowMs = 10_000).maxBy { it.count * it.waitedMs }.model shouldBe "rare"
    }
})
