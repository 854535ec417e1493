package io.daisybend.daemon.placement

import io.daisybend.daemon.TestSite
import io.daisybend.daemon.TestSite.Companion.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

private suspend fun TestSite.status(): String =
    client.get("http://${vms.first().operatorAddress}/admin/status") { bearerAuth(TestSite.TOKEN) }.bodyAsText()

private suspend fun TestSite.timeline(): String =
    client.get("http://${vms.first().operatorAddress}/admin/timeline") { bearerAuth(TestSite.TOKEN) }.bodyAsText()

private suspend fun TestSite.loadsStarted(): Int = engines.sumOf { engine ->
    val state = getText(engine, "/control/state")
    checkNotNull(Regex("\"loadsStarted\":(\\d+)").find(state)).groupValues[1].toInt()
}

private suspend fun TestSite.awaitOwners() = eventually { Regex("owner vm-0 .* ready").findAll(status()).any() }

class PlacementRuntimeTest : FunSpec({
    test("no engine receives an order during a log outage, and the waiting request is served after the log recovers") {
        TestSite.run { site ->
            site.awaitOwners()
            site.setSwitches(site.platform, """{"logDown":true}""")
            coroutineScope {
                val response = async { site.chat(site.vms[0]) }
                delay(1_500)
                site.loadsStarted() shouldBe 0
                site.setSwitches(site.platform, "{}")
                response.await().status.value shouldBe 200
            }
            site.loadsStarted() shouldBe 1
        }
    }

    test("a decision whose append response is lost results in one load") {
        TestSite.run { site ->
            site.awaitOwners()
            site.setSwitches(site.platform, """{"loseAppendAnswers":1}""")
            site.chat(site.vms[0]).status.value shouldBe 200
            site.loadsStarted() shouldBe 1
        }
    }

    test("the status shows owners, fences and offsets, and the timeline shows each step of a load") {
        TestSite.run { site ->
            site.chat(site.vms[0]).status.value shouldBe 200
            site.status() shouldContain Regex("owner vm-0 fence \\d+ offset \\d+")
            val steps = listOf("endpoint-claimed", "load-decided", "load-ordered", "load-answered", "replica-loaded")
            steps.forEach { site.timeline() shouldContain it }
        }
    }
})
