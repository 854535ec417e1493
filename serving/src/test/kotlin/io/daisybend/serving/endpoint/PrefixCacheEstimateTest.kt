package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private const val CAPACITY = 100_000L

private fun demand(vararg parts: Pair<String, Int>, model: String = "m1", adapter: String? = null) =
    ModelDemand(model, adapter, parts.sumOf { it.second }, 100, parts.map { PromptPart(it.first, it.second) })

private fun prefix(vararg parts: Pair<String, Int>, model: String = "m1", adapter: String? = null) =
    demand(*parts, model = model, adapter = adapter).promptPrefix()!!

private fun holdings(vararg models: String) = EngineHoldings(1, models.associateWith { HeldModel(it, setOf("a1")) })

class PrefixCacheEstimateTest : FunSpec({
    test("only leading parts of the same model and adapter count") {
        val cache = PrefixCacheEstimate()
        cache.onSent(prefix("a" to 1_000, "b" to 2_000, "own" to 500), CAPACITY)
        cache.cachedTokens(prefix("a" to 1_000, "b" to 2_000, "own2" to 500), 0) shouldBe 3_000
        cache.cachedTokens(prefix("a" to 1_000, "x" to 2_000, "b" to 2_000, "own2" to 500), 0) shouldBe 1_000
        cache.cachedTokens(prefix("b" to 2_000, "own2" to 500), 0) shouldBe 2_000
        cache.cachedTokens(prefix("a" to 1_000, "own2" to 500, adapter = "a1"), 0) shouldBe 0
        cache.cachedTokens(prefix("a" to 1_000, "own2" to 500, model = "m2"), 0) shouldBe 0
    }

    test("the least recently used part is evicted when the memory is full, whatever its size") {
        val cache = PrefixCacheEstimate()
        repeat(20) { cache.onSent(prefix("hot-$it" to 6_300, "own-$it" to 2_890), CAPACITY) }
        cache.heldTokens shouldBeLessThanOrEqual CAPACITY
        cache.cachedTokens(prefix("hot-0" to 6_300, "own" to 9), 0) shouldBe 0
        cache.cachedTokens(prefix("hot-19" to 6_300, "own" to 9), 0) shouldBe 6_300
        // A new prompt would displace the oldest shared part, a held one hardly anything.
        (cache.evictedTokens(prefix("new" to 6_300, "own" to 2_890), CAPACITY) >= 6_300) shouldBe true
        cache.evictedTokens(prefix("hot-19" to 6_300, "own" to 9), CAPACITY).toInt() shouldBeLessThan 6_301
    }

    test("an unload and a new incarnation hold nothing, and another model keeps its parts") {
        val cache = PrefixCacheEstimate()
        cache.onSent(prefix("a" to 1_000, "own" to 500), CAPACITY)
        cache.onSent(prefix("a" to 1_000, "own" to 500, model = "m2"), CAPACITY)
        cache.retainHeld(holdings("m2", "m3"))
        cache.cachedTokens(prefix("a" to 1_000, "own" to 500), 0) shouldBe 0
        cache.cachedTokens(prefix("a" to 1_000, "own" to 500, model = "m2"), 0) shouldBe 1_000
        val table = EndpointTable()
        table.put(entry("e", mapOf("m1" to emptySet())), 0)
        table.find("e")!!.prefixCache.onSent(prefix("a" to 1_000, "own" to 500), CAPACITY)
        table.put(entry("e", mapOf("m1" to emptySet()), bornMs = 2), 0)
        table.find("e")!!.prefixCache.heldTokens shouldBe 0
    }

    test("late first events of expected hits lower the confidence, and it returns") {
        val cache = PrefixCacheEstimate()
        val hot = prefix("hot" to 6_300, "own" to 2_890)
        cache.onSent(hot, CAPACITY)
        cache.onFirstEvent(savedMs = 165.0, lateMs = 20.0, nowMs = 0) shouldBe false
        repeat(5) { cache.onFirstEvent(savedMs = 165.0, lateMs = 170.0, nowMs = 0) shouldBe true }
        cache.cachedTokens(hot, 0) shouldBeLessThan 1_500
        cache.cachedTokens(hot, 300_000) shouldBeGreaterThan 6_000
    }

    test("absurd parts and prompts without parts are no prefix") {
        demand().promptPrefix() shouldBe null
        prefix("a" to -5, "own" to 100).shared.shouldBeEmpty()
        prefix("a" to Int.MAX_VALUE, "own" to 100).shared.shouldBeEmpty()
    }
})

class PrefixSendsTest : FunSpec({
    val engine = Incarnation("e-1", 1)

    test("a report names long shared parts once, and again only after seconds") {
        val sends = PrefixSends()
        val prompt = prefix("hot" to 6_300, "short" to 90, "own" to 2_890)
        sends.onSent(engine, prompt, 0)
        sends.onSent(engine, prompt, 10)
        val reported = sends.takeReport(20).single()
        reported.prefix.shared.map { it.tokens } shouldBe listOf(6_300)
        sends.takeReport(30).shouldBeEmpty()
        sends.onSent(engine, prompt, 1_000)
        sends.takeReport(1_010).shouldBeEmpty()
        sends.onSent(engine, prompt, 5_000)
        sends.takeReport(5_010).size shouldBe 1
    }

    test("a report has a bounded size however much was sent, and the rest follows in the next one") {
        val sends = PrefixSends()
        repeat(40) { sends.onSent(Incarnation("e-$it", 1), prefix("hot-$it" to 6_300, "own" to 9), 0) }
        sends.takeReport(1).size shouldBe PrefixSends.MAX_PER_REPORT
        sends.takeReport(2).size shouldBe PrefixSends.MAX_PER_REPORT
        sends.takeReport(3).size shouldBe 40 - 2 * PrefixSends.MAX_PER_REPORT
    }
})
