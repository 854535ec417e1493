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
    test("routers with the same stale load report spread their requests instead of all choosing the same endpoint") {
        checkAll(PropTestConfig(seed = 41L, iterations = 200), Arb.int()) { seed ->
            val reported = endpoints.associateWith { Random(seed).nextLong(0, 500) }
            val routers = List(40) { router(Random(seed + it), reported) }
            val chosen = routers.mapIndexed { index, router -> router.route(request("r-$index"), candidates, 10) }
            val leastLoadedChoices = List(40) { reported.minBy { it.value }.key }
            (maxRequestsPerEndpoint(chosen) <= 20) shouldBe true
            maxRequestsPerEndpoint(leastLoadedChoices) shouldBe 40
        }
    }

    test("a router counts the requests that it has sent since the last load report") {
        val router = router(Random(1), endpoints.associateWith { 0L })
        val twoCandidates = candidates.take(2)
        val chosen = List(10) { router.route(request("r-$it"), twoCandidates, 10) }
        chosen.groupingBy { it }.eachCount().values.toSet() shouldBe setOf(5)
    }

    test("a finished request that the last report contains is subtracted from the reported load") {
        val load = EndpointLoad()
        load.recordSent(RequestId("r"), 1_000, 5)
        load.applyReport(1_000, 10)
        load.recordFinished(RequestId("r"))
        load.estimatedTokens shouldBe 0
    }

    test("a request goes to the endpoint with its prefix cached unless the backlog there costs more") {
        val router = router(Random(2), endpoints.associateWith { 0L })
        val prefix = longArrayOf(1, 2, 3, 4, 5, 6, 7)
        val cachedEndpoint = endpoints[3]
        prefix.forEachIndexed { index, hash ->
            router.handle(RouterEvent.CacheChanged(cachedEndpoint, index.toLong(), hash, isCached = true), 1)
        }
        router.route(request("first", prefix), candidates, 2) shouldBe cachedEndpoint
        router.handle(RouterEvent.LoadReported(cachedEndpoint, 100_000, 20), 20)
        val next = router.route(request("second", prefix), candidates, 30)
        (next == cachedEndpoint) shouldBe false
    }

    test("a gap in the cache events removes all earlier entries") {
        val index = PrefixIndex(maxEntries = 10, entryLifetimeMs = 1_000)
        index.apply(RouterEvent.CacheChanged(endpoints[0], 1, 7, isCached = true), 0)
        index.cachedBlocks(longArrayOf(7), 0) shouldBe 1
        index.apply(RouterEvent.CacheChanged(endpoints[0], 3, 8, isCached = true), 0)
        index.cachedBlocks(longArrayOf(7), 0) shouldBe 0
    }

    test("a late cache event does not overwrite a newer one") {
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

private fun maxRequestsPerEndpoint(chosen: List<EndpointId?>): Int = chosen.groupingBy { it }.eachCount().values.max()
