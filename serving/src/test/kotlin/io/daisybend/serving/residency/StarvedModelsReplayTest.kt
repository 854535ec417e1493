package io.daisybend.serving.residency

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class StarvedModelsReplayTest : FunSpec({
    (0 until 3).forEach { seed ->
        test("loads that fill the weight store do not starve models whose only copies are lost, seed $seed") {
            val result = siteThatLosesCopies(seed).replay(PlannedResidency(largeSpec))
            val clue = "served %.3f (bound %.3f), %d store loads, %d at once; never served: %d of %d, %s".format(
                result.servedShare,
                result.possibleShare,
                result.storeLoads,
                result.mostStoreLoadsUnderWay,
                result.neverServed.size,
                result.askedThroughout.size,
                result.neverServed,
            )
            println("replay of lost copies, seed $seed: $clue")
            withClue(clue) {
                result.isOverfilled shouldBe false
                result.neverServed.size shouldBeLessThanOrEqual 1 + result.askedThroughout.size / 10
            }
        }
    }
})
