/*
 * Measures wrongful refusals: refused requests that a single bucket for the whole fleet would have admitted, given the
 * same requests. `main` prints a table; WrongfulRefusalsTest checks the bounds.
 */
package io.daisybend.rates

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.VmId
import kotlin.math.ln
import kotlin.random.Random

internal enum class CallerPattern { EVERY_VM, ONE_VM, MOVING, SHARD_HOLDERS }

internal enum class Churn { NONE, KILL_AND_RESTART, KILL_FOR_LONG, PLANNED_REPLACEMENT, LOG_OUTAGE }

internal data class RefusalScenario(
    val callers: CallerPattern,
    val churn: Churn = Churn.NONE,
    val vmCount: Int = 9,
    val shardsPerTeam: Int = 3,
    val loadPercent: Int = 85,
    val durationMs: Long = 3_600_000,
    val isStaticSplit: Boolean = false,
    val leaseDurationMs: Long = RateSettings().leaseDurationMs,
)

internal data class RefusalCount(
    val offered: Int,
    val wrongful: Int,
    val idealRefused: Int,
    val grantRequests: Long,
    val admittedLocally: Long,
    val overshoot: Overshoot?,
) {
    val wrongfulPercent: Double get() = 100.0 * wrongful / offered
}

private val limits = TeamLimits(rateTokensPerSecond = 2_000, burstTokens = 10_000)
private const val CHURN_INTERVAL_MS = 120_000L
private const val WARM_UP_MS = 20_000L

internal fun countRefusals(scenario: RefusalScenario, seed: Long): RefusalCount {
    val random = Random(seed)
    val settings = RateSettings(shardsPerTeam = scenario.shardsPerTeam, leaseDurationMs = scenario.leaseDurationMs)
    val limiters = ArrayList<RateLimiter>()
    val harness = RateHarness(
        vmCount = scenario.vmCount,
        random = random,
        faults = Faults(maxDelayMs = 2, maxClockOffsetMs = 1_000, maxDriftPerMille = 0.1),
        periods = listOf(LimitsPeriod(0, limits)),
        tickMs = 20,
        pollMs = 1_000,
        createLimiter = { holder ->
            if (scenario.isStaticSplit) {
                NaiveStaticSplit(scenario.vmCount, limits)
            } else {
                ProductionLimiter(holder, settings).also { limiters += it.limiter }
            }
        },
    )
    harness.vms.forEach { harness.start(it) }
    harness.announceLiveVms()
    harness.runUntil(WARM_UP_MS)
    val ideal = IdealBucket()
    scheduleChurn(harness, scenario, random)
    val offeredIds = offerRequests(harness, scenario, random, ideal)
    harness.runUntil(WARM_UP_MS + scenario.durationMs + 5_000)
    val counters = limiters.fold(RateCounters()) { sum, limiter -> sum + limiter.counters() }
    return RefusalCount(
        offered = offeredIds.size,
        wrongful = harness.refusedIds.count { it in ideal.admittedIds },
        idealRefused = offeredIds.size - ideal.admittedIds.size,
        grantRequests = counters.grantRequestsSent,
        admittedLocally = counters.admittedLocally,
        overshoot = harness.checker.overshoot,
    )
}

/** A single bucket for the whole fleet that sees every request without delay. */
private class IdealBucket {
    val admittedIds = HashSet<RequestId>()
    private val holder = HolderId(VmId("ideal"), 0)
    private val bucket = ShardBucket(
        ShardLimits(limits.rateTokensPerSecond * 1_000, limits.burstTokens * MICRO_TOKENS_PER_TOKEN),
        limits.burstTokens * MICRO_TOKENS_PER_TOKEN,
        refillFromMs = 0,
    )

    fun offer(requestId: RequestId, number: Long, tokens: Long, nowMs: Long) {
        if (bucket.balanceMicroTokens(nowMs) < tokens * MICRO_TOKENS_PER_TOKEN) return
        admittedIds += requestId
        bucket.grant(GrantId(holder, number), tokens * MICRO_TOKENS_PER_TOKEN, Long.MAX_VALUE, nowMs)
        bucket.confirm(GrantId(holder, number), nowMs)
    }

    fun settle(number: Long, returnedTokens: Long, nowMs: Long) =
        bucket.settle(GrantId(holder, number), returnedTokens * MICRO_TOKENS_PER_TOKEN, nowMs)
}

/** Offers requests of 100 to 900 tokens at random times; each uses between half and all of its tokens. */
private fun offerRequests(
    harness: RateHarness,
    scenario: RefusalScenario,
    random: Random,
    ideal: IdealBucket,
): List<RequestId> {
    val offeredIds = ArrayList<RequestId>()
    val meanGapMs = 1_000.0 * MEAN_USED_TOKENS / (limits.rateTokensPerSecond * scenario.loadPercent / 100.0)
    var atMs = 0.0
    while (true) {
        atMs += -ln(1 - random.nextDouble()) * meanGapMs
        if (atMs >= scenario.durationMs) return offeredIds
        val tokens = random.nextLong(100, 901)
        val usedTokens = random.nextLong(tokens / 2, tokens + 1)
        val holdMs = random.nextLong(500, 3_000)
        val number = atMs.toLong() * 1_000 + offeredIds.size % 1_000
        harness.schedule(atMs.toLong()) {
            val vm = selectVm(harness, scenario, random) ?: return@schedule
            val requestId = harness.offer(vm, tokens, usedTokens, holdMs)
            offeredIds += requestId
            ideal.offer(requestId, number, tokens, harness.nowMs)
            harness.schedule(holdMs) { ideal.settle(number, tokens - usedTokens, harness.nowMs) }
        }
    }
}

private const val MEAN_USED_TOKENS = 375.0

private fun selectVm(harness: RateHarness, scenario: RefusalScenario, random: Random): RateHarness.Vm? {
    val live = harness.vms.filter { it.isAlive }
    return when (scenario.callers) {
        CallerPattern.EVERY_VM -> live.random(random)
        CallerPattern.ONE_VM -> live.first()
        CallerPattern.MOVING -> live[(harness.nowMs / 10_000 % live.size).toInt()]
        CallerPattern.SHARD_HOLDERS -> shardHolders(live, harness).ifEmpty { live }.random(random)
    }
}

private fun shardHolders(live: List<RateHarness.Vm>, harness: RateHarness): List<RateHarness.Vm> {
    val known = (live.last().limiter as? ProductionLimiter)?.limiter?.holdersOf(harness.teamId).orEmpty()
    return live.filter { it.vmId in known }
}

private fun scheduleChurn(harness: RateHarness, scenario: RefusalScenario, random: Random) {
    if (scenario.churn == Churn.NONE) return
    if (scenario.churn == Churn.LOG_OUTAGE) {
        harness.schedule(scenario.durationMs / 4) { harness.isLogUp = false }
        harness.schedule(scenario.durationMs * 3 / 4) { harness.isLogUp = true }
        return
    }
    (CHURN_INTERVAL_MS until scenario.durationMs step CHURN_INTERVAL_MS).forEach { atMs ->
        harness.schedule(atMs) { churn(harness, scenario.churn, harness.vms.filter { it.isAlive }.random(random)) }
    }
}

private fun churn(harness: RateHarness, churn: Churn, vm: RateHarness.Vm) = when (churn) {
    Churn.KILL_AND_RESTART -> stopAndRestart(harness, vm, afterMs = 5_000)
    Churn.KILL_FOR_LONG -> stopAndRestart(harness, vm, afterMs = 100_000)
    Churn.PLANNED_REPLACEMENT -> {
        harness.drain(vm)
        harness.schedule(10_000) { stopAndRestart(harness, vm, afterMs = 5_000) }
    }
    else -> Unit
}

private fun stopAndRestart(harness: RateHarness, vm: RateHarness.Vm, afterMs: Long) {
    harness.kill(vm)
    harness.schedule(3_000) { harness.announceLiveVms() }
    harness.schedule(afterMs) {
        harness.start(vm)
        harness.announceLiveVms()
    }
}

/** Prints one line per scenario; each argument selects one as `shards,vms,callers,churn,load percent`. */
fun main(args: Array<String>) {
    println("shards,vms,callers,churn,load split | offered ideal-refused wrongful % grants/request local overshoot")
    val scenarios = if (args.isEmpty()) allScenarios() else args.map { parseScenario(it) }
    scenarios.parallelStream().map { rowFor(it) }.toList().forEach { println(it) }
}

private fun allScenarios(): List<RefusalScenario> = listOf(3, 5, 9).flatMap { shards ->
    CallerPattern.entries.map { RefusalScenario(it, shardsPerTeam = shards) } +
        CallerPattern.entries.map { RefusalScenario(it, shardsPerTeam = shards, loadPercent = 70) } +
        Churn.entries.drop(1).map { RefusalScenario(CallerPattern.SHARD_HOLDERS, it, shardsPerTeam = shards) } +
        Churn.entries.drop(1).map {
            RefusalScenario(CallerPattern.SHARD_HOLDERS, it, shardsPerTeam = shards, loadPercent = 70)
        }
} + CallerPattern.entries.map { RefusalScenario(it, vmCount = 12, loadPercent = 70) } +
    listOf(70, 85).flatMap { load ->
        listOf(CallerPattern.EVERY_VM, CallerPattern.ONE_VM).map {
            RefusalScenario(it, isStaticSplit = true, loadPercent = load)
        }
    }

private fun parseScenario(text: String): RefusalScenario {
    val (shards, vms, callers, churn, load) = text.split(',')
    return RefusalScenario(
        CallerPattern.valueOf(callers),
        Churn.valueOf(churn),
        vms.toInt(),
        shards.toInt(),
        load.toInt(),
    )
}

private fun rowFor(scenario: RefusalScenario): String {
    val refusals = countRefusals(scenario, seed = 1)
    return "%d,%d,%s,%s,%d %s | %d %d %d %.3f%% %.2f %.0f%% %s".format(
        scenario.shardsPerTeam, scenario.vmCount, scenario.callers, scenario.churn, scenario.loadPercent,
        if (scenario.isStaticSplit) "static" else "shards", refusals.offered, refusals.idealRefused, refusals.wrongful,
        refusals.wrongfulPercent, refusals.grantRequests.toDouble() / refusals.offered,
        100.0 * refusals.admittedLocally / refusals.offered, refusals.overshoot ?: "0",
    )
}
