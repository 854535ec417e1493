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
    test("a proposal always fits into memory and never unloads a replica in use, over random endpoints") {
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
                val removed = target.replicas.filter { replica -> unloaded.any { it.modelId == replica.modelId } }
                removed.none { it.requestsInFlight > 0 } shouldBe true
                val usedBytes = target.usedBytes - removed.sumOf { it.weightsBytes } + model.weightsBytes
                target.memoryBytes shouldBeGreaterThanOrEqual usedBytes
            }
        }
    }

    test("two VMs with the same view in another order propose the same endpoint") {
        checkAll(PropTestConfig(seed = 32L, iterations = 500), Arb.long()) { seed ->
            val random = Random(seed)
            val endpoints = List(6) { randomEndpoint(it, random) }
            val event = ReplicaEvent.ReplicaMissing(weights("wanted"), endpoints)
            val shuffled = event.copy(endpoints = endpoints.shuffled(random))
            ReplicaPolicy().handle(event, 1_000) shouldBe ReplicaPolicy().handle(shuffled, 1_000)
        }
    }

    test("an endpoint that holds the weights in memory goes before one that has to fetch them") {
        val endpoints = listOf(endpoint(1), endpoint(2, cached = mapOf(ModelId("m") to WeightSource.MEMORY)))
        val load = ReplicaPolicy().handle(ReplicaEvent.ReplicaMissing(weights("m"), endpoints), 0).single()
        load.shouldBeInstanceOf<ReplicaAction.Load>().endpointId shouldBe EndpointId("engine-2")
    }

    test("eviction spares the model that is used often") {
        val policy = ReplicaPolicy()
        (0L..20L).forEach { policy.handle(ReplicaEvent.ModelUsed(ModelId("often")), it * 60_000) }
        listOf(0L, 600_000L).forEach { policy.handle(ReplicaEvent.ModelUsed(ModelId("rare")), it) }
        val full = endpoint(1, listOf(replica("often", 40), replica("rare", 40)))
        val actions = policy.handle(ReplicaEvent.ReplicaMissing(weights("new", 30), listOf(full)), 1_210_000)
        actions.filterIsInstance<ReplicaAction.Unload>().map { it.modelId } shouldContainExactly listOf(ModelId("rare"))
    }

    test("a second replica is proposed once the wait exceeds a quarter of its load") {
        val policy = ReplicaPolicy()
        val endpoints = listOf(endpoint(1, listOf(replica("m", requestsInFlight = 8))), endpoint(2))
        policy.handle(ReplicaEvent.WaitObserved(weights("m"), 1_900, endpoints), 0).shouldBeEmpty()
        policy.handle(ReplicaEvent.WaitObserved(weights("m"), 2_100, endpoints), 0).size shouldBe 1
    }

    test("a new version is loaded beside the old one, else elsewhere, else after holding requests") {
        val old = replica("m", 40)
        val next = weights("m", 40, version = "2")
        val roomy = endpoint(1, listOf(old))
        val full = endpoint(1, listOf(old, replica("busy", 40, requestsInFlight = 1)))
        fun plan(vararg endpoints: EndpointView) = ReplicaPolicy()
            .handle(ReplicaEvent.VersionChanged(EndpointId("engine-1"), next, endpoints.toList()), 0)
            .map { it::class.simpleName }
        plan(roomy) shouldContainExactly listOf("Load", "DrainAndUnload")
        plan(full, endpoint(2)) shouldContainExactly listOf("Load", "DrainAndUnload")
        plan(full) shouldContainExactly listOf("HoldRequests", "DrainAndUnload", "Load")
    }

    test("the adaptive idle rule costs less than any of the fixed timeouts over models with different habits") {
        val random = Random(33)
        val models = List(60) { 1_000.0 * Math.pow(2.0, random.nextDouble(3.0, 13.0)) }
        val traces = models.map { meanMs -> List(200) { (-Math.log(1 - random.nextDouble()) * meanMs).toLong() } }
        val fixed = listOf(15_000L, 60_000L, 300_000L, 1_800_000L)
            .map { timeoutMs -> traces.sumOf { fixedCost(timeoutMs, it) } }
        val adaptive = traces.sumOf(::adaptiveCost)
        (adaptive < fixed.min()) shouldBe true
    }

    test("the adaptive rule keeps unused replicas of an endpoint in use, since unloading them saves no accelerator") {
        val inUse = endpoint(1, listOf(replica("idle"), replica("busy", requestsInFlight = 1)))
        val unused = endpoint(2, listOf(replica("idle")))
        val actions = ReplicaPolicy().handle(ReplicaEvent.ReviewDue(listOf(inUse, unused)), 10_000_000)
        actions shouldContainExactly listOf(ReplicaAction.Unload(EndpointId("engine-2"), ModelId("idle"), "1"))
    }

    test("an idle replica is unloaded after its keep-alive time and one in use never") {
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

/** The idle time plus the price of reloads that a fixed timeout pays over a model's [gapsMs]. */
private fun fixedCost(timeoutMs: Long, gapsMs: List<Long>): Double =
    gapsMs.sumOf { gapMs -> if (gapMs <= timeoutMs) gapMs.toDouble() else timeoutMs + RELOAD_MS * RELOAD_PRICE }

/** The same for the adaptive rule, asked every five seconds. */
private fun adaptiveCost(gapsMs: List<Long>): Double {
    val rule = IdleRule.Adaptive(idleSecondsPerReloadSecond = RELOAD_PRICE)
    val histogram = InterArrivalHistogram()
    return gapsMs.sumOf { gapMs ->
        val unloadedAtMs = (0L..gapMs step 5_000L).firstOrNull { idleMs ->
            !rule.isWorthKeeping(listOf(IdleReplica(idleMs, RELOAD_MS, histogram)), idleMs)
        }
        histogram.observe(gapMs)
        if (unloadedAtMs == null) gapMs.toDouble() else unloadedAtMs + RELOAD_MS * RELOAD_PRICE
    }
}

private const val RELOAD_MS = 8_000L
private const val RELOAD_PRICE = 10.0
