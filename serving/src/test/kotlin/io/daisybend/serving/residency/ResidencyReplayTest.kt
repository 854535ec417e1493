package io.daisybend.serving.residency

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val DEMAND_SHIFT_AT_MS = 12_000L

private val patterns = listOf(
    ReplayPattern("steady demand"),
    ReplayPattern("demand shifts to other models", rankShift = { if (it < DEMAND_SHIFT_AT_MS) 0 else 5 }),
    ReplayPattern("burst of rare models", skew = { if (it in 10_000L..20_000L) 0.3 else 1.1 }),
    ReplayPattern("request rate triples", ratePerSecond = { if (it in 10_000L..20_000L) 36.0 else 12.0 }),
    ReplayPattern("half of the engines are lost", enginesLost = 3),
    ReplayPattern("all engines start without models", startsWithoutModels = true),
    ReplayPattern(
        "the store is unavailable",
        isStoreUnavailable = true,
        rankShift = { if (it < DEMAND_SHIFT_AT_MS) 0 else 5 },
    ),
)

private fun planned(pattern: ReplayPattern) = PlannedResidency(replaySpec, pattern.isStoreUnavailable)

class ResidencyReplayTest : FunSpec({
    patterns.forEach { pattern ->
        test("${pattern.name}: the planner serves more requests than round-robin loading and overfills no engine") {
            val planned = (0 until 6).map { replayedSite(pattern, it).replay(planned(pattern)) }
            val roundRobin = (0 until 6).map { replayedSite(pattern, it).replay(RoundRobinResidency(pattern)) }
            val bound = planned.map { it.possibleShare }.average()
            val clue = "served: planner %.3f, round-robin %.3f, bound %.3f; store loads: %.1f and %.1f".format(
                planned.map { it.servedShare }.average(),
                roundRobin.map { it.servedShare }.average(),
                bound,
                planned.map { it.storeLoads }.average(),
                roundRobin.map { it.storeLoads }.average(),
            )
            println("replay of \"${pattern.name}\": $clue")
            withClue(clue) {
                planned.none { it.isOverfilled } shouldBe true
                planned.map { it.servedShare }.average() shouldBeGreaterThan roundRobin.map { it.servedShare }.average()
            }
        }
    }
})
