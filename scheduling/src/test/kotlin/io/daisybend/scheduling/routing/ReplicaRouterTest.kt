package io.daisybend.scheduling.routing

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random

private val endpoints = (0 until 8).map { EndpointId("engine-$it") }
private val candidates = endpoints.map { ReplicaCandidate(it, networkDelayMs = 1.0) }

private fun request(id: String, prefixHashes: LongArray = LongArray(0)) =
    RoutingRequest(RequestId(id), ModelId("m"), 2_000, 1_000, prefixHashes)

class ReplicaRouterTest : FunSpec({
    test("routers that share one lagging report spread their requests, where the least loaded endpoint gets a herd") {
        checkAll(PropTestConfig(seed = 41L, iterations = 200), Arb.int()) { seed ->
            val reported = endpoints.associateWith { Random(seed).nextLong(0, 500) }
            val routers = List(40) { router(Random(seed + it), reported) }
            val chosen = routers.mapIndexed { index, router -> router.route(request("r-$index"), candidates, 10) }
            val herd = List(40) { reported.minBy { it.value }.key }
            (largestGroup(chosen) <= 20) shouldBe true
            largestGroup(herd) shouldBe 40
        }
    }

    test("a router counts what it has sent since the last report") {
        val router = router(Random(1), endpoints.associateWith { 0L })
        val two = candidates.take(2)
        val chosen = List(10) { router.route(request("r-$it"), two, 10) }
        chosen.groupingBy { it }.eachCount().values.toSet() shouldBe setOf(5)
    }

    test("a finished request that a report already contained is taken off that report") {
        val load = EndpointLoad()
        load.send(RequestId("r"), 1_000, 5)
        load.report(1_000, 10)
        load.finish(RequestId("r"))
        load.estimatedTokens shouldBe 0
    }

    test("a cached prefix attracts a request until the backlog outweighs it") {
        val router = router(Random(2), endpoints.associateWith { 0L })
        val prefix = longArrayOf(1, 2, 3, 4, 5, 6, 7)
        val warm = endpoints[3]
        prefix.forEachIndexed { index, hash ->
            router.handle(RouterEvent.CacheChanged(warm, index.toLong(), hash, isCached = true), 1)
        }
        router.route(request("first", prefix), candidates, 2) shouldBe warm
        router.handle(RouterEvent.LoadReported(warm, 100_000, 20), 20)
        val next = router.route(request("second", prefix), candidates, 30)
        (next == warm) shouldBe false
    }

    test("a gap in cache events forgets what was learned before it") {
        val index = PrefixIndex(maxEntries = 10, entryLifetimeMs = 1_000)
        index.apply(RouterEvent.CacheChanged(endpoints[0], 1, 7, isCached = true), 0)
        index.cachedBlocks(longArrayOf(7), 0) shouldBe 1
        index.apply(RouterEvent.CacheChanged(endpoints[0], 3, 8, isCached = true), 0)
        index.cachedBlocks(longArrayOf(7), 0) shouldBe 0
    }

    test("a late cache event does not undo a newer one") {
        val index = PrefixIndex(maxEntries = 10, entryLifetimeMs = 1_000)
        index.apply(RouterEvent.CacheChanged(endpoints[0], 1, 7, isCached = true), 0)
        index.apply(RouterEvent.CacheChanged(endpoints[0], 2, 7, isCached = false), 0)
        index.apply(RouterEvent.CacheChanged(endpoints[0], 1, 7, isCached = true), 0)
        index.cachedBlocks(longArrayOf(7), 0) shouldBe 0
    }
})

private fun router(random: Random, reported: Map<EndpointId, Long>): ReplicaRouter {
    val router = ReplicaRouter(random)
    reported.forEach { (id, tokens) -> router.handle(RouterEvent.LoadReported(id, tokens, 0), 0) }
    return router
}

private fun largestGroup(chosen: List<EndpointId?>): Int = chosen.groupingBy { it }.eachCount().values.max()
