package io.daisybend.bench

import io.daisybend.bench.decisions.naiveDecisions
import io.daisybend.bench.decisions.systemDecisions
import io.daisybend.bench.run.RunResult
import io.daisybend.bench.site.cinemaSite
import io.daisybend.bench.site.exchangeSite
import io.daisybend.bench.trace.Scenario
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private const val SEED = 1L

/** Bounds on counts and shares, not on times, in the short form of the scenarios. */
class ScenarioRegressionTest : FunSpec({
    val sites = listOf(cinemaSite(), exchangeSite())
    val results = sites.flatMap { site ->
        Scenario.entries.map { scenario ->
            val own = runVariant(site, scenario, SEED, isShort = true) { systemDecisions(site, it, SEED) }
            val naive = runVariant(site, scenario, SEED, isShort = true) { naiveDecisions(site, it, SEED) }
            ShortRun("${site.name} ${scenario.title}", scenario, own, naive)
        }
    }

    for (run in results) {
        test("${run.title}: every request ends and no rate is exceeded") {
            run.own.counts.let { it.served + it.rateRefusals + it.capacityRefusals shouldBe it.requests }
            run.own.overshootTokens shouldBe 0.0
        }

        test("${run.title}: every team gets at least 90% of its fair share") {
            run.own.worstShare shouldBeGreaterThanOrEqual 0.9
        }

        test("${run.title}: no VM loads a model that another one is loading") {
            run.own.counts.duplicateLoads shouldBe 0
        }

        if (run.scenario.isHealthy) {
            test("${run.title}: fewer than one in a thousand requests is refused within its team's rate") {
                run.own.counts.wrongfulRefusals * 1_000 shouldBeLessThan run.own.counts.requests
            }
        }
    }

    test("a first burst needs at most one load for each model and idle unload") {
        results.filter { it.scenario == Scenario.FIRST_BURST }.forEach { run ->
            val counts = run.own.counts
            counts.loads shouldBeLessThanOrEqual run.models + counts.idleUnloads + counts.evictions
        }
    }

    test("idle accelerator time in the evening's scenario is at most half of the naive one") {
        results.filter { it.scenario == Scenario.FILM_NIGHT }.forEach { run ->
            run.own.idleHours shouldBeLessThanOrEqual run.naive.idleHours / 2
        }
    }

    test("the checks find the naive variant's wrongful refusals, duplicate loads and starved team") {
        results.sumOf { it.naive.counts.wrongfulRefusals } shouldBeGreaterThan 0
        results.sumOf { it.naive.counts.duplicateLoads } shouldBeGreaterThan 0
        (results.minOf { it.naive.worstShare } < 0.9) shouldBe true
    }
})

private class ShortRun(val title: String, val scenario: Scenario, val own: RunResult, val naive: RunResult) {
    val models: Int = 30
}
