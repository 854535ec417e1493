package io.daisybend.dispatch

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class RetryBudgetTest : FunSpec({
    val endpointId = EndpointId("engine-1")
    val teamId = TeamId("team-1")

    fun attemptsAtDeadEndpoint(requests: Int, mayRetry: () -> Boolean): Int =
        requests + (1..requests).sumOf { (1..3).takeWhile { mayRetry() }.size }

    test("a dead endpoint gets at most a tenth more attempts than requests, where plain retries quadruple them") {
        val budgets = RetryBudgets()
        val requests = 10_000
        var sent = 0
        val bounded = (1..requests).sumOf {
            budgets.countRequest(endpointId, teamId)
            sent++
            attemptsAtDeadEndpoint(1) { budgets.tryAcquireRetry(endpointId, teamId) }
        }
        println("retry budget: $requests requests to a dead endpoint, $bounded attempts; plain retries ${4 * requests}")
        bounded shouldBeLessThan requests + requests / 10 + 11
        attemptsAtDeadEndpoint(requests) { true } shouldBe 4 * requests
    }

    test("one team's failures leave the budget of another alone") {
        val budgets = RetryBudgets()
        while (budgets.tryAcquireRetry(endpointId, teamId)) Unit
        budgets.tryAcquireRetry(endpointId, TeamId("team-2")) shouldBe true
    }

    test("backoff doubles up to its maximum and keeps at least half of each step") {
        val backoff = Backoff(baseMs = 100L, maxMs = 1_000L)
        val random = Random(1)
        repeat(200) {
            backoff.delayMs(1, random) shouldBeInRange 50L..100L
            backoff.delayMs(3, random) shouldBeInRange 200L..400L
            backoff.delayMs(60, random) shouldBeInRange 500L..1_000L
        }
        (1..50).map { backoff.delayMs(3, random) }.toSet().size shouldBeGreaterThan 10
    }
})
