package io.daisybend.serving.rates

import io.daisybend.serving.site.team
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val RATE = 40_000.0
private const val BURST = 70_000.0
private const val WINDOW_MS = 8_000L
private const val SLACK = 110_000.0
private const val OVERAGE = 0.1
private const val REPORT_MS = 250L

/** A fleet whose VMs share one team's rate by reports; links between VMs are cut for spans of time. */
private class RateFleet(private val random: Random, private val vmCount: Int, private val naive: Boolean) {
    private val team = team("red", "k", rate = RATE, burst = BURST)
    private val urgent = HashSet<Int>()
    private val limits =
        List(vmCount) { vm -> TeamRateLimiter { urgent.add(vm) }.also { it.configure(listOf(team), 0) } }
    private val heardAtMs = List(vmCount) { LongArray(vmCount) { 0L } }
    private val cutUntilMs = List(vmCount) { LongArray(vmCount) }
    private val admitted = ArrayList<Pair<Long, Double>>()

    /** Plays [durationMs] of a team that asks for [demandFactor] times its rate; returns the most in a window. */
    fun play(durationMs: Long, demandFactor: Double): Double {
        var nowMs = 0L
        if (!naive) limits.forEach { it.setFleet(vmCount, 0.0, 0) }
        while (nowMs < durationMs) {
            nowMs += 10
            if (random.nextInt(80) == 0) cutSomeLinks(nowMs)
            if (!naive) urgent.forEach { report(it, nowMs) }
            urgent.clear()
            if (nowMs % REPORT_MS == 0L) (0 until vmCount).forEach { report(it, nowMs) }
            if (!naive) countSilent(nowMs)
            ask(nowMs, demandFactor)
        }
        return admitted.indices.maxOfOrNull { end -> windowEndingAt(end) } ?: 0.0
    }

    private fun ask(nowMs: Long, demandFactor: Double) {
        var tokens = RATE * demandFactor * 0.01
        while (tokens > 0) {
            val cost = random.nextLong(200, 12_000)
            val vm = random.nextInt(vmCount)
            if (limits[vm].admit(team, cost, nowMs) is RateDecision.Admitted) admitted.add(nowMs to cost.toDouble())
            tokens -= cost
        }
    }

    private fun cutSomeLinks(nowMs: Long) {
        val island = (0 until vmCount).filter { random.nextInt(3) == 0 }
        val untilMs = nowMs + random.nextLong(500, 9_000)
        for (a in 0 until vmCount) {
            for (b in 0 until vmCount) {
                if ((a in island) != (b in island)) cutUntilMs[a][b] = untilMs
            }
        }
    }

    private fun report(from: Int, nowMs: Long) {
        val report = limits[from].report()
        for (to in 0 until vmCount) {
            if (from == to || cutUntilMs[from][to] > nowMs) continue
            limits[to].onPeerUsage("vm-$from", 1, report, peerIsOlder = false, nowMs)
            heardAtMs[to][from] = nowMs
        }
    }

    private fun countSilent(nowMs: Long) {
        for (vm in 0 until vmCount) {
            val silent = (0 until vmCount).count { it != vm && nowMs - heardAtMs[vm][it] > 800 }
            limits[vm].setFleet(vmCount, silent / vmCount.toDouble(), nowMs)
        }
    }

    private fun windowEndingAt(end: Int): Double {
        val from = admitted[end].first - WINDOW_MS
        var sum = 0.0
        var index = end
        while (index >= 0 && admitted[index].first > from) sum += admitted[index--].second
        return sum
    }
}

class TeamRateLimiterTest : FunSpec({
    val allowed = (RATE * WINDOW_MS / 1_000 + BURST) * (1 + OVERAGE) + SLACK

    fun overshoots(naive: Boolean, seeds: Int): Int = (0 until seeds).count { seed ->
        val random = Random(seed)
        RateFleet(
            random,
            vmCount = random.nextInt(2, 12),
            naive,
        ).play(30_000, demandFactor = random.nextDouble(2.0, 9.0)) >
            allowed
    }

    test("all VMs together stay within the team's rate in 150 schedules of cuts at two to nine times the rate") {
        overshoots(naive = false, seeds = 150) shouldBe 0
    }

    test("a naive limiter that forgets silent peers is caught by the same check") {
        overshoots(naive = true, seeds = 40) shouldBeGreaterThan 0
    }

    test("what did not run is given back") {
        val limits = TeamRateLimiter()
        val red = team("red", "k", rate = 1_000.0, burst = 4_000.0)
        limits.configure(listOf(red), 0)
        val first = limits.admit(red, 1_000, 0) as RateDecision.Admitted
        (limits.admit(red, 10, 0) is RateDecision.OverRate) shouldBe true
        limits.refund("red", first.cost)
        (limits.admit(red, 10, 0) is RateDecision.Admitted) shouldBe true
    }

    test("a team over its rate is told when something is left") {
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
