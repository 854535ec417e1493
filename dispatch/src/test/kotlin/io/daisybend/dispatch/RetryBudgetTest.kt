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

    fun attemptsAtFailingEndpoint(requests: Int, mayRetry: () -> Boolean): Int =
        requests + (1..requests).sumOf { (1..3).takeWhile { mayRetry() }.size }

    test("the budget limits attempts at a failing endpoint to a tenth above the requests, unlimited retries reach 4x") {
        val budgets = RetryBudgets()
        val requests = 10_000
        var sent = 0
        val attempts = (1..requests).sumOf {
            budgets.countRequest(endpointId, teamId)
            sent++
            attemptsAtFailingEndpoint(1) { budgets.tryAcquireRetry(endpointId, teamId) }
        }
        println("retry budget: $requests requests to a failing endpoint, $attempts attempts, unlimited ${4 * requests}")
        attempts shouldBeLessThan requests + requests / 10 + 11
        attemptsAtFailingEndpoint(requests) { true } shouldBe 4 * requests
    }

    test("the retries of one team do not use the budget of another team") {
        val budgets = RetryBudgets()
        while (budgets.tryAcquireRetry(endpointId, teamId)) Unit
        budgets.tryAcquireRetry(endpointId, TeamId("team-2")) shouldBe true
    }

    test("backoff doubles up to its maximum, and each delay is at least half of its step") {
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
