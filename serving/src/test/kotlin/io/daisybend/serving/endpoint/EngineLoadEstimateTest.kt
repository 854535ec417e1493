package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe

private fun counted(inFlight: Int) = EndpointLoad(inFlight, 0, 0)

class EngineLoadEstimateTest : FunSpec({
    test("a stated load counts in full while it is new and gives way to the peers' reports") {
        val estimate = EngineLoadEstimate()
        estimate.onSample(LoadSample(running = 5, waiting = 2, slots = 6), counted(1), ownAnswered = 1, nowMs = 1_000)
        estimate.loadAt(counted(1), withRates = false, nowMs = 1_000).inFlight shouldBe 7
        // This VM has sent two more since.
        estimate.loadAt(counted(3), withRates = false, nowMs = 1_000).inFlight shouldBe 9
        estimate.loadAt(counted(3), withRates = false, nowMs = 10_000).inFlight shouldBe 3
        estimate.loadAt(counted(3), withRates = false, nowMs = 10_000).waiting shouldBeLessThan 0.01
    }

    test("an endpoint that states less than this VM has running there is believed less") {
        val estimate = EngineLoadEstimate()
        repeat(8) {
            estimate.onSample(LoadSample(0, 0, 6), counted(5), ownAnswered = 5, it.toLong()) shouldBe
                SampleUse.CONTRADICTED
        }
        estimate.loadAt(counted(5), withRates = false, nowMs = 8).inFlight shouldBeGreaterThan 4
        repeat(40) { estimate.onSample(LoadSample(6, 0, 6), counted(5), ownAnswered = 5, 10L + it) }
        estimate.loadAt(counted(5), withRates = false, nowMs = 50).inFlight shouldBe 6
    }

    test("a pace is bounded, and fades to the average of the machine") {
        val estimate = EngineLoadEstimate()
        estimate.onSample(LoadSample(0, 0, 6, pace = 1e9), counted(0), 0, nowMs = 0)
        estimate.paceAt(0) shouldBeLessThan 10.1
        repeat(2_000) { estimate.onSample(LoadSample(0, 0, 6, pace = 2.0), counted(0), 0, nowMs = 100L * it) }
        estimate.onSample(LoadSample(0, 0, 6, pace = 1.0), counted(0), 0, nowMs = 200_400)
        estimate.paceAt(200_400).shouldBeBetween(1.0, 1.5, 0.0)
        estimate.paceAt(210_000).shouldBeBetween(1.8, 2.2, 0.0)
    }

    test("a new incarnation starts without the load of the earlier one, with the rates of its service") {
        val table = EndpointTable()
        table.put(entry("a", emptyMap()), 0)
        val old = table.find("a")!!.loadEstimate
        old.onSample(LoadSample(6, 9, 6, 3.0), counted(0), 0, nowMs = 0)
        repeat(60) { old.rates.prefillTokensPerMs.onObserved(60.0) }
        table.put(entry("a", emptyMap(), bornMs = 2), 10)
        val new = table.find("a")!!.loadEstimate
        new.loadAt(counted(0), withRates = false, nowMs = 10) shouldBe counted(0)
        new.rates.prefillTokensPerMs.value shouldBeGreaterThan 50.0
    }

    test("a report that is older than the last response does not replace it, and tells the used memory") {
        val estimate = EngineLoadEstimate()
        estimate.onSample(LoadSample(4, 0, 6), counted(4), 0, nowMs = 1_000)
        estimate.onReport(ReportedLoad(0, 0, kvUsedTokens = 9_000, kvTotalTokens = 10_000), counted(4), nowMs = 1_100)
        val load = estimate.loadAt(counted(4), withRates = false, nowMs = 1_100)
        load.inFlight shouldBe 4
        load.kvTokens shouldBe 9_000
        load.kvTotalTokens shouldBe 10_000
    }

    test("a VM that stood still for seconds trusts no sample from before") {
        val estimate = EngineLoadEstimate()
        estimate.onSample(LoadSample(6, 30, 6, 9.0), counted(0), 0, nowMs = 0)
        val load = estimate.loadAt(counted(2), withRates = true, nowMs = 6_000)
        load.inFlight shouldBe 2
        load.waiting shouldBeLessThan 0.1
    }

    test("single outliers hardly move a learned rate, and it stays within its bounds") {
        val rate = LearnedRate(38.0)
        repeat(40) { rate.onObserved(if (it % 5 == 0) 0.01 else 50.0) }
        rate.value.shouldBeBetween(40.0, 56.0, 0.0)
        listOf(Double.NaN, Double.POSITIVE_INFINITY, -1.0, 0.0).forEach(rate::onObserved)
        rate.value.shouldBeBetween(40.0, 56.0, 0.0)
        repeat(1_000) { rate.onObserved(1e12) }
        rate.value.shouldBeBetween(150.0, 153.0, 0.0)
    }
})

class PeerUseIndexTest : FunSpec({
    test("the sums follow replaced reports and lost peers without a remainder") {
        val index = PeerUseIndex()
        index.onReport("vm-1", mapOf("a" to EndpointLoad(3, 100, 200), "b" to EndpointLoad(1, 0, 0)))
        index.onReport("vm-2", mapOf("a" to EndpointLoad(2, 10, 20)))
        index.useOf("a") shouldBe EndpointLoad(5, 110, 220)
        index.onReport("vm-1", mapOf("a" to EndpointLoad(1, 0, 9)))
        index.useOf("a") shouldBe EndpointLoad(3, 10, 29)
        index.useOf("b") shouldBe EndpointLoad(0, 0, 0)
        index.retain(setOf("vm-1"))
        index.useOf("a") shouldBe EndpointLoad(1, 0, 9)
    }

    test("an absurd report can neither make a sum negative nor overflow it") {
        val index = PeerUseIndex()
        index.onReport("vm-1", mapOf("a" to EndpointLoad(-5, -1, Long.MAX_VALUE)))
        index.useOf("a").inFlight shouldBe 0
        index.onReport("vm-2", mapOf("a" to EndpointLoad(Int.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE)))
        index.useOf("a").inFlight shouldBeLessThan 1_000_000
        index.retain(emptySet())
        index.useOf("a") shouldBe EndpointLoad(0, 0, 0)
    }
})
