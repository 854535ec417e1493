package io.daisybend.entry.exchange

import com.github.michaelbull.result.Ok
import io.daisybend.entry.EventLog
import io.daisybend.platform.EngineClient
import io.daisybend.platform.HttpClient
import io.daisybend.platform.HttpResponse
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.Incarnation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val STREAMS = 30
private const val ANSWER_MS = 20L

private fun engineOf(id: String) = EndpointEntry(
    Incarnation(id, bornMs = 1),
    service = "s1",
    host = "127.0.0.1",
    port = 9,
    failureDomain = "north",
    slots = 64,
    isDraining = false,
    holdings = null,
)

private const val REPORT = """{"stage":"both","runs":[["s-1",100,7,5]]}"""

class EngineRunsTest : FunSpec({
    // Each stream of a silent engine asked for a report of its own, five times a second.
    test("streams that ask an engine at the same time share one report, and later ones get a new one") {
        val reports = AtomicInteger()
        val nowMs = AtomicLong(1_000)
        val client = HttpClient { _, _, _, _, _, _, _ ->
            reports.incrementAndGet()
            delay(ANSWER_MS)
            Ok(HttpResponse(200, emptyList(), REPORT.encodeToByteArray()))
        }
        val runs = EngineRuns(EngineClient(client), EventLog("vm-1"), nowMs::get)
        val engine = engineOf("e-1")

        suspend fun askAll() = coroutineScope {
            (1..STREAMS).map { async { runs.find(engine, "s-$it")?.eventCount } }.awaitAll()
        }

        askAll() shouldBe listOf(7) + List(STREAMS - 1) { null }
        reports.get() shouldBe 1
        runs.find(engineOf("e-2"), "s-1")
        reports.get() shouldBe 2
        nowMs.addAndGet(200)
        askAll().first() shouldBe 7
        reports.get() shouldBe 3
    }
})
