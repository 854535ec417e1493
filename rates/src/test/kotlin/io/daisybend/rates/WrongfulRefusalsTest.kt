package io.daisybend.rates

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class WrongfulRefusalsTest : FunSpec({
    fun count(callers: CallerPattern, churn: Churn = Churn.NONE, isStaticSplit: Boolean = false) = countRefusals(
        RefusalScenario(callers, churn, loadPercent = 70, durationMs = 600_000, isStaticSplit = isStaticSplit),
        seed = 1,
    )

    CallerPattern.entries.forEach { callers ->
        test("a healthy fleet wrongfully refuses under 0.1 percent of the requests with callers on $callers") {
            val refusals = count(callers)
            withClue(refusals) {
                refusals.wrongfulPercent shouldBeLessThan 0.1
                refusals.overshoot shouldBe null
            }
        }
    }

    listOf(Churn.PLANNED_REPLACEMENT, Churn.LOG_OUTAGE).forEach { churn ->
        test("$churn keeps wrongful refusals under 0.1 percent") {
            count(CallerPattern.SHARD_HOLDERS, churn).wrongfulPercent shouldBeLessThan 0.1
        }
    }

    test("a static split wrongfully refuses more than 1 percent of the same requests") {
        count(CallerPattern.EVERY_VM, isStaticSplit = true).wrongfulPercent shouldBeGreaterThan 1.0
    }
})
