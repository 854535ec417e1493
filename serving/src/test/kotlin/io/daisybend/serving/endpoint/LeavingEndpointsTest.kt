package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class LeavingEndpointsTest : FunSpec({
    val first = Incarnation("e-1", 1)

    test("a notice is new once, and goes to the peers in three reports if this VM got the response") {
        val leaving = LeavingEndpoints()
        leaving.onResponse(first, nowMs = 0) shouldBe true
        leaving.onResponse(first, nowMs = 10) shouldBe false
        leaving.onPeerReport(Incarnation("e-2", 1), nowMs = 0) shouldBe true
        repeat(3) { leaving.reportChanges() shouldBe listOf(first) }
        leaving.reportChanges().shouldBeEmpty()
        leaving.allOf(listOf(first, Incarnation("e-1", 2))) shouldBe listOf(first)
    }

    test("an endpoint is forgotten long after it was listed, and never while it is listed") {
        val leaving = LeavingEndpoints()
        leaving.onResponse(first, nowMs = 0)
        leaving.removeForgotten(listed = emptySet(), nowMs = 500_000)
        (first in leaving) shouldBe true
        leaving.removeForgotten(listed = setOf(first), nowMs = 700_000)
        (first in leaving) shouldBe true
        leaving.removeForgotten(listed = emptySet(), nowMs = 700_000)
        leaving.isEmpty shouldBe true
    }

    test("an endpoint that said that it is leaving stays so through later entries, removal and return to the list") {
        val table = EndpointTable()
        table.put(entry("e-1"), nowMs = 0)
        table.leaving.onResponse(first, nowMs = 0)
        table.onLeaving(first)
        table.find("e-1")!!.entry.isDraining shouldBe true
        table.put(entry("e-1"), nowMs = 1_000)
        table.find("e-1")!!.entry.isDraining shouldBe true
        table.remove("e-1")
        table.put(entry("e-1"), nowMs = 2_000)
        table.find("e-1")!!.entry.isDraining shouldBe true
        table.put(entry("e-1", bornMs = 2), nowMs = 3_000)
        table.find("e-1")!!.entry.isDraining shouldBe false
        // A late report of the earlier incarnation does not concern the new one.
        table.onLeaving(first)
        table.find("e-1")!!.entry.isDraining shouldBe false
    }
})
