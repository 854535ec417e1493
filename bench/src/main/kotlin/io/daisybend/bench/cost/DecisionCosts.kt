/*
 * Measures the cost of each decision at several fleet sizes, and its increase per additional engine from the smallest
 * to the largest size.
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

/** Numbers of engines, models and adapters of a fleet. */
internal data class FleetSize(val engines: Int, val models: Int, val adapters: Int) {
    val title: String get() = "$engines engines, $models models, $adapters adapters"
}

private val fleetSizes = listOf(
    FleetSize(engines = 9, models = 30, adapters = 60),
    FleetSize(engines = 80, models = 160, adapters = 980),
    FleetSize(engines = 600, models = 480, adapters = 2_940),
    FleetSize(engines = 2_400, models = 1_600, adapters = 9_800),
)

private const val GIGABYTE = 1_000_000_000L
private const val MODELS_PER_ENGINE = 3
private val json = Json { prettyPrint = true }

/** Prints all costs and their slopes and writes the costs to [jsonFile]. The first pass is a warm-up only. */
internal fun reportDecisionCosts(seed: Long, jsonFile: String) {
    fleetSizes.forEach { measureAll(it, seed) }
    val costs = fleetSizes.flatMap { measureAll(it, seed) }
    println(ROW.format("decision", "size", "median ns", "lowest", "highest", "bytes"))
    costs.sortedBy { it.decision }.forEach { println(it.toText()) }
    println("slope from the smallest to the largest size, for each engine more:")
    costs.groupBy { it.decision }.forEach { (decision, costsOfDecision) ->
        println(formatSlope(decision, costsOfDecision))
    }
    Files.writeString(Path.of(jsonFile), json.encodeToString(costs))
}

private fun measureAll(size: FleetSize, seed: Long): List<DecisionCost> {
    val random = Random(seed)
    return listOf(
        measureRouting(size, random),
        measureQueueing(size, random),
        measurePlacement(size, random),
        measureReview(size, random),
        measureLoadScheduling(size, random),
        measureAdapterScheduling(size, random),
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

private fun formatSlope(decision: String, costs: List<DecisionCost>): String {
    val engines = fleetSizes.last().engines - fleetSizes.first().engines
    val nanos = (costs.last().medianNanos - costs.first().medianNanos) / engines
    val bytes = (costs.last().allocatedBytes - costs.first().allocatedBytes) / engines
    return "  %-22s %10.2f ns %10.2f bytes".format(decision, nanos, bytes)
}

/** Measures routing one request among its model's replicas, which are a tenth of the fleet but at least three. */
private fun measureRouting(size: FleetSize, random: Random): DecisionCost {
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

/** Measures arrival, dispatch and end of one request in one queue; the backlog grows with the number of teams. */
private fun measureQueueing(size: FleetSize, random: Random): DecisionCost {
    val teamCount = maxOf(5, size.engines / 20)
    val queue = FairQueue(FairQueueSettings(maxConcurrentRequests = 1, maxWaitingRequests = 100_000))
    repeat(teamCount * 10) { queue.handle(QueueEvent.Arrived(queuedRequest("w-$it", it % teamCount, random)), 0) }
    var runningId = RequestId("w-0")
    return measureDecision("queue", size.title) { iteration ->
        queue.handle(
            QueueEvent.Arrived(queuedRequest("r-$iteration-${queue.waitingCount}", iteration % teamCount, random)),
            0,
        )
        val actions = queue.handle(QueueEvent.Finished(runningId, 1_000), 0)
        actions.filterIsInstance<QueueAction.Dispatch>().lastOrNull()
            ?.let { runningId = it.request.requestId }
    }
}

private fun queuedRequest(id: String, teamIndex: Int, random: Random) =
    QueuedRequest(
        requestId = RequestId(id),
        teamId = TeamId("team-$teamIndex"),
        priorityClass = PriorityClass.entries[random.nextInt(2)],
        costTokens = random.nextLong(500, 3_000),
        deadlineMs = 1_000_000_000_000L + random.nextLong(60_000),
    )

/** Measures the choice of an endpoint for a cold model among all endpoints. */
private fun measurePlacement(size: FleetSize, random: Random): DecisionCost {
    val endpoints = endpointViews(size, random)
    val policy = policyWithUsage(size, random)
    return measureDecision("place", size.title) { iteration ->
        val model = ModelWeights(ModelId("cold-${iteration % size.models}"), "1", 16 * GIGABYTE)
        policy.handle(ReplicaEvent.ReplicaMissing(model, endpoints), 1_000_000)
    }
}

/** Measures the review of all endpoints by the idle rule. */
private fun measureReview(size: FleetSize, random: Random): DecisionCost {
    val endpoints = endpointViews(size, random)
    val policy = policyWithUsage(size, random)
    return measureDecision("review all endpoints", size.title) {
        policy.handle(ReplicaEvent.ReviewDue(endpoints), 1_000_000)
    }
}

private fun policyWithUsage(size: FleetSize, random: Random): ReplicaPolicy {
    val policy = ReplicaPolicy()
    repeat(size.models * 10) { useIndex ->
        policy.handle(ReplicaEvent.ModelUsed(ModelId("m-${random.nextInt(size.models)}")), useIndex * 10L)
    }
    return policy
}

/** Measures request and cancellation of one model load while a tenth of the models wait to be loaded. */
private fun measureLoadScheduling(size: FleetSize, random: Random): DecisionCost {
    val scheduler = LoadScheduler(LoadSchedulerSettings(loadsPerSecond = 1e9, startBurst = 1_000_000))
    repeat(size.models / 10) { scheduler.handle(loadRequested("w-$it", loadKey(size, it, null), random), 0) }
    return measureDecision("schedule load", size.title) { iteration ->
        val key = loadKey(size, size.models + iteration % size.models, null)
        scheduler.handle(loadRequested("r-$iteration", key, random), 0)
        scheduler.handle(LoadEvent.WaiterCancelled(RequestId("r-$iteration")), 0)
    }
}

/** Measures request and end of one adapter load. */
private fun measureAdapterScheduling(size: FleetSize, random: Random): DecisionCost {
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
