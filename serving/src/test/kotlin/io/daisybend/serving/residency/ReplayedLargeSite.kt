package io.daisybend.serving.residency

import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec
import kotlin.math.pow
import kotlin.random.Random

/** Weights and load times of a size of models. */
private class ModelSize(val weightsMb: Double, val diskLoadMs: Long, val memoryLoadMs: Long, val adapterMb: Double)

private val sizes = listOf(
    ModelSize(weightsMb = 72_700.0, diskLoadMs = 1_200, memoryLoadMs = 400, adapterMb = 66.0),
    ModelSize(weightsMb = 34_300.0, diskLoadMs = 520, memoryLoadMs = 280, adapterMb = 40.0),
    ModelSize(weightsMb = 65_500.0, diskLoadMs = 1_000, memoryLoadMs = 380, adapterMb = 40.0),
    ModelSize(weightsMb = 65_100.0, diskLoadMs = 1_000, memoryLoadMs = 380, adapterMb = 12.0),
)

private val popularModels = (0 until 26).map { "m$it" }
private val rareModels = (26 until 166).map { "m$it" }

/** A site with many rare models whose weight store carries few loads at once for the rate of loads that it allows. */
internal val largeSpec = EngineSpec(
    slots = 64,
    kvCapacityTokens = 232_000,
    weightMemoryMb = 200_000.0,
    adapterSlots = 8,
    hostCacheMb = 130_000.0,
    diskCacheMb = 400_000.0,
    loadsPerSecond = 19.0,
    models = (popularModels + rareModels).associateWith { name ->
        val size = if (name in popularModels) sizes.first() else sizes[rareModels.indexOf(name) % sizes.size]
        ModelSpec(
            name = name,
            weightsMb = size.weightsMb,
            coldLoadMs = 7_800,
            diskLoadMs = size.diskLoadMs,
            memoryLoadMs = size.memoryLoadMs,
            adapterMb = size.adapterMb,
        )
    },
)

private const val ENGINES = 63
private const val MODELS_PER_ENGINE = 2
private const val FULL_SPEED_LOADS = 2
private const val POPULAR_AT_ONCE = 11
private const val ADAPTERS = 28
private const val STEP_MS = 50L
private const val TRAFFIC_STARTS_AT_MS = 19_000L
private const val DURATION_MS = TRAFFIC_STARTS_AT_MS + 34_000L

/** The number of engines that hold each of the models that are popular at first, by rank. */
private val popularCopies = listOf(7, 4, 3, 3, 3, 2, 2, 2, 2, 2, 2)

/** The number of engines that are lost, by time after the start of traffic in milliseconds. */
private val enginesLostAtMs = mapOf(5_000L to 6, 10_000L to 10, 12_000L to 13)

/** The number of engines that join without any copies, and when they do. */
private const val ENGINES_JOINING = 16
private const val JOIN_AT_MS = 11_000L

/** A kind of request: its rate, the share of requests for adapters, its urgency and how long it waits for a model. */
private class RequestClass(
    val perSecond: Double,
    val adapterShare: Double,
    val urgency: Int,
    val waitLimitMs: Long,
    val isForRareModels: Boolean = false,
)

private val requestClasses = listOf(
    RequestClass(perSecond = 51.5, adapterShare = 0.5, urgency = 0, waitLimitMs = 1_700),
    RequestClass(perSecond = 44.3, adapterShare = 0.1, urgency = 2, waitLimitMs = 2_300),
    RequestClass(perSecond = 19.1, adapterShare = 0.0, urgency = 1, waitLimitMs = 8_400, isForRareModels = true),
)

/**
 * Returns a site on which almost half of the engines are lost for good, with the only copies of some models, and empty
 * ones join, while the demand moves between popular models and rare ones are requested twice as often for a time. The
 * same [seed] gives the same requests.
 */
internal fun siteThatLosesCopies(seed: Int): ReplayedSite {
    val random = Random(seed)
    val store = ReplayedStore(FULL_SPEED_LOADS)
    val popular = popularModels.shuffled(random)
    val engines = placedModels(popular, random).mapIndexed { index, held ->
        ReplayedEngine("e$index", largeSpec, store, held, onDisk = filledDisk(held, random))
    }
    val lossTimes = enginesLostAtMs.flatMap { (atMs, count) -> List(count) { TRAFFIC_STARTS_AT_MS + atMs } }
    val places = engines.shuffled(random).mapIndexed { index, engine ->
        ReplayedPlace(engine, lostAtMs = lossTimes.getOrElse(index) { Long.MAX_VALUE })
    }
    val joining = List(ENGINES_JOINING) { index ->
        val engine = ReplayedEngine("n$index", largeSpec, store, held = emptyList(), onDisk = emptyList())
        ReplayedPlace(engine, joinsAtMs = TRAFFIC_STARTS_AT_MS + JOIN_AT_MS)
    }
    return ReplayedSite(
        places = places + joining,
        store = store,
        demand = MovingDemand(popular, random),
        durationMs = DURATION_MS,
        stepMs = STEP_MS,
        coldLoadMs = { largeSpec.models.getValue(it).coldLoadMs },
    )
}

/** Returns the models of each engine: copies of popular ones, and of the others one each while there are places. */
private fun placedModels(popular: List<String>, random: Random): List<List<String>> {
    val copies = popularCopies.flatMapIndexed { rank, count -> List(count) { popular[rank] } }
    val others = (popular.drop(POPULAR_AT_ONCE) + rareModels).shuffled(random)
    val placed = (copies + others).take(ENGINES * MODELS_PER_ENGINE)
    return List(ENGINES) { index -> placed.filterIndexed { place, _ -> place % ENGINES == index } }
}

/** Returns the models on the disk of an engine that holds [held]: others were loaded before. */
private fun filledDisk(held: List<String>, random: Random): List<String> {
    val onDisk = ArrayList(held)
    fun usedMb() = onDisk.sumOf { largeSpec.models.getValue(it).weightsMb }
    (largeSpec.models.keys - held.toSet()).shuffled(random).forEach { model ->
        if (usedMb() + largeSpec.models.getValue(model).weightsMb <= largeSpec.diskCacheMb) onDisk.add(model)
    }
    return onDisk
}

/** Requests the current popular models by rank, and the rare ones all alike. */
private class MovingDemand(private val popular: List<String>, private val random: Random) : ReplayedDemand {
    override fun arrivals(nowMs: Long): List<WaitingRequest> {
        val trafficMs = nowMs - TRAFFIC_STARTS_AT_MS
        if (trafficMs < 0) return emptyList()
        return requestClasses.flatMap { kind ->
            val burst = if (kind.isForRareModels && trafficMs in 6_000L until 14_000L) 2.0 else 1.0
            val expected = kind.perSecond * burst * STEP_MS / 1_000
            val count = expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
            List(count) { request(kind, nowMs, trafficMs) }
        }
    }

    private fun request(kind: RequestClass, nowMs: Long, trafficMs: Long): WaitingRequest {
        val model = if (kind.isForRareModels) rareModels.random(random) else popularModel(trafficMs)
        val hasAdapter = popular.indexOf(model) % 2 == 0 && random.nextDouble() < kind.adapterShare
        return WaitingRequest(
            model = model,
            arrivedAtMs = nowMs,
            runMs = if (random.nextInt(3) == 0) LONG_RUN_MS else SHORT_RUN_MS,
            adapter = if (hasAdapter) "a${random.nextInt(ADAPTERS)}" else null,
            urgency = kind.urgency,
            waitLimitMs = kind.waitLimitMs,
        )
    }

    private fun popularModel(trafficMs: Long): String {
        val shift = when {
            trafficMs < 2_000 -> 0
            trafficMs < 16_000 -> 4
            else -> 8
        }
        val weights = List(POPULAR_AT_ONCE) { (it + 1.0).pow(-POPULARITY_SKEW) }
        var left = random.nextDouble() * weights.sum()
        val rank = weights.indexOfFirst { weight ->
            left -= weight
            left <= 0
        }.coerceAtLeast(0)
        return popular[(rank + shift) % popular.size]
    }

    private companion object {
        const val POPULARITY_SKEW = 0.6
    }
}
