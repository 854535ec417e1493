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

/** The numbers of requests and of store loads of a replay, and the models that were asked for and never served. */
internal data class ReplayResult(
    val requested: Int,
    val served: Int,
    val possible: Int,
    val storeLoads: Int,
    val mostStoreLoadsUnderWay: Int,
    val isOverfilled: Boolean,
    /** The models and adapters that were requested four times or more, over eight seconds or more. */
    val askedThroughout: Set<String>,
    /** Those of [askedThroughout] of which no request was served. */
    val neverServed: Set<String>,
) {
    val servedShare get() = served.toDouble() / requested
    val possibleShare get() = possible.toDouble() / requested
}

/** A request for [model], or for its [adapter], that is given up [waitLimitMs] after its arrival. */
internal class WaitingRequest(
    val model: String,
    val arrivedAtMs: Long,
    val runMs: Long,
    val adapter: String? = null,
    val urgency: Int = 1,
    val waitLimitMs: Long = DEFAULT_WAIT_LIMIT_MS,
) {
    val key get() = if (adapter == null) model else "$model/$adapter"

    private companion object {
        const val DEFAULT_WAIT_LIMIT_MS = 1_400L
    }
}

/** Returns the requests that arrive in each step of a replay. */
internal fun interface ReplayedDemand {
    fun arrivals(nowMs: Long): List<WaitingRequest>
}

/** Sends orders to the engines of a replay in each step. */
internal fun interface ResidencyPolicy {
    fun order(engines: List<ReplayedEngine>, waiting: List<WaitingRequest>, arrived: List<WaitingRequest>, nowMs: Long)
}

/** An engine of a replay, which joins at [joinsAtMs] and is lost for good at [lostAtMs]. */
internal class ReplayedPlace(
    val engine: ReplayedEngine,
    val joinsAtMs: Long = 0,
    val lostAtMs: Long = Long.MAX_VALUE,
) {
    fun isThere(nowMs: Long) = nowMs in joinsAtMs until lostAtMs
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

/** Replays [demand] on the engines of [places]. */
internal class ReplayedSite(
    private val places: List<ReplayedPlace>,
    private val store: ReplayedStore,
    private val demand: ReplayedDemand,
    private val durationMs: Long,
    private val stepMs: Long,
    private val coldLoadMs: (String) -> Long,
    private val isStoreUnavailable: Boolean = false,
) {
    private val engines = places.map { it.engine }
    private val heldAtStart = engines.flatMapTo(HashSet()) { it.report(0).models.keys }
    private val requestTimesMs = LinkedHashMap<String, MutableList<Long>>()
    private val servedKeys = HashSet<String>()

    fun replay(policy: ResidencyPolicy): ReplayResult {
        val waiting = ArrayList<WaitingRequest>()
        var requested = 0
        var served = 0
        var possible = 0
        for (nowMs in 0L until durationMs step stepMs) {
            val runningEngines = places.filter { it.isThere(nowMs) }.map { it.engine }
            runningEngines.forEach { it.advance(nowMs) }
            val arrived = demand.arrivals(nowMs)
            arrived.forEach { request ->
                requested++
                requestTimesMs.getOrPut(request.key) { ArrayList() }.add(nowMs)
                if (isPossible(request, runningEngines, nowMs)) possible++
            }
            waiting.addAll(arrived)
            val started = waiting.filterTo(HashSet()) { request ->
                val engine = runningEngines
                    .filter { it.canServe(request.model, request.adapter) }
                    .minByOrNull { it.currentRuns.size }
                engine?.run(request, nowMs)
                engine != null
            }
            served += started.size
            started.mapTo(servedKeys) { it.key }
            waiting.removeAll(started)
            waiting.removeAll { nowMs - it.arrivedAtMs >= it.waitLimitMs }
            policy.order(runningEngines, waiting, arrived, nowMs)
        }
        val askedThroughout = requestTimesMs.filterValues(::isAskedThroughout).keys
        return ReplayResult(
            requested = requested,
            served = served,
            possible = possible,
            storeLoads = store.loads,
            mostStoreLoadsUnderWay = store.mostLoadsUnderWay,
            isOverfilled = engines.any { it.isOverfilled },
            askedThroughout = askedThroughout,
            neverServed = askedThroughout - servedKeys,
        )
    }

    private fun isAskedThroughout(timesMs: List<Long>) =
        timesMs.size >= LEAST_REQUESTS && timesMs.last() - timesMs.first() >= LEAST_SPAN_MS

    /** Returns whether engines with unlimited memory and unlimited orders could serve [request] at [nowMs]. */
    private fun isPossible(request: WaitingRequest, runningEngines: List<ReplayedEngine>, nowMs: Long): Boolean {
        val model = request.model
        if (runningEngines.any { it.hasCopy(model) }) return true
        if (model in heldAtStart && runningEngines.size == engines.size) return true
        val firstRequestedAtMs = requestTimesMs.getValue(request.key).first()
        return !isStoreUnavailable && nowMs + request.waitLimitMs >= firstRequestedAtMs + coldLoadMs(model)
    }

    private companion object {
        const val LEAST_REQUESTS = 4
        const val LEAST_SPAN_MS = 8_000L
    }
}

/** Returns a site of six engines on which [pattern] is replayed; the same [seed] gives the same requests. */
internal fun replayedSite(pattern: ReplayPattern, seed: Int): ReplayedSite {
    val random = Random(seed)
    val ranking = replaySpec.models.keys.shuffled(random)
    val store = ReplayedStore(FULL_SPEED_LOADS)
    val engines = List(ENGINES) { index ->
        val ranked = ranking.filterIndexed { rank, _ -> rank % ENGINES == index || (rank + 1) % ENGINES == index }
        val held = if (pattern.startsWithoutModels) emptyList() else ranked.take(2)
        ReplayedEngine("e$index", replaySpec, store, held, onDisk = ranked)
    }
    return ReplayedSite(
        places = engines.mapIndexed { index, engine ->
            if (index < pattern.enginesLost) {
                ReplayedPlace(engine, lostAtMs = pattern.engineLossAtMs)
            } else {
                ReplayedPlace(engine)
            }
        },
        store = store,
        demand = RankedDemand(pattern, ranking, random),
        durationMs = DURATION_MS,
        stepMs = STEP_MS,
        coldLoadMs = { replaySpec.models.getValue(it).coldLoadMs },
        isStoreUnavailable = pattern.isStoreUnavailable,
    )
}

/** Requests models by their popularity as [pattern] says. */
private class RankedDemand(
    private val pattern: ReplayPattern,
    private val ranking: List<String>,
    private val random: Random,
) : ReplayedDemand {
    override fun arrivals(nowMs: Long): List<WaitingRequest> {
        val expected = pattern.ratePerSecond(nowMs) * STEP_MS / 1_000
        val count = expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
        return List(count) { nextModel(nowMs) }.map { model ->
            WaitingRequest(model, nowMs, if (random.nextInt(3) == 0) LONG_RUN_MS else SHORT_RUN_MS)
        }
    }

    private fun nextModel(nowMs: Long): String {
        val weights = ranking.indices.map { (it + 1.0).pow(-pattern.skew(nowMs)) }
        var left = random.nextDouble() * weights.sum()
        val rank = weights.indexOfFirst { weight ->
            left -= weight
            left <= 0
        }.coerceAtLeast(0)
        return ranking[(rank + pattern.rankShift(nowMs)) % ranking.size]
    }
}

private const val ENGINES = 6
private const val FULL_SPEED_LOADS = 4
private const val STEP_MS = 20L
private const val DURATION_MS = 40_000L
internal const val SHORT_RUN_MS = 250L
internal const val LONG_RUN_MS = 1_800L
