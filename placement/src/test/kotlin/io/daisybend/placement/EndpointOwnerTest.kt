package io.daisybend.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.checkAll

private const val SCHEDULE_COUNT = 3_000

class EndpointOwnerTest : FunSpec({
    val seeds: Arb<Long> = arbitrary { it.random.nextLong() }

    listOf(true, false).forEach { checksFencing ->
        val kind = if (checksFencing) "check" else "ignore"

        test("engines that $kind fencing numbers load only decided artifacts that fit, in every schedule") {
            val counters = SimulationCounters()
            checkAll(PropTestConfig(seed = 1L, iterations = SCHEDULE_COUNT), seeds) { seed ->
                PlacementSimulation(seed, checksFencing, counters).run(steps = 1_500)
            }
            println("seed 1, $SCHEDULE_COUNT schedules, engines $kind fencing numbers: $counters")
            counters.loads shouldBeGreaterThan SCHEDULE_COUNT
            counters.takeovers shouldBeGreaterThan SCHEDULE_COUNT
            counters.lateOrders shouldBeGreaterThan 100
        }

        test("without protection, the checker finds undecided replicas at engines that $kind fencing numbers") {
            val violated = (1L..SCHEDULE_COUNT.toLong()).count { seed ->
                val simulation = PlacementSimulation(seed, checksFencing, isUnprotected = true)
                runCatching { simulation.run(steps = 1_500) }.exceptionOrNull() is InvariantViolation
            }
            println("seeds 1 to $SCHEDULE_COUNT, unprotected, engines $kind fencing numbers: $violated violated")
            violated shouldBeGreaterThan 0
        }

        test("after the last fault, engines that $kind fencing numbers load a wanted model in bounded time") {
            val steps = mutableListOf<Int>()
            checkAll(PropTestConfig(seed = 2L, iterations = 500), seeds) { seed ->
                val simulation = PlacementSimulation(seed, checksFencing)
                simulation.run(steps = 600)
                steps += simulation.stepsUntilLoaded(limit = 5_000).shouldNotBeNull()
            }
            println("seed 2, 500 schedules, engines $kind fencing numbers: at most ${steps.max()} steps to load")
        }

        test("with a naive lease, the checker finds overcommitted memory at engines that $kind fencing numbers") {
            val violations =
                (1L..200L).mapNotNull { NaiveLeaseSimulation(it, checksFencing).firstViolation(steps = 1_500) }
            val overcommitted = violations.count { "bytes" in it }
            println("seeds 1 to 200, naive lease, engines $kind fencing numbers: $overcommitted overcommitted")
            overcommitted shouldBeGreaterThan 0
        }
    }
})
