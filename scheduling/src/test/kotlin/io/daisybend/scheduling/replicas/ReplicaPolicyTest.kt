package io.daisybend.scheduling.replicas

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.WeightSource
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val GIGABYTE = 1_000_000_000L

private fun weights(id: String, gigabytes: Long = 16, version: String = "1") =
    ModelWeights(ModelId(id), version, gigabytes * GIGABYTE)

private fun replica(id: String, gigabytes: Long = 16, requestsInFlight: Int = 0, idleSinceMs: Long = 0) =
    ReplicaView(ModelId(id), "1", gigabytes * GIGABYTE, ReplicaState.READY, requestsInFlight, idleSinceMs)

private fun endpoint(
    id: Int,
    replicas: List<ReplicaView> = emptyList(),
    cached: Map<ModelId, WeightSource> = emptyMap(),
    gigabytes: Long = 80,
) = EndpointView(
    endpointId = EndpointId("engine-$id"),
    memoryBytes = gigabytes * GIGABYTE,
    usedBytes = replicas.sumOf { it.weightsBytes },
    replicas = replicas,
    cachedWeights = cached,
)

class ReplicaPolicyTest : FunSpec({
    test("for random endpoints a proposal always fits into memory and never unloads a replica in use") {
        checkAll(PropTestConfig(seed = 31L, iterations = 2_000), Arb.long()) { seed ->
            val random = Random(seed)
            val endpoints = List(random.nextInt(1, 8)) { randomEndpoint(it, random) }
            val model = weights("wanted", random.nextLong(4, 70))
            val actions = ReplicaPolicy().handle(ReplicaEvent.ReplicaMissing(model, endpoints), 1_000)
            val load = actions.filterIsInstance<ReplicaAction.Load>().singleOrNull()
            val target = endpoints.firstOrNull { it.endpointId == load?.endpointId }
            val unloaded = actions.filterIsInstance<ReplicaAction.Unload>()
            if (target == null) {
                unloaded.shouldBeEmpty()
                endpoints.none { it.couldHold(model.weightsBytes) } shouldBe true
            } else {
                val evicted = target.replicas.filter { replica -> unloaded.any { it.modelId == replica.modelId } }
                evicted.none { it.requestsInFlight > 0 } shouldBe true
                val usedBytes = target.usedBytes - evicted.sumOf { it.weightsBytes } + model.weightsBytes
                target.memoryBytes shouldBeGreaterThanOrEqual usedBytes
            }
        }
    }

    test("two VMs with the same view propose the same endpoint regardless of its order") {
        checkAll(PropTestConfig(seed = 32L, iterations = 500), Arb.long()) { seed ->
            val random = Random(seed)
            val endpoints = List(6) { randomEndpoint(it, random) }
            val event = ReplicaEvent.ReplicaMissing(weights("wanted"), endpoints)
            val shuffled = event.copy(endpoints = endpoints.shuffled(random))
            ReplicaPolicy().handle(event, 1_000) shouldBe ReplicaPolicy().handle(shuffled, 1_000)
        }
    }

    test("an endpoint with the weights in memory is preferred to one that has to fetch them") {
        val endpoints = listOf(endpoint(1), endpoint(2, cached = mapOf(ModelId("m") to WeightSource.MEMORY)))
        val load = ReplicaPolicy().handle(ReplicaEvent.ReplicaMissing(weights("m"), endpoints), 0).single()
        load.shouldBeInstanceOf<ReplicaAction.Load>().endpointId shouldBe EndpointId("engine-2")
    }

    test("eviction removes a rarely used model rather than a frequently used one") {
        val policy = ReplicaPolicy()
        (0L..20L).forEach { policy.handle(ReplicaEvent.ModelUsed(ModelId("often")), it * 60_000) }
        listOf(0L, 600_000L).forEach { policy.handle(ReplicaEvent.ModelUsed(ModelId("rare")), it) }
        val full = endpoint(1, listOf(replica("often", 40), replica("rare", 40)))
        val actions = policy.handle(ReplicaEvent.ReplicaMissing(weights("new", 30), listOf(full)), 1_210_000)
        actions.filterIsInstance<ReplicaAction.Unload>().map { it.modelId } shouldContainExactly listOf(ModelId("rare"))
    }

    test("a second replica is proposed once the expected wait exceeds a quarter of its load time") {
        val policy = ReplicaPolicy()
        val endpoints = listOf(endpoint(1, listOf(replica("m", requestsInFlight = 8))), endpoint(2))
        policy.handle(ReplicaEvent.WaitObserved(weights("m"), 1_900, endpoints), 0).shouldBeEmpty()
        policy.handle(ReplicaEvent.WaitObserved(weights("m"), 2_100, endpoints), 0).size shouldBe 1
    }

    test("a new version is loaded next to the old one, else on another endpoint, else in place of it") {
        val oldReplica = replica("m", 40)
        val newVersion = weights("m", 40, version = "2")
        val partlyFree = endpoint(1, listOf(oldReplica))
        val full = endpoint(1, listOf(oldReplica, replica("busy", 40, requestsInFlight = 1)))
        fun actionNames(vararg endpoints: EndpointView) = ReplicaPolicy()
            .handle(ReplicaEvent.VersionChanged(EndpointId("engine-1"), newVersion, endpoints.toList()), 0)
            .map { it::class.simpleName }
        actionNames(partlyFree) shouldContainExactly listOf("Load", "DrainAndUnload")
        actionNames(full, endpoint(2)) shouldContainExactly listOf("Load", "DrainAndUnload")
        actionNames(full) shouldContainExactly listOf("HoldRequests", "DrainAndUnload", "Load")
    }

    test("the adaptive idle rule costs less than each fixed timeout for models with different request rates") {
        val random = Random(33)
        val models = List(60) { 1_000.0 * Math.pow(2.0, random.nextDouble(3.0, 13.0)) }
        val traces = models.map { meanMs -> List(200) { (-Math.log(1 - random.nextDouble()) * meanMs).toLong() } }
        val fixedCosts = listOf(15_000L, 60_000L, 300_000L, 1_800_000L)
            .map { timeoutMs -> traces.sumOf { fixedTimeoutCost(timeoutMs, it) } }
        val adaptiveTotalCost = traces.sumOf(::adaptiveRuleCost)
        (adaptiveTotalCost < fixedCosts.min()) shouldBe true
    }

    test("the adaptive rule keeps idle replicas on an endpoint in use, since unloading them frees no accelerator") {
        val endpointInUse = endpoint(1, listOf(replica("idle"), replica("busy", requestsInFlight = 1)))
        val idleEndpoint = endpoint(2, listOf(replica("idle")))
        val actions = ReplicaPolicy().handle(ReplicaEvent.ReviewDue(listOf(endpointInUse, idleEndpoint)), 10_000_000)
        actions shouldContainExactly listOf(ReplicaAction.Unload(EndpointId("engine-2"), ModelId("idle"), "1"))
    }

    test("an idle replica is unloaded after its keep-alive time, and a replica in use never is") {
        val policy = ReplicaPolicy(ReplicaPolicySettings(idleRule = IdleRule.FixedTimeout(60_000)))
        val view = endpoint(1, listOf(replica("idle"), replica("busy", requestsInFlight = 1)))
        policy.handle(ReplicaEvent.ReviewDue(listOf(view)), 59_999).shouldBeEmpty()
        policy.handle(ReplicaEvent.ReviewDue(listOf(view)), 60_000) shouldContainExactly
            listOf(ReplicaAction.Unload(EndpointId("engine-1"), ModelId("idle"), "1"))
    }
})

private fun EndpointView.couldHold(weightsBytes: Long): Boolean {
    val evictableBytes = replicas.filter { it.requestsInFlight == 0 }.sumOf { it.weightsBytes }
    return acceptsWork && memoryBytes - usedBytes + evictableBytes >= weightsBytes
}

private fun randomEndpoint(id: Int, random: Random): EndpointView {
    val replicas = List(random.nextInt(0, 5)) { replica("m-$id-$it", random.nextLong(4, 20), random.nextInt(0, 2)) }
    val cached = if (random.nextBoolean()) {
        mapOf(
            ModelId("wanted") to WeightSource.entries.random(random),
        )
    } else {
        emptyMap()
    }
    return endpoint(id, replicas, cached).copy(acceptsWork = random.nextInt(5) > 0)
}

/** Returns the cost of a fixed timeout over [gapsMs], the times between uses: idle time plus weighted reload time. */
private fun fixedTimeoutCost(timeoutMs: Long, gapsMs: List<Long>): Double =
    gapsMs.sumOf { gapMs -> if (gapMs <= timeoutMs) gapMs.toDouble() else timeoutMs + RELOAD_MS * RELOAD_WEIGHT }

/** Returns the same cost for the adaptive rule, evaluated every five seconds. */
private fun adaptiveRuleCost(gapsMs: List<Long>): Double {
    val rule = IdleRule.Adaptive(idleSecondsPerReloadSecond = RELOAD_WEIGHT)
    val histogram = InterArrivalHistogram()
    return gapsMs.sumOf { gapMs ->
        val unloadedAtMs = (0L..gapMs step 5_000L).firstOrNull { idleMs ->
            !rule.isWorthKeeping(listOf(IdleReplica(idleMs, RELOAD_MS, histogram)), idleMs)
        }
        histogram.observe(gapMs)
        if (unloadedAtMs == null) gapMs.toDouble() else unloadedAtMs + RELOAD_MS * RELOAD_WEIGHT
    }
}

private const val RELOAD_MS = 8_000L
private const val RELOAD_WEIGHT = 10.0
