/*
 * The cost of each decision at several sizes of a site, and the slope between them: what one engine, model or waiting
 * request more adds.
 */
package io.daisybend.bench.cost

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass
import io.daisybend.scheduling.loads.LoadEvent
import io.daisybend.scheduling.loads.LoadKey
import io.daisybend.scheduling.loads.LoadScheduler
import io.daisybend.scheduling.loads.LoadSchedulerSettings
import io.daisybend.scheduling.loads.LoadWaiter
import io.daisybend.scheduling.loads.WeightSource
import io.daisybend.scheduling.queue.FairQueue
import io.daisybend.scheduling.queue.FairQueueSettings
import io.daisybend.scheduling.queue.QueueAction
import io.daisybend.scheduling.queue.QueueEvent
import io.daisybend.scheduling.queue.QueuedRequest
import io.daisybend.scheduling.replicas.EndpointView
import io.daisybend.scheduling.replicas.ModelWeights
import io.daisybend.scheduling.replicas.ReplicaEvent
import io.daisybend.scheduling.replicas.ReplicaPolicy
import io.daisybend.scheduling.replicas.ReplicaView
import io.daisybend.scheduling.routing.ReplicaCandidate
import io.daisybend.scheduling.routing.ReplicaRouter
import io.daisybend.scheduling.routing.RouterEvent
import io.daisybend.scheduling.routing.RoutingRequest
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/** A site's size. */
internal data class FleetSize(val engines: Int, val models: Int, val adapters: Int) {
    val title: String get() = "$engines engines, $models models, $adapters adapters"
}

private val sizes = listOf(
    FleetSize(engines = 9, models = 30, adapters = 60),
    FleetSize(engines = 80, models = 160, adapters = 980),
    FleetSize(engines = 600, models = 480, adapters = 2_940),
    FleetSize(engines = 2_400, models = 1_600, adapters = 9_800),
)

private const val GIGABYTE = 1_000_000_000L
private const val MODELS_PER_ENGINE = 3
private val json = Json { prettyPrint = true }

/** Prints a table of all costs and their slopes and writes them to [jsonFile]; a first pass only warms up. */
internal fun reportDecisionCosts(seed: Long, jsonFile: String) {
    sizes.forEach { measureAll(it, seed) }
    val costs = sizes.flatMap { measureAll(it, seed) }
    println(ROW.format("decision", "size", "median ns", "lowest", "highest", "bytes"))
    costs.sortedBy { it.decision }.forEach { println(it.toText()) }
    println("slope from the smallest to the largest size, for each engine more:")
    costs.groupBy { it.decision }.forEach { (decision, ofDecision) -> println(slopeText(decision, ofDecision)) }
    Files.writeString(Path.of(jsonFile), json.encodeToString(costs))
}

private fun measureAll(size: FleetSize, seed: Long): List<DecisionCost> {
    val random = Random(seed)
    return listOf(
        routing(size, random),
        queueing(size, random),
        placement(size, random),
        review(size, random),
        loadScheduling(size, random),
        adapterScheduling(size, random),
    )
}

private const val ROW = "%-22s %-42s %12s %12s %12s %10s"

private fun DecisionCost.toText(): String =
    ROW.format(
        decision,
        size,
        "%.0f".format(medianNanos),
        "%.0f".format(lowestNanos),
        "%.0f".format(highestNanos),
        "%.0f".format(allocatedBytes),
    )

private fun slopeText(decision: String, costs: List<DecisionCost>): String {
    val engines = sizes.last().engines - sizes.first().engines
    val nanos = (costs.last().medianNanos - costs.first().medianNanos) / engines
    val bytes = (costs.last().allocatedBytes - costs.first().allocatedBytes) / engines
    return "  %-22s %10.2f ns %10.2f bytes".format(decision, nanos, bytes)
}

/** One request routed among the replicas of its model; a model has at most as many replicas as a tenth of the fleet. */
private fun routing(size: FleetSize, random: Random): DecisionCost {
    val router = ReplicaRouter(random)
    val endpoints = endpointIds(size)
    endpoints.forEach { router.handle(RouterEvent.LoadReported(it, random.nextLong(50_000), 0), 0) }
    val candidates = endpoints.take(maxOf(3, size.engines / 10)).map { ReplicaCandidate(it, 1.0) }
    val prefixHashes = List(64) { LongArray(6) { random.nextLong() } }
    return measureDecision("route", size.title) { iteration ->
        val requestId = RequestId("r-$iteration")
        val prefix = prefixHashes[iteration % prefixHashes.size]
        val request = RoutingRequest(requestId, ModelId("m"), 2_000, 2_500, prefix)
        router.route(request, candidates, iteration.toLong())
        router.handle(RouterEvent.Finished(requestId), iteration.toLong())
    }
}

/** Arrival, dispatch and end of one request in a queue of one endpoint; the backlog grows with the fleet's teams. */
private fun queueing(size: FleetSize, random: Random): DecisionCost {
    val teams = maxOf(5, size.engines / 20)
    val queue = FairQueue(FairQueueSettings(maxConcurrentRequests = 1, maxWaitingRequests = 100_000))
    repeat(teams * 10) { queue.handle(QueueEvent.Arrived(queued("w-$it", it % teams, random)), 0) }
    var runningId = RequestId("w-0")
    return measureDecision("queue", size.title) { iteration ->
        queue.handle(QueueEvent.Arrived(queued("r-$iteration-${queue.waitingCount}", iteration % teams, random)), 0)
        val actions = queue.handle(QueueEvent.Finished(runningId, 1_000), 0)
        actions.filterIsInstance<QueueAction.Dispatch>().lastOrNull()
            ?.let { runningId = it.request.requestId }
    }
}

private fun queued(id: String, team: Int, random: Random) =
    QueuedRequest(
        requestId = RequestId(id),
        teamId = TeamId("team-$team"),
        priorityClass = PriorityClass.entries[random.nextInt(2)],
        costTokens = random.nextLong(500, 3_000),
        deadlineMs = 1_000_000_000_000L + random.nextLong(60_000),
    )

/** The choice of an endpoint for a cold model among all endpoints. */
private fun placement(size: FleetSize, random: Random): DecisionCost {
    val endpoints = endpointViews(size, random)
    val policy = policyWithUses(size, random)
    return measureDecision("place", size.title) { iteration ->
        val model = ModelWeights(ModelId("cold-${iteration % size.models}"), "1", 16 * GIGABYTE)
        policy.handle(ReplicaEvent.ReplicaMissing(model, endpoints), 1_000_000)
    }
}

/** The review of all endpoints by the idle rule. */
private fun review(size: FleetSize, random: Random): DecisionCost {
    val endpoints = endpointViews(size, random)
    val policy = policyWithUses(size, random)
    return measureDecision("review all endpoints", size.title) {
        policy.handle(ReplicaEvent.ReviewDue(endpoints), 1_000_000)
    }
}

private fun policyWithUses(size: FleetSize, random: Random): ReplicaPolicy {
    val policy = ReplicaPolicy()
    repeat(size.models * 10) { use ->
        policy.handle(ReplicaEvent.ModelUsed(ModelId("m-${random.nextInt(size.models)}")), use * 10L)
    }
    return policy
}

/** Request and end of one model load while a tenth of the models wait for theirs. */
private fun loadScheduling(size: FleetSize, random: Random): DecisionCost {
    val scheduler = LoadScheduler(LoadSchedulerSettings(loadsPerSecond = 1e9, startBurst = 1_000_000))
    repeat(size.models / 10) { scheduler.handle(loadRequested("w-$it", loadKey(size, it, null), random), 0) }
    return measureDecision("schedule load", size.title) { iteration ->
        val key = loadKey(size, size.models + iteration % size.models, null)
        scheduler.handle(loadRequested("r-$iteration", key, random), 0)
        scheduler.handle(LoadEvent.WaiterCancelled(RequestId("r-$iteration")), 0)
    }
}

/** Request and end of one adapter load. */
private fun adapterScheduling(size: FleetSize, random: Random): DecisionCost {
    val scheduler = LoadScheduler()
    return measureDecision("schedule adapter", size.title) { iteration ->
        val key = loadKey(size, iteration, AdapterId("a-${iteration % size.adapters}"))
        scheduler.handle(loadRequested("r-$iteration", key, random), iteration.toLong())
        scheduler.handle(LoadEvent.Finished(key), iteration.toLong())
    }
}

private fun loadKey(size: FleetSize, index: Int, adapterId: AdapterId?) =
    LoadKey(EndpointId("engine-${index % size.engines}"), ModelId("m-$index"), adapterId)

private fun loadRequested(id: String, key: LoadKey, random: Random) =
    LoadEvent.Requested(
        key = key,
        source = WeightSource.REMOTE,
        expectedLoadMs = 8_000,
        waiter = LoadWaiter(RequestId(id), PriorityClass.INTERACTIVE, 1_000_000_000L + random.nextLong(60_000)),
    )

private fun endpointIds(size: FleetSize): List<EndpointId> = List(size.engines) { EndpointId("engine-$it") }

private fun endpointViews(size: FleetSize, random: Random): List<EndpointView> =
    endpointIds(size).map { endpointId ->
        val replicas = List(MODELS_PER_ENGINE) {
            ReplicaView(
                modelId = ModelId("m-${random.nextInt(size.models)}"),
                version = "1",
                weightsBytes = 20 * GIGABYTE,
                requestsInFlight = random.nextInt(2),
                idleSinceMs = random.nextLong(1_000_000),
            )
        }
        EndpointView(endpointId, 80 * GIGABYTE, replicas.sumOf { it.weightsBytes }, replicas)
    }
