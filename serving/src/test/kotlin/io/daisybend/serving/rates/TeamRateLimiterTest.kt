package io.daisybend.serving.rates

import io.daisybend.serving.site.team
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val RATE_PER_SECOND = 40_000.0
private const val BURST_TOKENS = 70_000.0
private const val WINDOW_MS = 8_000L
private const val SLACK_TOKENS = 110_000.0
private const val OVERAGE_RATIO = 0.1

/** The prompt tokens that the engines of a large site process in a second; a team can't use more. */
private const val MAX_DEMAND_PER_SECOND = 2_400_000.0

/** Times of the reports in a fleet. */
private class ReportTimes(val intervalMs: Long, val earlyPauseMs: Long, val mutualTimeoutMs: Long)

private val smallFleetTimes = ReportTimes(intervalMs = 250, earlyPauseMs = 10, mutualTimeoutMs = 800)

/** The times in a fleet of 88 VMs with links of 7 Mbit/s. */
private val largeFleetTimes = ReportTimes(intervalMs = 880, earlyPauseMs = 230, mutualTimeoutMs = 2_060)

/** Simulates VMs that share the rate of one team by reports, while links between them are cut for a time. */
private class SimulatedFleet(
    private val random: Random,
    private val vmCount: Int,
    private val isNaive: Boolean,
    private val times: ReportTimes = smallFleetTimes,
    private val lossPercent: Int = 0,
    private val cutIntervalMs: Int = 800,
    private val ratePerSecond: Double = RATE_PER_SECOND,
    burst: Double = BURST_TOKENS,
) {
    private val team = team("red", "k", rate = ratePerSecond, burst = burst)
    private val earlyReports = HashSet<Int>()
    private val lastReportsMs = LongArray(vmCount)
    private val limits =
        List(vmCount) { vm ->
            TeamRateLimiter(Random(vm)) { earlyReports.add(vm) }.also { it.configure(listOf(team), 0) }
        }
    private val reportedAtMs = List(vmCount) { LongArray(vmCount) { 0L } }
    private val cutUntilMs = List(vmCount) { LongArray(vmCount) }
    private val admitted = ArrayList<Pair<Long, Double>>()

    /**
     * Simulates [durationMs] of a team that requests [demandFactor] times its rate. Returns the largest number of
     * tokens admitted in a window.
     */
    fun simulate(durationMs: Long, demandFactor: Double): Double {
        var nowMs = 0L
        if (!isNaive) limits.forEach { it.setContact(FleetContact(vmCount), 0) }
        (0 until vmCount).forEach { report(it, nowMs) }
        while (nowMs < durationMs) {
            nowMs += 10
            if (random.nextInt(cutIntervalMs / 10) == 0) cutRandomLinks(nowMs)
            val dueEarly = earlyReports.filter { nowMs - lastReportsMs[it] >= times.earlyPauseMs }
            if (!isNaive) dueEarly.forEach { report(it, nowMs) }
            earlyReports.removeAll(dueEarly.toSet())
            (0 until vmCount).filter { nowMs - lastReportsMs[it] >= times.intervalMs }.forEach { report(it, nowMs) }
            if (!isNaive) updateReachability(nowMs)
            sendRequests(nowMs, demandFactor)
        }
        return admitted.indices.maxOfOrNull { end -> admittedInWindowEndingAt(end) } ?: 0.0
    }

    private fun sendRequests(nowMs: Long, demandFactor: Double) {
        var tokens = ratePerSecond * demandFactor * 0.01
        while (tokens > 0) {
            val cost = random.nextLong(200, 12_000)
            val vm = random.nextInt(vmCount)
            if (limits[vm].admit(team, cost, nowMs) is RateDecision.Admitted) admitted.add(nowMs to cost.toDouble())
            tokens -= cost
        }
    }

    private fun cutRandomLinks(nowMs: Long) {
        val partition = (0 until vmCount).filter { random.nextInt(3) == 0 }
        val untilMs = nowMs + random.nextLong(500, 9_000)
        for (a in 0 until vmCount) {
            for (b in 0 until vmCount) {
                if ((a in partition) != (b in partition)) cutUntilMs[a][b] = untilMs
            }
        }
    }

    private fun report(from: Int, nowMs: Long) {
        lastReportsMs[from] = nowMs
        val changes = limits[from].reportChanges()
        for (to in 0 until vmCount) {
            if (from == to || cutUntilMs[from][to] > nowMs || random.nextInt(100) < lossPercent) continue
            val wasReachable = nowMs - reportedAtMs[to][from] <= times.mutualTimeoutMs
            val report = if (wasReachable || isNaive) changes else limits[from].usage()
            limits[to].onPeerUsage("vm-$from", 1, report, isPeerOlder = false, nowMs)
            reportedAtMs[to][from] = nowMs
        }
    }

    private fun updateReachability(nowMs: Long) {
        for (vm in 0 until vmCount) {
            val unreachable = (0 until vmCount)
                .filter { it != vm && nowMs - reportedAtMs[vm][it] > times.mutualTimeoutMs }
                .mapTo(HashSet()) { "vm-$it" }
            val share = unreachable.size / vmCount.toDouble()
            val contact = FleetContact(vmCount, share, share, times.mutualTimeoutMs, unreachable, lostVms = unreachable)
            limits[vm].setContact(contact, nowMs)
        }
    }

    private fun admittedInWindowEndingAt(end: Int): Double {
        val from = admitted[end].first - WINDOW_MS
        var sum = 0.0
        var index = end
        while (index >= 0 && admitted[index].first > from) sum += admitted[index--].second
        return sum
    }
}

class TeamRateLimiterTest : FunSpec({
    val allowed = (RATE_PER_SECOND * WINDOW_MS / 1_000 + BURST_TOKENS) * (1 + OVERAGE_RATIO) + SLACK_TOKENS

    fun countOvershoots(isNaive: Boolean, seeds: Int): Int = (0 until seeds).count { seed ->
        val random = Random(seed)
        SimulatedFleet(
            random,
            vmCount = random.nextInt(2, 12),
            isNaive,
        ).simulate(30_000, demandFactor = random.nextDouble(2.0, 9.0)) >
            allowed
    }

    test("all VMs together stay within the rate in 150 schedules of cut links at two to nine times the rate") {
        countOvershoots(isNaive = false, seeds = 150) shouldBe 0
    }

    test("88 VMs whose reports are slow and sometimes lost stay within the rates of small and of large teams") {
        (0 until 12).count { seed ->
            val random = Random(seed)
            val rate = listOf(40_000.0, 100_000.0, 300_000.0)[seed % 3]
            val fleet = SimulatedFleet(
                random,
                vmCount = 88,
                isNaive = false,
                times = largeFleetTimes,
                lossPercent = 2,
                cutIntervalMs = 10_000,
                ratePerSecond = rate,
                burst = maxOf(rate, BURST_TOKENS),
            )
            val allowedTokens =
                (rate * WINDOW_MS / 1_000 + maxOf(rate, BURST_TOKENS)) * (1 + OVERAGE_RATIO) + SLACK_TOKENS
            val factor = random.nextDouble(2.0, minOf(9.0, MAX_DEMAND_PER_SECOND / rate))
            fleet.simulate(15_000, demandFactor = factor) > allowedTokens
        } shouldBe 0
    }

    test("a team of which a peer had reported nothing yet is not charged for what the peer admitted before") {
        val limits = TeamRateLimiter()
        val red = team("red", "k", rate = 1_000.0, burst = 4_000.0)
        limits.configure(listOf(red), 0)
        limits.onPeerUsage("vm-2", 1, mapOf("blue" to BucketUse(9_000.0, 0.0)), isPeerOlder = false, nowMs = 0)
        limits.onPeerUsage("vm-2", 1, mapOf("red" to BucketUse(9_000.0, 0.0)), isPeerOlder = false, nowMs = 0)
        (limits.admit(red, 10, 0) is RateDecision.Admitted) shouldBe true
        limits.onPeerUsage("vm-2", 1, mapOf("red" to BucketUse(12_000.0, 0.0)), isPeerOlder = false, nowMs = 0)
        (limits.admit(red, 10, 0) is RateDecision.Admitted) shouldBe false
    }

    test("a change of a team's use is in several reports, and an unchanged use is not") {
        val limits = TeamRateLimiter()
        val red = team("red", "k", rate = 1_000.0, burst = 4_000.0)
        limits.configure(listOf(red), 0)
        repeat(5) { limits.reportChanges() }
        limits.reportChanges() shouldBe emptyMap()
        limits.admit(red, 100, 0)
        repeat(3) { limits.reportChanges().getValue("red").admitted shouldBe 100.0 }
        limits.reportChanges() shouldBe emptyMap()
    }

    test("the same check detects a naive limiter that ignores unreachable peers") {
        countOvershoots(isNaive = true, seeds = 40) shouldBeGreaterThan 0
    }

    test("the cost of a request that did not run is refunded") {
        val limits = TeamRateLimiter()
        val red = team("red", "k", rate = 1_000.0, burst = 4_000.0)
        limits.configure(listOf(red), 0)
        val first = limits.admit(red, 1_000, 0) as RateDecision.Admitted
        (limits.admit(red, 10, 0) is RateDecision.OverRate) shouldBe true
        limits.refund("red", first.cost)
        (limits.admit(red, 10, 0) is RateDecision.Admitted) shouldBe true
    }

    test("a team over its rate learns when it may send again") {
        val limits = TeamRateLimiter()
        val red = team("red", "k", rate = 1_000.0, burst = 4_000.0)
        limits.configure(listOf(red), 0)
        limits.admit(red, 3_000, 0)
        limits.admit(red, 10, 0) shouldBe RateDecision.OverRate(2_001)
        (limits.admit(red, 10, 2_010) is RateDecision.Admitted) shouldBe true
    }

    test("a team without a rate is not limited") {
        val limits = TeamRateLimiter()
        val free = team("free", "k")
        limits.configure(listOf(free), 0)
        limits.admit(free, 1_000_000, 0) shouldBe RateDecision.Admitted(0.0)
    }
})
