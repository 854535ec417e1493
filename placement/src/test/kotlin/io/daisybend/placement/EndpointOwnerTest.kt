package io.daisybend.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.checkAll

private const val SCHEDULES = 3_000

class EndpointOwnerTest : FunSpec({
    val seeds: Arb<Long> = arbitrary { it.random.nextLong() }

    listOf(true, false).forEach { checksFencing ->
        val kind = if (checksFencing) "check" else "ignore"

        test("engines that $kind fencing numbers load only what was decided and what fits, in every schedule") {
            val counters = WorldCounters()
            checkAll(PropTestConfig(seed = 1L, iterations = SCHEDULES), seeds) { seed ->
                PlacementWorld(seed, checksFencing, counters).run(steps = 1_500)
            }
            println("seed 1, $SCHEDULES schedules, engines $kind fencing numbers: $counters")
            counters.loads shouldBeGreaterThan SCHEDULES
            counters.takeovers shouldBeGreaterThan SCHEDULES
            counters.lateOrders shouldBeGreaterThan 100
        }

        test("the checker finds undecided replicas at engines that $kind fencing numbers with the protection off") {
            val found = (1L..SCHEDULES.toLong()).count { seed ->
                val world = PlacementWorld(seed, checksFencing, protectionOff = true)
                runCatching { world.run(steps = 1_500) }.exceptionOrNull() is InvariantViolation
            }
            println("seeds 1 to $SCHEDULES, protection off, engines $kind fencing numbers: $found schedules violated")
            found shouldBeGreaterThan 0
        }

        test("after faults end, engines that $kind fencing numbers load a wanted model within a bounded time") {
            val steps = mutableListOf<Int>()
            checkAll(PropTestConfig(seed = 2L, iterations = 500), seeds) { seed ->
                val world = PlacementWorld(seed, checksFencing)
                world.run(steps = 600)
                steps += world.stepsUntilLoaded(limit = 5_000).shouldNotBeNull()
            }
            println("seed 2, 500 schedules, engines $kind fencing numbers: steps to load, worst ${steps.max()}")
        }

        test("the checker finds overcommitted memory with a naive lease at engines that $kind fencing numbers") {
            val violations = (1L..200L).mapNotNull { NaiveLeaseWorld(it, checksFencing).firstViolation(steps = 1_500) }
            val overcommitted = violations.count { "bytes" in it }
            println("seeds 1 to 200, naive lease, engines $kind fencing numbers: $overcommitted overcommitted")
            overcommitted shouldBeGreaterThan 0
        }
    }
})
