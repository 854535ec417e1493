package io.daisybend.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val STEP_COUNT = 400
private const val RAN_TWICE = "ran 2 times"
private const val FALSE_NOT_RUN = "false 'not run'"

class AtMostOnceTest : FunSpec({
    val correctGateway = { incarnation: GatewayIncarnation, random: Random ->
        Gateway(IdempotentExecutor(incarnation, random = random)::handle)
    }
    val shortRetention = ScheduleLimits(
        keyRetentionMs = 30_000L,
        logRetentionMs = 6_000L,
        checkpointIntervalMs = 1_500L,
        retryWindowMs = 26_000L,
    )

    test("no request runs twice, every result is true, and every key gets a final result after the faults end") {
        var runCount = 0
        var resultCount = 0
        checkAll(PropTestConfig(seed = 1L, iterations = 3_000), Arb.long()) { seed ->
            val schedule = AtMostOnceSchedule(seed, newGateway = correctGateway).run(STEP_COUNT).endFaults()
            schedule.violations.shouldBeEmpty()
            runCount += schedule.runCount
            resultCount += schedule.resultCount
        }
        println("at most once: seed 1, 3000 schedules of $STEP_COUNT steps, $runCount runs, $resultCount results")
        runCount shouldBeGreaterThan 3_000
    }

    test("no request runs twice and every result is true if the log expires records within the key retention time") {
        var runCount = 0
        checkAll(PropTestConfig(seed = 2L, iterations = 2_000), Arb.long()) { seed ->
            val schedule = AtMostOnceSchedule(seed, shortRetention, correctGateway).run(STEP_COUNT)
            schedule.violations.shouldBeEmpty()
            runCount += schedule.runCount
        }
        println("at most once with expiring records: seed 2, 2000 schedules, $runCount runs, 0 violations")
        runCount shouldBeGreaterThan 2_000
    }

    test("the checker detects requests that run twice if outcomes are kept only in the memory of one VM") {
        countViolatingSchedules(RAN_TWICE) { _, _ -> MemoryOnlyGateway() } shouldBeGreaterThan 0
    }

    test("the checker detects requests that run twice if a call is dispatched again after a connection failure") {
        countViolatingSchedules(RAN_TWICE) { incarnation, random ->
            RetryingGateway(IdempotentExecutor(incarnation, random = random))
        } shouldBeGreaterThan 0
    }

    test("the checker detects false refusals if a connection failure is reported as not run") {
        countViolatingSchedules(FALSE_NOT_RUN) { incarnation, random ->
            OptimisticGateway(IdempotentExecutor(incarnation, random = random))
        } shouldBeGreaterThan 0
    }

    test("the checker detects requests that run twice if keys in expired records are treated as unused") {
        val overstatedRetention = ScheduleLimits(
            keyRetentionMs = shortRetention.keyRetentionMs,
            logRetentionMs = shortRetention.logRetentionMs,
            checkpointIntervalMs = shortRetention.checkpointIntervalMs,
            retryWindowMs = shortRetention.retryWindowMs,
            assumedLogRetentionMs = Long.MAX_VALUE,
        )
        countViolatingSchedules(RAN_TWICE, overstatedRetention, correctGateway) shouldBeGreaterThan 0
    }
})

private suspend fun countViolatingSchedules(
    violation: String,
    limits: ScheduleLimits = ScheduleLimits(),
    newGateway: (GatewayIncarnation, Random) -> Gateway,
): Int {
    var violatingCount = 0
    checkAll(PropTestConfig(seed = 3L, iterations = 500), Arb.long()) { seed ->
        val schedule = AtMostOnceSchedule(seed, limits, newGateway).run(STEP_COUNT)
        if (schedule.violations.any { violation in it }) violatingCount++
    }
    println("naive: seed 3, $violatingCount of 500 schedules show: $violation")
    return violatingCount
}
