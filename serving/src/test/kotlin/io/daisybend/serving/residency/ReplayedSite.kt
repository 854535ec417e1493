package io.daisybend.serving.residency

import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec
import kotlin.math.pow
import kotlin.random.Random

/** A load pattern of a replay. */
internal data class LoadPattern(
    val name: String,
    /** Requests a second at a time of the replay, in milliseconds. */
    val ratePerSecond: (Long) -> Double = { 12.0 },
    /** How many places the models' ranks have moved at a time of the replay, in milliseconds. */
    val rankShift: (Long) -> Int = { 0 },
    /** Exponent of the models' popularity; a small one asks for rare models as well. */
    val skew: (Long) -> Double = { 1.1 },
    /** Engines that are lost at [engineLossAtMs]. */
    val enginesLost: Int = 0,
    val engineLossAtMs: Long = 8_000,
    /** Whether engines start without models, with copies on their disks only. */
    val startsCold: Boolean = false,
    val isStoreAway: Boolean = false,
)

/** What became of a replay's requests. */
internal data class ReplayResult(
    val asked: Int,
    val served: Int,
    val possible: Int,
    val storeLoads: Int,
    val overfilled: Boolean,
) {
    val servedShare get() = served.toDouble() / asked
    val possibleShare get() = possible.toDouble() / asked
}

internal class WaitingRequest(val model: String, val arrivedAtMs: Long, val runMs: Long)

/** Gives orders to the engines of a replay, once every step. */
internal fun interface ResidencyPolicy {
    fun order(engines: List<ReplayedEngine>, waiting: List<WaitingRequest>, arrived: List<String>, nowMs: Long)
}

internal val replayClass = EngineSpec(
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

/** Plays [pattern] against a policy on six engines; the same [seed] asks for the same. */
internal class ReplayedSite(private val pattern: LoadPattern, seed: Int) {
    private val random = Random(seed)
    private val ranking = replayClass.models.keys.shuffled(random)
    private val engines = List(ENGINES) { index ->
        val own = ranking.filterIndexed { rank, _ -> rank % ENGINES == index || (rank + 1) % ENGINES == index }
        val held = if (pattern.startsCold) emptyList() else own.take(2)
        ReplayedEngine("e$index", replayClass, held, onDisk = own)
    }
    private val heldAtStart = engines.flatMapTo(HashSet()) { it.report(0).models.keys }
    private val firstAskedMs = HashMap<String, Long>()

    fun play(policy: ResidencyPolicy): ReplayResult {
        val waiting = ArrayList<WaitingRequest>()
        var alive = engines
        var asked = 0
        var served = 0
        var possible = 0
        for (nowMs in 0L until DURATION_MS step STEP_MS) {
            if (nowMs == pattern.engineLossAtMs) alive = engines.drop(pattern.enginesLost)
            alive.forEach { it.advance(nowMs) }
            val arrived = arrivals(nowMs)
            arrived.forEach { model ->
                asked++
                if (isPossible(model, alive, nowMs)) possible++
                waiting.add(WaitingRequest(model, nowMs, if (random.nextInt(3) == 0) LONG_RUN_MS else SHORT_RUN_MS))
            }
            val started = waiting.filter { request ->
                val engine = alive.filter { it.serves(request.model) }.minByOrNull { it.runsNow.size }
                engine?.run(request.model, nowMs, request.runMs)
                engine != null
            }
            served += started.size
            waiting.removeAll(started.toSet())
            waiting.removeAll { nowMs - it.arrivedAtMs >= PATIENCE_MS }
            policy.order(alive, waiting, arrived, nowMs)
        }
        return ReplayResult(asked, served, possible, engines.sumOf { it.storeLoads }, engines.any { it.overfilled })
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

    /** Whether full knowledge could serve a request at [nowMs], if engines had room and took any number of orders. */
    private fun isPossible(model: String, alive: List<ReplayedEngine>, nowMs: Long): Boolean {
        val firstMs = firstAskedMs.getOrPut(model) { nowMs }
        val hasCopy = alive.any { model in it.report(nowMs).onDisk }
        if (hasCopy || (model in heldAtStart && alive.size == engines.size)) return true
        return !pattern.isStoreAway && nowMs + PATIENCE_MS >= firstMs + replayClass.models.getValue(model).coldLoadMs
    }

    companion object {
        const val ENGINES = 6
        const val STEP_MS = 20L
        const val DURATION_MS = 40_000L
        const val PATIENCE_MS = 1_400L
        const val SHORT_RUN_MS = 250L
        const val LONG_RUN_MS = 1_800L
    }
}
