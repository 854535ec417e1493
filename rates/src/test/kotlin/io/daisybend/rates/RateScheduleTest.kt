package io.daisybend.rates

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

class RateScheduleTest : FunSpec({
    test("a team does not exceed its rate and burst under random failures") {
        var admittedTokens = 0L
        checkAll(PropTestConfig(seed = SEED, iterations = 3_000), Arb.long()) { seed ->
            val harness = randomSchedule(seed) { ProductionLimiter(it, shortSettings) }
            withClue("schedule $seed") { harness.checker.overshoot shouldBe null }
            admittedTokens += harness.checker.admittedTokens
        }
        admittedTokens shouldBeGreaterThan 0
        println("rates: 3000 schedules, seed $SEED, $admittedTokens tokens admitted, overshoot 0")
    }

    test("a team does not exceed its limits under random failures while the limits change") {
        checkAll(PropTestConfig(seed = SEED + 1, iterations = 500), Arb.long()) { seed ->
            val harness = randomSchedule(seed, changingLimits(seed), limitsDelayMs = 700) {
                ProductionLimiter(it, shortSettings)
            }
            withClue("schedule $seed") { harness.checker.overshoot shouldBe null }
        }
    }

    test("the checker finds overshoot with a static split whose buckets start full after a restart") {
        firstOvershoot { NaiveStaticSplit(vmCount = 5, shardLimits) }.shouldNotBeNull()
    }

    test("the checker finds overshoot with grants that never expire from one holder") {
        firstOvershoot { NaiveGrantsWithoutExpiry(it, shardLimits) }.shouldNotBeNull()
    }

    test("grants that are delayed until the buckets are full again cause no overshoot") {
        delayGrants { ProductionLimiter(it, longGrantSettings) }.checker.overshoot shouldBe null
    }

    test("the checker finds overshoot when holders forget grants that a requester may still use") {
        delayGrants { GrantForgettingLimiter(it) }.checker.overshoot.shouldNotBeNull()
    }

    test("a holder cut off from the log and its peers stops spending before its successor starts") {
        val harness = isolateHolder(cutsOffPeers = true) { ProductionLimiter(it, shortSettings) }
        harness.checker.overshoot shouldBe null
    }

    test("a holder cut off from the log keeps its lease with the support of its witnesses") {
        val harness = isolateHolder(cutsOffPeers = false, cutOffMs = 3_500) { ProductionLimiter(it, shortSettings) }
        harness.checker.overshoot shouldBe null
        harness.checker.admittedTokens shouldBeGreaterThan shardLimits.burstTokens * 95 / 100
    }

    test("the checker finds overshoot when witnesses do not remember which holders they support") {
        val harness = isolateHolder(cutsOffPeers = false, cutOffMs = 3_500) { SupportForgettingLimiter(it) }
        harness.checker.overshoot.shouldNotBeNull()
    }

    test("the checker finds overshoot when the lease of a holder cut off from the log does not end") {
        val harness = isolateHolder(cutsOffPeers = true) { EndlessLeaseLimiter(it) }
        harness.checker.overshoot.shouldNotBeNull()
    }
}) {
    private companion object {
        const val SEED = 1L
    }
}

private val shardLimits = TeamLimits(rateTokensPerSecond = 1_000, burstTokens = 2_000)

internal val shortSettings = RateSettings(
    leaseDurationMs = 1_500,
    renewIntervalMs = 300,
    maxExtensionMs = 4_500,
    grantValidityMs = 200,
    grantRequestTimeoutMs = 60,
    claimStaggerMs = 100,
    claimRetryMs = 300,
    rebalanceIntervalMs = 1_000,
    snapshotIntervalRecords = 15,
    settlementDelayMs = 30,
)

private fun firstOvershoot(createLimiter: (HolderId) -> TestedLimiter): Overshoot? = (1L..1_000L).firstNotNullOfOrNull {
    randomSchedule(it, createLimiter = createLimiter).checker.overshoot
}

/** Settings with which requesters wait long for grants. */
internal val longGrantSettings = shortSettings.copy(grantValidityMs = 2_500, grantRequestTimeoutMs = 2_400)

/** Delays the grants of one burst of requests so that they arrive during the next burst. */
private fun delayGrants(createLimiter: (HolderId) -> TestedLimiter): RateHarness {
    val harness = RateHarness(
        vmCount = 5,
        random = Random(1),
        faults = Faults(),
        periods = listOf(LimitsPeriod(0, shardLimits)),
        createLimiter = createLimiter,
    )
    harness.vms.forEach { harness.start(it) }
    harness.announceLiveVms()
    harness.runUntil(3_000)
    harness.grantDelayMs = 2_200
    repeat(200) { harness.offer(harness.vms[it % harness.vmCount], tokens = 10, usedTokens = 10, holdMs = 100) }
    harness.runUntil(5_195)
    harness.grantDelayMs = 0
    repeat(500) { harness.offer(harness.vms[it % harness.vmCount], tokens = 10, usedTokens = 10, holdMs = 100) }
    harness.runUntil(8_000)
    return harness
}

/** Fills all buckets, then sends a burst of requests to every VM while the first VM is cut off from the log. */
private fun isolateHolder(
    cutsOffPeers: Boolean,
    cutOffMs: Long = 4_000,
    createLimiter: (HolderId) -> TestedLimiter,
): RateHarness {
    val harness = RateHarness(
        vmCount = 5,
        random = Random(1),
        faults = Faults(),
        periods = listOf(LimitsPeriod(0, shardLimits)),
        createLimiter = createLimiter,
    )
    harness.vms.forEach { harness.start(it) }
    harness.announceLiveVms()
    harness.runUntil(3_000)
    val isolatedVm = harness.vms[0]
    isolatedVm.isCutOffFromLog = true
    if (cutsOffPeers) harness.vms.forEach { harness.partitionedPairs += setOf(isolatedVm.index, it.index) }
    harness.runUntil(3_000 + cutOffMs)
    repeat(500) { harness.offer(harness.vms[it % harness.vmCount], tokens = 10, usedTokens = 10, holdMs = 100) }
    harness.runUntil(9_000)
    return harness
}

private fun changingLimits(seed: Long): List<LimitsPeriod> {
    val random = Random(seed)
    val changed = TeamLimits(random.nextLong(0, 3_000), random.nextLong(100, 6_000))
    return listOf(LimitsPeriod(0, shardLimits), LimitsPeriod(random.nextLong(1_000, 5_000), changed))
}

/**
 * Runs requests on random VMs through a random schedule of failures. Schedules with many failures request about five
 * times the rate.
 */
private fun randomSchedule(
    seed: Long,
    periods: List<LimitsPeriod> = listOf(LimitsPeriod(0, shardLimits)),
    limitsDelayMs: Long = 0,
    createLimiter: (HolderId) -> TestedLimiter,
): RateHarness {
    val random = Random(seed)
    val shape = ScheduleShape(hasManyFailures = random.nextBoolean(), hasSteadyLoad = random.nextBoolean())
    val faults = Faults(
        lossChance = if (shape.hasManyFailures) random.nextDouble() * 0.2 else 0.0,
        duplicateChance = random.nextDouble() * 0.2,
        longDelayChance = random.nextDouble() * 0.2,
        longDelayMs = 3_000,
        maxDelayMs = 10,
        maxClockOffsetMs = 100_000,
        maxDriftPerMille = 0.5,
    )
    val harness = RateHarness(
        vmCount = 5,
        random = random,
        faults = faults,
        periods = periods,
        limitsDelayMs = limitsDelayMs,
        keptRecords = if (random.nextBoolean()) 60 else Int.MAX_VALUE,
        createLimiter = createLimiter,
    )
    harness.vms.forEach { harness.start(it) }
    harness.announceLiveVms()
    offerTimesMs(shape, random).forEach { atMs -> harness.schedule(atMs) { offerAtRandomVm(harness, shape, random) } }
    repeat(random.nextInt(if (shape.hasManyFailures) 16 else 4)) {
        harness.schedule(random.nextLong(SCHEDULE_MS)) { injectFailure(harness, random) }
    }
    harness.runUntil(SCHEDULE_MS)
    return harness
}

private const val SCHEDULE_MS = 8_000L
private const val BURST_MS = 300L
private const val REQUESTS = 250

/** The shape of a schedule; with few failures the buckets stay full enough to reveal a small overshoot. */
private data class ScheduleShape(val hasManyFailures: Boolean, val hasSteadyLoad: Boolean)

/** Returns times of a steady load, or of bursts between which the buckets can fill. */
private fun offerTimesMs(shape: ScheduleShape, random: Random): List<Long> {
    if (shape.hasSteadyLoad) return List(REQUESTS) { random.nextLong(SCHEDULE_MS) }
    val idleMs = random.nextLong(1_500, 2_500)
    return List(REQUESTS) { (1 + random.nextInt(3)) * idleMs + random.nextLong(BURST_MS) }
}

private fun offerAtRandomVm(harness: RateHarness, shape: ScheduleShape, random: Random) {
    val tokens = random.nextLong(1, if (shape.hasManyFailures) 320 else 100)
    val usedTokens = if (shape.hasManyFailures) random.nextLong(tokens + 1) else tokens
    harness.offer(harness.vms.random(random), tokens, usedTokens, holdMs = random.nextLong(2_000))
}

private fun injectFailure(harness: RateHarness, random: Random) {
    val vm = harness.vms.random(random)
    val durationMs = random.nextLong(4_000)
    when (random.nextInt(7)) {
        0 -> restart(harness, vm, durationMs)
        1, 2 -> {
            harness.pause(vm)
            harness.schedule(durationMs) { harness.resume(vm) }
        }
        3 -> {
            val pair = setOf(vm.index, random.nextInt(harness.vmCount))
            harness.partitionedPairs += pair
            harness.schedule(durationMs) { harness.partitionedPairs -= pair }
        }
        4 -> {
            harness.isLogUp = false
            harness.schedule(durationMs) { harness.isLogUp = true }
        }
        5 -> {
            vm.isCutOffFromLog = true
            harness.schedule(durationMs) { vm.isCutOffFromLog = false }
        }
        else -> harness.drain(vm)
    }
}

private fun restart(harness: RateHarness, vm: RateHarness.Vm, afterMs: Long) {
    harness.kill(vm)
    harness.announceLiveVms()
    harness.schedule(afterMs) {
        if (!vm.isAlive) harness.start(vm)
        harness.announceLiveVms()
    }
}
