package io.daisybend.daemon

import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.ConfigurationRecord
import io.daisybend.daemon.TestSite.Companion.eventually
import io.daisybend.kernel.EndpointId
import io.daisybend.standins.StandIn
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json

class LeavingEndpointTest : FunSpec({
    suspend fun TestSite.holderOf(model: String): Int = engines.indices.first { "\"$model\"" in stateOf(engines[it]) }

    test("a draining endpoint gets no new work, its queue goes elsewhere, and its streams end whole") {
        TestSite.run(vmCount = 2) { site ->
            site.chat(site.vms[0]).status.value shouldBe 200
            val holder = site.holderOf("model-a")
            site.engines.forEach { site.setSwitches(it, """{"tokenIntervalMs":20}""") }
            coroutineScope {
                val streams = List(30) { async { site.chat(site.vms[it % 2], maxTokens = 60, stream = true) } }
                delay(300)
                site.submit(ConfigurationChange.SetDraining(0, EndpointId("engine-$holder"), draining = true))
                eventually { "\"model-a\"" in site.stateOf(site.engines[1 - holder]) }
                streams.awaitAll().forEach { it.status.value shouldBe 200 }
            }
            val startedBefore = site.requestsStarted(site.engines[holder])
            repeat(10) { site.chat(site.vms[it % 2]).status.value shouldBe 200 }
            site.requestsStarted(site.engines[holder]) shouldBe startedBefore
        }
    }

    test("a call to a plain service that is draining is refused unrun") {
        TestSite.run { site ->
            site.reserve(site.vms[0], "before").status.value shouldBe 201
            site.submit(ConfigurationChange.SetDraining(0, TestSite.SERVICE, draining = true))
            val refusal = site.reserve(site.vms[0], "after")
            refusal.headers["X-Execution-Status"] shouldBe "not_run"
            site.getText(site.service, "/record") shouldContain "\"number\":1"
        }
    }
})

private suspend fun TestSite.stateOf(engine: StandIn): String = getText(engine, "/control/state")

private suspend fun TestSite.requestsStarted(engine: StandIn): Long =
    Regex("\"requestsStarted\":(\\d+)").find(stateOf(engine))!!.groupValues[1].toLong()

private suspend fun TestSite.submit(change: ConfigurationChange) {
    val record = ConfigurationRecord.Change(ChangeId("drain"), change)
    client.post("http://${vms.first().operatorAddress}/admin/changes") {
        bearerAuth(TestSite.TOKEN)
        setBody(Json.encodeToString(ConfigurationRecord.Change.serializer(), record))
    }.status.value shouldBe 200
}
