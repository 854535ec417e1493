package io.daisybend.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val STEPS = 400
private const val RAN_TWICE = "ran 2 times"
private const val UNTRUE_NOT_RUN = "untrue 'not run'"

class AtMostOnceTest : FunSpec({
    val sound = { incarnation: GatewayIncarnation, random: Random ->
        Gateway(IdempotentExecutor(incarnation, random = random)::handle)
    }
    val shortRetention = ScheduleLimits(
        keyRetentionMs = 30_000L,
        logRetentionMs = 6_000L,
        checkpointIntervalMs = 1_500L,
        retryWindowMs = 26_000L,
    )

    test("no request runs twice, every answer is true, and every key is settled after the failures end") {
        var runs = 0
        var answers = 0
        checkAll(PropTestConfig(seed = 1L, iterations = 3_000), Arb.long()) { seed ->
            val schedule = AtMostOnceSchedule(seed, newGateway = sound).run(STEPS).heal()
            schedule.violations.shouldBeEmpty()
            runs += schedule.runs
            answers += schedule.answers
        }
        println("at most once: seed 1, 3000 schedules of $STEPS steps, $runs runs, $answers answers, 0 violations")
        runs shouldBeGreaterThan 3_000
    }

    test("the same holds when the log forgets records while their keys must still be known") {
        var runs = 0
        checkAll(PropTestConfig(seed = 2L, iterations = 2_000), Arb.long()) { seed ->
            val schedule = AtMostOnceSchedule(seed, shortRetention, sound).run(STEPS)
            schedule.violations.shouldBeEmpty()
            runs += schedule.runs
        }
        println("at most once with expiring records: seed 2, 2000 schedules, $runs runs, 0 violations")
        runs shouldBeGreaterThan 2_000
    }

    test("the checker finds requests that run twice when outcomes are kept in the memory of one VM") {
        violating(RAN_TWICE) { _, _ -> MemoryOnlyGateway() } shouldBeGreaterThan 0
    }

    test("the checker finds requests that run twice when a broken connection is retried") {
        violating(RAN_TWICE) { incarnation, random ->
            RetryingGateway(IdempotentExecutor(incarnation, random = random))
        } shouldBeGreaterThan 0
    }

    test("the checker finds untrue refusals when a broken connection is taken for not run") {
        violating(UNTRUE_NOT_RUN) { incarnation, random ->
            OptimisticGateway(IdempotentExecutor(incarnation, random = random))
        } shouldBeGreaterThan 0
    }

    test("the checker finds requests that run twice when expired records are taken for unknown keys") {
        val trusting = ScheduleLimits(
            keyRetentionMs = shortRetention.keyRetentionMs,
            logRetentionMs = shortRetention.logRetentionMs,
            checkpointIntervalMs = shortRetention.checkpointIntervalMs,
            retryWindowMs = shortRetention.retryWindowMs,
            statedLogRetentionMs = Long.MAX_VALUE,
        )
        violating(RAN_TWICE, trusting, sound) shouldBeGreaterThan 0
    }
})

private suspend fun violating(
    symptom: String,
    limits: ScheduleLimits = ScheduleLimits(),
    newGateway: (GatewayIncarnation, Random) -> Gateway,
): Int {
    var violating = 0
    checkAll(PropTestConfig(seed = 3L, iterations = 500), Arb.long()) { seed ->
        val schedule = AtMostOnceSchedule(seed, limits, newGateway).run(STEPS)
        if (schedule.violations.any { symptom in it }) violating++
    }
    println("naive: seed 3, $violating of 500 schedules show: $symptom")
    return violating
}
