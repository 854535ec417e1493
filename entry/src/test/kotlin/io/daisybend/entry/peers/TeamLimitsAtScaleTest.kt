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
    test("diagnosis") {
        val none: (FleetContact) -> FleetContact = { it }
        for (burst in listOf(70_000.0, 564_731.0)) for (restart in listOf(0L, 2_000L)) for (loss in listOf(0, 5)) {
            for ((name, adjust) in listOf<Pair<String, (FleetContact) -> FleetContact>>(
                "as is" to none,
                "no withdrawal" to { it.copy(lostShare = 0.0) },
                "no reserve" to { it.copy(unreachableShare = 0.0) },
                "neither" to { it.copy(lostShare = 0.0, unreachableShare = 0.0) },
            )) {
                print("burst $burst restart $restart loss $loss $name", LimiterFleet(1, burst = burst, restartEveryMs = restart, lossPercent = loss, adjustContact = adjust).run(60_000, 10_000))
            }
        }
    }
})
