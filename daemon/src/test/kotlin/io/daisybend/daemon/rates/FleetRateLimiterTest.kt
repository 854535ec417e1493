package io.daisybend.daemon.rates

import io.daisybend.configuration.Manifest
import io.daisybend.daemon.TestSite
import io.daisybend.daemon.TestSite.Companion.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

class FleetRateLimiterTest : FunSpec({
    test("requests through three VMs together do not exceed the team's burst and rate") {
        TestSite.run(vmCount = 3) { site ->
            applyTeamLimit(site, rateTokensPerSecond = 10, burstTokens = 600)
            val startMs = System.currentTimeMillis()
            val responses = coroutineScope {
                List(60) { async { site.chat(site.vms[it % 3], maxTokens = 50) } }.awaitAll()
            }
            val elapsedSeconds = (System.currentTimeMillis() - startMs) / 1_000 + 1
            val admitted = responses.count { it.status.value == 200 }.toLong()
            admitted * 50 shouldBeLessThanOrEqual 600 + 10 * elapsedSeconds
            admitted shouldBeGreaterThan 5
            val refusal = responses.first { it.status.value != 200 }
            refusal.status.value shouldBe 429
            refusal.headers["X-Execution-Status"] shouldBe "not_run"
            refusal.bodyAsText() shouldContain "rate_limit_error"
        }
    }

    test("shards move from a stopped VM to the others and the site keeps serving") {
        TestSite.run(vmCount = 2) { site ->
            site.chat(site.vms[1]).status.value shouldBe 200
            site.vms[1].daemon.stop()
            eventually { "vm-1" !in rateStatus(site) && "vm-0" in rateStatus(site) }
            site.chat(site.vms[0]).status.value shouldBe 200
        }
    }

    test("requests are admitted during an outage of the log") {
        TestSite.run(vmCount = 2) { site ->
            site.vms.forEach { site.chat(it).status.value shouldBe 200 }
            site.setSwitches(site.platform, """{"logDown":true}""")
            site.vms.forEach { site.chat(it).status.value shouldBe 200 }
        }
    }
})

private suspend fun applyTeamLimit(site: TestSite, rateTokensPerSecond: Long, burstTokens: Long) {
    val manifest: Manifest = site.manifest()
    val teams = manifest.teams.map { it.copy(rateTokensPerSecond = rateTokensPerSecond, burstTokens = burstTokens) }
    site.apply(manifest.copy(teams = teams)).status.value shouldBe 200
}

private suspend fun rateStatus(site: TestSite): String =
    site.client.get("http://${site.vms[0].operatorAddress}/admin/status") { bearerAuth(TestSite.TOKEN) }.bodyAsText()
        .lines().joinToString { it }.substringAfter("seats held by", "").substringBefore('"')
