package io.daisybend.entry.peers

import io.daisybend.serving.rates.FleetContact
import io.kotest.core.spec.style.FunSpec

class TeamLimitsAtScaleTest : FunSpec({
    fun print(name: String, fleet: LimiterFleet) {
        val errors = fleet.errors().sorted()
        println(
            "R $name: rejected %.4f (truth %.4f) vms %d max/vm %d window %.3f err min %.0f p10 %.0f p50 %.0f p90 %.0f max %.0f retry %s".format(
                fleet.rejectedShare, fleet.rejectedAtTruth / fleet.requestCount.toDouble(),
                fleet.rejectedByVm.count { it > 0 }, fleet.rejectedByVm.max(),
                fleet.largestWindowShare(), errors.first(), errors[errors.size / 10], errors[errors.size / 2],
                errors[errors.size * 9 / 10], errors.last(),
                fleet.retryAfterMs.sorted().let { r -> listOf(10, 50, 90).map { r.getOrNull(r.size * it / 100) } },
            ),
        )
    }
    fun slot(vm: Int, slot: Long) = ((vm * 7919L + slot * 104_729L) * 2_654_435_761L ushr 7) and 0xffff

    test("diagnosis") {
        for (burst in listOf(70_000.0, 564_731.0)) {
            print("plain $burst", LimiterFleet(1, burst = burst, restartEveryMs = 2_000).run(60_000, 10_000))
            print("freeze 2 s", LimiterFleet(1, burst = burst, restartEveryMs = 2_000, isFrozen = { vm, now -> slot(vm, now / 2_000) < 13_107 }).run(50_000, 10_000))
            print("domain cut", LimiterFleet(1, burst = burst, restartEveryMs = 2_000, canReach = { a, b, now -> now % 20_000 > 5_000 || (a < 25) == (b < 25) }).run(60_000, 10_000))
            print("peak", LimiterFleet(1, burst = burst, restartEveryMs = 2_000, loadFactor = { if (it % 20_000 in 12_000..15_000) 2.0 else 0.8 }).run(50_000, 10_000))
            for (load in listOf(1.5, 7.5)) {
                print("steady load $load", LimiterFleet(1, burst = burst, restartEveryMs = 2_000, loadFactor = { load }).run(20_000, 10_000))
                print("sudden load $load", LimiterFleet(1, burst = burst, restartEveryMs = 2_000, loadFactor = { if (it < 15_000) 0.1 else load }).run(26_000, 10_000))
                print("halves load $load", LimiterFleet(1, burst = burst, loadFactor = { if (it < 8_000) 0.3 else load }, canReach = { a, b, now -> now !in 5_000..25_000 || (a < 37) == (b < 37) }).run(36_000, 8_000))
                print("singles load $load", LimiterFleet(1, burst = burst, loadFactor = { if (it < 23_000) 0.3 else load }, canReach = { a, b, now -> now !in 5_000..25_000 }).run(36_000, 8_000))
                print("all restart load $load", LimiterFleet(1, burst = burst, loadFactor = { load }, restartsAll = { it == 6_000L }).run(20_000, 8_000))
                print("frozen load $load", LimiterFleet(1, burst = burst, loadFactor = { load }, isFrozen = { vm, now -> vm % 8 == 0 && now in 6_000..9_000 }).run(20_000, 8_000))
            }
        }
    }
})
