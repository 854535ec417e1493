package io.daisybend.serving.residency

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val SHIFT_AT_MS = 12_000L

private val patterns = listOf(
    LoadPattern("usual day"),
    LoadPattern("demand moves to other models", rankShift = { if (it < SHIFT_AT_MS) 0 else 5 }),
    LoadPattern("burst of rare models", skew = { if (it in 10_000L..20_000L) 0.3 else 1.1 }),
    LoadPattern("traffic triples", ratePerSecond = { if (it in 10_000L..20_000L) 36.0 else 12.0 }),
    LoadPattern("half of the engines are lost", enginesLost = 3),
    LoadPattern("all engines start cold", startsCold = true),
    LoadPattern("the store is away", isStoreAway = true, rankShift = { if (it < SHIFT_AT_MS) 0 else 5 }),
)

class ResidencyReplayTest : FunSpec({
    patterns.forEach { pattern ->
        test("${pattern.name}: more requests are served than by loading in turn, and no engine is overfilled") {
            val ours = (0 until 6).map { ReplayedSite(pattern, it).play(PlannedResidency(pattern)) }
            val naive = (0 until 6).map { ReplayedSite(pattern, it).play(LoadInTurn(pattern)) }
            val possible = ours.map { it.possibleShare }.average()
            val clue = "served: planner %.3f, in turn %.3f, bound %.3f; store loads: %.1f and %.1f".format(
                ours.map { it.servedShare }.average(),
                naive.map { it.servedShare }.average(),
                possible,
                ours.map { it.storeLoads }.average(),
                naive.map { it.storeLoads }.average(),
            )
            println("replay of \"${pattern.name}\": $clue")
            withClue(clue) {
                ours.none { it.overfilled } shouldBe true
                ours.map { it.servedShare }.average() shouldBeGreaterThan naive.map { it.servedShare }.average()
            }
        }
    }
})
