/*
 * The operators' commands over HTTP.
 */
package io.daisybend.daemon.configuration

import io.daisybend.configuration.writeManifest
import io.daisybend.daemon.admin.OperatorContext
import io.daisybend.daemon.admin.OperatorInterface
import io.daisybend.daemon.lifecycle.Lifecycle
import io.daisybend.kernel.settings.HostAndPort
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.HttpClient
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.prometheus.metrics.model.registry.PrometheusRegistry

private const val TOKEN = "operators"

class ConfigurationRoutesTest : FunSpec({
    val site = SiteFake(1)
    val port = freePorts(1).single()
    val vm = site.vms[0]
    val operators = OperatorInterface(
        OperatorContext(
            listen = HostAndPort("127.0.0.1", port),
            token = TOKEN,
            timeline = vm.timeline,
            lifecycle = Lifecycle(),
            metrics = PrometheusRegistry(),
            routes = listOf(ConfigurationRoutes(vm.configuration, vm.submission)),
            statusSources = emptyList(),
            readinessChecks = emptyList(),
        ),
    )
    val client = HttpClient()
    beforeSpec {
        site.start()
        operators.start()
    }
    afterSpec {
        operators.stop()
        site.stop()
        client.close()
    }

    suspend fun post(path: String, body: String): HttpResponse = client.post("http://127.0.0.1:$port/admin$path") {
        bearerAuth(TOKEN)
        setBody(body)
    }

    test("an invalid manifest is refused with all its problems") {
        val broken = site.manifest.copy(models = site.manifest.models.map { it.copy(weightsBytes = 0, version = "") })
        val response = post("/manifest", writeManifest(broken))
        response.status.value shouldBe 422
        response.bodyAsText() shouldContain "models[0].weightsBytes: expected 1 to"
        response.bodyAsText() shouldContain "models[0].version: expected"
    }

    test("malformed JSON is refused with its line and column") {
        post("/manifest", "{\n nonsense").bodyAsText() shouldContain "line 2, column"
    }

    test("of two operators who expect the same revision the second gets a conflict") {
        val next = site.manifest.copy(models = site.manifest.models.map { it.copy(version = "2") })
        val later = site.manifest.copy(models = site.manifest.models.map { it.copy(version = "3") })
        post("/manifest?expectedRevision=1", writeManifest(next)).status.value shouldBe 200
        val conflict = post("/manifest?expectedRevision=1", writeManifest(later))
        conflict.status.value shouldBe 409
        conflict.bodyAsText() shouldContain "revision_conflict"
    }

    test("a change with a lost answer gets it when it is submitted again") {
        val change = """{"changeId":"w","change":{"type":"withdrawKey","keyId":"front-desk"}}"""
        val first = post("/changes", change).bodyAsText()
        first shouldContain "accepted"
        post("/changes", change).bodyAsText() shouldBe first
        post("/changes", change.replace("\"w\"", "\"x\"")).bodyAsText() shouldContain "key_withdrawn"
    }

    test("a malformed change is refused") {
        post("/changes", """{"changeId":"w"}""").status.value shouldBe 400
    }

    test("no answer holds a key or its hash beyond the manifest's own") {
        val keys = client.get("http://127.0.0.1:$port/admin/keys") { bearerAuth(TOKEN) }.bodyAsText()
        keys shouldNotContain site.key.clearText.substringAfterLast('_')
        keys shouldNotContain site.key.spec.hashHex
    }
})
