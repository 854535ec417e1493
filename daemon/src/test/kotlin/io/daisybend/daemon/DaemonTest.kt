package io.daisybend.daemon

import io.daisybend.daemon.TestSite.Companion.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.Socket
import kotlin.random.Random

class DaemonTest : FunSpec({
    test("a cold request is served whole and says that it ran") {
        TestSite.run { site ->
            val response = site.chat(site.vms[0], maxTokens = 7)
            response.status.value shouldBe 200
            response.headers["X-Execution-Status"] shouldBe "completed"
            response.bodyAsText() shouldContain "\"completion_tokens\":7"
        }
    }

    test("a stream holds every token in order and its end") {
        TestSite.run { site ->
            val text = site.chat(site.vms[0], maxTokens = 30, stream = true).bodyAsText()
            Regex("model-a-\\d+-(\\d+)").findAll(text).map { it.groupValues[1].toInt() }.toList() shouldBe
                (0..29).toList()
            text shouldContain "[DONE]"
        }
    }

    test("alternating keys on one connection run each request for the team of its own key") {
        TestSite.run { site ->
            repeat(20) { round ->
                val own = if (round % 2 == 0) TestSite.key else TestSite.otherKey
                val ownModel = if (round % 2 == 0) "model-a" else "model-b"
                val foreignModel = if (round % 2 == 0) "model-b" else "model-a"
                site.chat(site.vms[0], own, ownModel).status.value shouldBe 200
                site.chat(site.vms[0], own, foreignModel).status.value shouldBe 403
            }
        }
    }

    test("no endpoint, log record, time line or metric shows a caller's key") {
        TestSite.run { site ->
            site.chat(site.vms[0])
            site.chat(site.vms[0], stream = true).bodyAsText()
            site.reserve(site.vms[0], "once").status.value shouldBe 201
            val seen = site.engines.map { site.getText(it, "/seen") } +
                site.getText(site.service, "/record") +
                site.getText(site.platform, "/log/config?max=1000") +
                site.client.get("http://${site.vms[0].operatorAddress}/metrics").bodyAsText() +
                site.client.get("http://${site.vms[0].operatorAddress}/admin/timeline") {
                    bearerAuth(TestSite.TOKEN)
                }.bodyAsText()
            seen.forEach {
                it shouldNotContain "secret-of-key-a"
                it.lowercase() shouldNotContain "authorization=bearer"
            }
        }
    }

    test("refusals have a type, an execution status and the right HTTP status") {
        TestSite.run { site ->
            val vm = site.vms[0]
            val refusals = listOf(
                site.chat(vm, key = null) to 401,
                site.chat(vm, TestKey("key-a", TestSite.TEAM, "guess")) to 401,
                site.chat(vm, model = "model-b") to 403,
                site.chat(vm, model = "no-such-model") to 404,
                site.chat(vm, maxTokens = 0) to 400,
                site.chat(vm, text = "x".repeat(70_000)) to 413,
                site.reserve(vm, "k", key = TestSite.otherKey) to 403,
            )
            for ((response, status) in refusals) {
                response.status.value shouldBe status
                response.headers["X-Execution-Status"] shouldBe "not_run"
                response.bodyAsText() shouldContain "\"type\":"
            }
        }
    }

    test("a route that is open to all needs no key") {
        TestSite.run { site ->
            val response = site.client.get("http://${site.vms[0].callerAddress}/services/open/stock")
            response.status.value shouldBe 200
        }
    }

    test("random bytes and broken bodies from callers are refused and the daemon serves on") {
        TestSite.run { site ->
            val random = Random(21)
            val vm = site.vms[0]
            val port = vm.callerAddress.substringAfter(':').toInt()
            repeat(200) {
                Socket("127.0.0.1", port).use { socket ->
                    runCatching { socket.getOutputStream().write(random.nextBytes(random.nextInt(1, 300))) }
                }
            }
            repeat(200) {
                val body = """{"model":"model-a","messages":[{"role":"user","content":"hi"}],"max_tokens":2}"""
                val broken = body.toCharArray().also { it[random.nextInt(it.size)] = Char(random.nextInt(32, 127)) }
                val response = site.client.post("http://${vm.callerAddress}/v1/chat/completions") {
                    bearerAuth(TestSite.key.text)
                    contentType(ContentType.Application.Json)
                    setBody(String(broken))
                }
                (response.status.value in listOf(200, 400, 404)) shouldBe true
            }
            site.chat(vm).status.value shouldBe 200
        }
    }

    test("operators without the token are refused") {
        TestSite.run { site ->
            val vm = site.vms[0]
            site.client.get("http://${vm.operatorAddress}/admin/status").status.value shouldBe 401
            site.client.get("http://${vm.operatorAddress}/admin/status") {
                bearerAuth("guess")
            }.status.value shouldBe 401
        }
    }

    test("a planned stop serves the streams in progress and requests that come to an old address") {
        TestSite.run(vmCount = 2, addressLifetimeMs = 1_000) { site ->
            site.engines.forEach { site.setSwitches(it, """{"tokenIntervalMs":20}""") }
            site.chat(site.vms[1]).status.value shouldBe 200
            coroutineScope {
                val streams = List(5) { async { site.chat(site.vms[1], maxTokens = 80, stream = true).bodyAsText() } }
                delay(200)
                val stopping = launch { site.vms[1].daemon.stop() }
                delay(100)
                site.chat(site.vms[1]).status.value shouldBe 200
                streams.awaitAll().forEach { it shouldContain "[DONE]" }
                stopping.join()
            }
            eventually {
                !site.client.get("http://${site.vms[0].operatorAddress}/admin/address?team=team-a") {
                    bearerAuth(TestSite.TOKEN)
                }.bodyAsText().contains(site.vms[1].callerAddress)
            }
        }
    }
})
