package io.daisybend.serving.residency

import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec
import kotlin.math.pow
import kotlin.random.Random

/** The demand and the failures of a replay. */
internal data class ReplayPattern(
    val name: String,
    /** Requests per second by time of the replay in milliseconds. */
    val ratePerSecond: (Long) -> Double = { 12.0 },
    /** Shift of the popularity ranking of the models by time of the replay in milliseconds. */
    val rankShift: (Long) -> Int = { 0 },
    /** Exponent of the Zipf distribution of requests over models; a small one requests rare models more often. */
    val skew: (Long) -> Double = { 1.1 },
    /** The number of engines that fail at [engineLossAtMs]. */
    val enginesLost: Int = 0,
    val engineLossAtMs: Long = 8_000,
    /** Whether engines start without loaded models, with copies on their disks only. */
    val startsWithoutModels: Boolean = false,
    val isStoreUnavailable: Boolean = false,
)

/** The numbers of requests and of store loads of a replay. */
internal data class ReplayResult(
    val requested: Int,
    val served: Int,
    val possible: Int,
    val storeLoads: Int,
    val isOverfilled: Boolean,
) {
    val servedShare get() = served.toDouble() / requested
    val possibleShare get() = possible.toDouble() / requested
}

internal class WaitingRequest(val model: String, val arrivedAtMs: Long, val runMs: Long)

/** Sends orders to the engines of a replay in each step. */
internal fun interface ResidencyPolicy {
    fun order(engines: List<ReplayedEngine>, waiting: List<WaitingRequest>, arrived: List<String>, nowMs: Long)
}

internal val replaySpec = EngineSpec(
    slots = 64,
    kvCapacityTokens = 232_000,
    weightMemoryMb = 200_000.0,
    adapterSlots = 8,
    hostCacheMb = 130_000.0,
    diskCacheMb = 760_000.0,
    loadsPerSecond = 1.6,
    models = (0 until 30).associate { index ->
        val isSmall = index % 3 == 0
        "m$index" to ModelSpec(
            name = "m$index",
            weightsMb = if (isSmall) 34_300.0 else 72_700.0,
            coldLoadMs = 6_000,
            diskLoadMs = if (isSmall) 520 else 1_200,
            memoryLoadMs = if (isSmall) 280 else 400,
            adapterMb = 40.0,
        )
    },
)

/** Replays [pattern] on six engines; the same [seed] gives the same requests. */
internal class ReplayedSite(private val pattern: ReplayPattern, seed: Int) {
    private val random = Random(seed)
    private val ranking = replaySpec.models.keys.shuffled(random)
    private val engines = List(ENGINES) { index ->
        val ranked = ranking.filterIndexed { rank, _ -> rank % ENGINES == index || (rank + 1) % ENGINES == index }
        val held = if (pattern.startsWithoutModels) emptyList() else ranked.take(2)
        ReplayedEngine("e$index", replaySpec, held, onDisk = ranked)
    }
    private val heldAtStart = engines.flatMapTo(HashSet()) { it.report(0).models.keys }
    private val firstRequestedAtMs = HashMap<String, Long>()

    fun replay(policy: ResidencyPolicy): ReplayResult {
        val waiting = ArrayList<WaitingRequest>()
        var runningEngines = engines
        var requested = 0
        var served = 0
        var possible = 0
        for (nowMs in 0L until DURATION_MS step STEP_MS) {
            if (nowMs == pattern.engineLossAtMs) runningEngines = engines.drop(pattern.enginesLost)
            runningEngines.forEach { it.advance(nowMs) }
            val arrived = arrivals(nowMs)
            arrived.forEach { model ->
                requested++
                if (isPossible(model, runningEngines, nowMs)) possible++
                waiting.add(WaitingRequest(model, nowMs, if (random.nextInt(3) == 0) LONG_RUN_MS else SHORT_RUN_MS))
            }
            val started = waiting.filter { request ->
                val engine = runningEngines.filter { it.canServe(request.model) }.minByOrNull { it.currentRuns.size }
                engine?.run(request.model, nowMs, request.runMs)
                engine != null
            }
            served += started.size
            waiting.removeAll(started.toSet())
            waiting.removeAll { nowMs - it.arrivedAtMs >= WAIT_TIMEOUT_MS }
            policy.order(runningEngines, waiting, arrived, nowMs)
        }
        return ReplayResult(
            requested,
            served,
            possible,
            engines.sumOf { it.storeLoads },
            engines.any { it.isOverfilled },
        )
    }

    private fun arrivals(nowMs: Long): List<String> {
        val expected = pattern.ratePerSecond(nowMs) * STEP_MS / 1_000
        val count = expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
        return List(count) {
            val weights = ranking.indices.map { (it + 1.0).pow(-pattern.skew(nowMs)) }
            var left = random.nextDouble() * weights.sum()
            val rank = weights.indexOfFirst { weight ->
                left -= weight
                left <= 0
            }.coerceAtLeast(0)
            ranking[(rank + pattern.rankShift(nowMs)) % ranking.size]
        }
    }

    /** Returns whether engines with unlimited memory and unlimited orders could serve a request at [nowMs]. */
    private fun isPossible(model: String, runningEngines: List<ReplayedEngine>, nowMs: Long): Boolean {
        val requestedAtMs = firstRequestedAtMs.getOrPut(model) { nowMs }
        val hasCopy = runningEngines.any { model in it.report(nowMs).onDisk }
        if (hasCopy || (model in heldAtStart && runningEngines.size == engines.size)) return true
        return !pattern.isStoreUnavailable &&
            nowMs + WAIT_TIMEOUT_MS >= requestedAtMs + replaySpec.models.getValue(model).coldLoadMs
    }

    companion object {
        const val ENGINES = 6
        const val STEP_MS = 20L
        const val DURATION_MS = 40_000L
        const val WAIT_TIMEOUT_MS = 1_400L
        const val SHORT_RUN_MS = 250L
        const val LONG_RUN_MS = 1_800L
    }
}
