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
    test("no schedule of failures lets a team exceed its rate and burst") {
        var admittedTokens = 0L
        checkAll(PropTestConfig(seed = SEED, iterations = 3_000), Arb.long()) { seed ->
            val harness = randomSchedule(seed) { RealLimiter(it, shortSettings) }
            withClue("schedule $seed") { harness.checker.overshoot shouldBe null }
            admittedTokens += harness.checker.admittedTokens
        }
        admittedTokens shouldBeGreaterThan 0
        println("rates: 3000 schedules, seed $SEED, $admittedTokens tokens admitted, overshoot 0")
    }

    test("no schedule of failures lets a team exceed its limits while they change") {
        checkAll(PropTestConfig(seed = SEED + 1, iterations = 500), Arb.long()) { seed ->
            val harness = randomSchedule(seed, changingLimits(seed), limitsDelayMs = 700) {
                RealLimiter(it, shortSettings)
            }
            withClue("schedule $seed") { harness.checker.overshoot shouldBe null }
        }
    }

    test("the checker finds overshoot with a static split whose buckets start full after a restart") {
        firstOvershoot { NaiveStaticSplit(vmCount = 5, seatLimits) }.shouldNotBeNull()
    }

    test("the checker finds overshoot with grants of unlimited validity from one holder") {
        firstOvershoot { NaiveUnboundedGrants(it, seatLimits) }.shouldNotBeNull()
    }

    test("grants delayed in a buffer until the buckets are full again add nothing") {
        holdBackGrants { RealLimiter(it, patientSettings) }.checker.overshoot shouldBe null
    }

    test("the checker finds overshoot when holders forget grants that an asker may still use") {
        holdBackGrants { ForgottenGrants(it) }.checker.overshoot.shouldNotBeNull()
    }

    test("a holder cut off from the log and from its peers stops spending before its successor starts") {
        val harness = cutHolderFromLog(cutFromPeers = true) { RealLimiter(it, shortSettings) }
        harness.checker.overshoot shouldBe null
    }

    test("a holder cut off from the log goes on with the support of its witnesses") {
        val harness = cutHolderFromLog(cutFromPeers = false, cutMs = 3_500) { RealLimiter(it, shortSettings) }
        harness.checker.overshoot shouldBe null
        harness.checker.admittedTokens shouldBeGreaterThan seatLimits.burstTokens * 95 / 100
    }

    test("the checker finds overshoot when witnesses forget whom they support") {
        val harness = cutHolderFromLog(cutFromPeers = false, cutMs = 3_500) { ForgetfulWitness(it) }
        harness.checker.overshoot.shouldNotBeNull()
    }

    test("the checker finds overshoot when a holder cut off from the log does not notice that its term is over") {
        val harness = cutHolderFromLog(cutFromPeers = true) { EndlessTermOnFirstVm(it) }
        harness.checker.overshoot.shouldNotBeNull()
    }
}) {
    private companion object {
        const val SEED = 1L
    }
}

private val seatLimits = TeamLimits(rateTokensPerSecond = 1_000, burstTokens = 2_000)

internal val shortSettings = RateSettings(
    termMs = 1_500,
    renewIntervalMs = 300,
    longestExtensionMs = 4_500,
    grantValidityMs = 200,
    askTimeoutMs = 60,
    claimStaggerMs = 100,
    claimRetryMs = 300,
    rebalanceIntervalMs = 1_000,
    snapshotIntervalRecords = 15,
    settlementDelayMs = 30,
)

private fun firstOvershoot(createLimiter: (HolderId) -> TestedLimiter): Overshoot? = (1L..1_000L).firstNotNullOfOrNull {
    randomSchedule(it, createLimiter = createLimiter).checker.overshoot
}

/** Askers wait long for grants. */
internal val patientSettings = shortSettings.copy(grantValidityMs = 2_500, askTimeoutMs = 2_400)

/** Lets the grants of one flood arrive in the middle of the next. */
private fun holdBackGrants(createLimiter: (HolderId) -> TestedLimiter): RateHarness {
    val harness = RateHarness(
        vmCount = 5,
        random = Random(1),
        faults = Faults(),
        periods = listOf(LimitsPeriod(0, seatLimits)),
        createLimiter = createLimiter,
    )
    harness.vms.forEach { harness.start(it) }
    harness.tellLiveVms()
    harness.runUntil(3_000)
    harness.grantDelayMs = 2_200
    repeat(200) { harness.offer(harness.vms[it % harness.vmCount], tokens = 10, usedTokens = 10, holdMs = 100) }
    harness.runUntil(5_195)
    harness.grantDelayMs = 0
    repeat(500) { harness.offer(harness.vms[it % harness.vmCount], tokens = 10, usedTokens = 10, holdMs = 100) }
    harness.runUntil(8_000)
    return harness
}

/** Fills all buckets, then floods every VM with requests while the holders on the first VM cannot reach the log. */
private fun cutHolderFromLog(
    cutFromPeers: Boolean,
    cutMs: Long = 4_000,
    createLimiter: (HolderId) -> TestedLimiter,
): RateHarness {
    val harness = RateHarness(
        vmCount = 5,
        random = Random(1),
        faults = Faults(),
        periods = listOf(LimitsPeriod(0, seatLimits)),
        createLimiter = createLimiter,
    )
    harness.vms.forEach { harness.start(it) }
    harness.tellLiveVms()
    harness.runUntil(3_000)
    val cutVm = harness.vms[0]
    cutVm.isCutFromLog = true
    if (cutFromPeers) harness.vms.forEach { harness.cutPairs += setOf(cutVm.index, it.index) }
    harness.runUntil(3_000 + cutMs)
    repeat(500) { harness.offer(harness.vms[it % harness.vmCount], tokens = 10, usedTokens = 10, holdMs = 100) }
    harness.runUntil(9_000)
    return harness
}

private fun changingLimits(seed: Long): List<LimitsPeriod> {
    val random = Random(seed)
    val changed = TeamLimits(random.nextLong(0, 3_000), random.nextLong(100, 6_000))
    return listOf(LimitsPeriod(0, seatLimits), LimitsPeriod(random.nextLong(1_000, 5_000), changed))
}

/** Runs callers on all VMs at five times the rate through a random schedule of failures. */
private fun randomSchedule(
    seed: Long,
    periods: List<LimitsPeriod> = listOf(LimitsPeriod(0, seatLimits)),
    limitsDelayMs: Long = 0,
    createLimiter: (HolderId) -> TestedLimiter,
): RateHarness {
    val random = Random(seed)
    val shape = ScheduleShape(isHarsh = random.nextBoolean(), isFlooded = random.nextBoolean())
    val faults = Faults(
        lossChance = if (shape.isHarsh) random.nextDouble() * 0.2 else 0.0,
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
    harness.tellLiveVms()
    offerTimesMs(shape, random).forEach { atMs -> harness.schedule(atMs) { offerAnywhere(harness, shape, random) } }
    repeat(random.nextInt(if (shape.isHarsh) 16 else 4)) {
        harness.schedule(random.nextLong(SCHEDULE_MS)) { fail(harness, random) }
    }
    harness.runUntil(SCHEDULE_MS)
    return harness
}

private const val SCHEDULE_MS = 8_000L
private const val FLOOD_MS = 300L
private const val REQUESTS = 250

/** Harsh schedules have many failures; in others the buckets stay full enough to show a small overshoot. */
private data class ScheduleShape(val isHarsh: Boolean, val isFlooded: Boolean)

/** Either a steady flood, or quiet times that let the buckets fill between floods. */
private fun offerTimesMs(shape: ScheduleShape, random: Random): List<Long> {
    if (shape.isFlooded) return List(REQUESTS) { random.nextLong(SCHEDULE_MS) }
    val quietMs = random.nextLong(1_500, 2_500)
    return List(REQUESTS) { (1 + random.nextInt(3)) * quietMs + random.nextLong(FLOOD_MS) }
}

private fun offerAnywhere(harness: RateHarness, shape: ScheduleShape, random: Random) {
    val tokens = random.nextLong(1, if (shape.isHarsh) 320 else 100)
    val usedTokens = if (shape.isHarsh) random.nextLong(tokens + 1) else tokens
    harness.offer(harness.vms.random(random), tokens, usedTokens, holdMs = random.nextLong(2_000))
}

private fun fail(harness: RateHarness, random: Random) {
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
            harness.cutPairs += pair
            harness.schedule(durationMs) { harness.cutPairs -= pair }
        }
        4 -> {
            harness.isLogUp = false
            harness.schedule(durationMs) { harness.isLogUp = true }
        }
        5 -> {
            vm.isCutFromLog = true
            harness.schedule(durationMs) { vm.isCutFromLog = false }
        }
        else -> harness.drain(vm)
    }
}

private fun restart(harness: RateHarness, vm: RateHarness.Vm, afterMs: Long) {
    harness.kill(vm)
    harness.tellLiveVms()
    harness.schedule(afterMs) {
        if (!vm.isAlive) harness.start(vm)
        harness.tellLiveVms()
    }
}
