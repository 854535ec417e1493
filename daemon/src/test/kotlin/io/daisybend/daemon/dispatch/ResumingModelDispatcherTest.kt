package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.KeyId
import io.daisybend.daemon.daemonHttpClient
import io.daisybend.daemon.endpoint.EngineCompletion
import io.daisybend.daemon.endpoint.HttpEngineClient
import io.daisybend.daemon.endpoint.ScriptedConnection
import io.daisybend.daemon.endpoint.ScriptedServer
import io.daisybend.daemon.request.Caller
import io.daisybend.daemon.request.Completion
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.Priority
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.dispatch.StreamSettings
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.SystemMillisClock
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.json.Json
import java.util.concurrent.CopyOnWriteArrayList

private const val TOKEN_COUNT = 8
private val allTokens = (0 until TOKEN_COUNT).map { "t$it" }

class ResumingModelDispatcherTest : FunSpec({
    test("a stalled stream is resumed after its last token over a new connection") {
        val engine = ScriptedEngine { completion, attempt ->
            sendTokens(completion, endIndex = if (attempt == 0) 3 else TOKEN_COUNT)
            if (attempt == 0) stall()
        }
        val streamResult = engine.use { runRequest(listOf(it)) }
        streamResult.tokens shouldBe allTokens
        streamResult.result.get() shouldBe Completion(TOKEN_COUNT, "length")
        engine.completions.map { it.fromTokenIndex } shouldBe listOf(0, 3)
        engine.completions.last().generatedText shouldBe "t0t1t2"
    }

    test("a stream whose connection breaks is resumed") {
        val engine = ScriptedEngine { completion, attempt ->
            sendTokens(completion, endIndex = if (attempt == 0) 5 else TOKEN_COUNT)
        }
        engine.use { runRequest(listOf(it)) }.tokens shouldBe allTokens
    }

    test("after an engine fails mid-stream, another replica resumes from the tokens received so far") {
        val failingEngine = ScriptedEngine(answersProbes = false) { completion, attempt ->
            if (attempt == 0) {
                sendTokens(completion, endIndex = 4)
                stall()
            }
        }
        val other = ScriptedEngine { completion, _ -> sendTokens(completion, endIndex = TOKEN_COUNT) }
        val streamResult = failingEngine.use { first -> other.use { second -> runRequest(listOf(first, second)) } }
        streamResult.tokens shouldBe allTokens
        other.completions.map { it.fromTokenIndex } shouldContain 4
    }

    test("stale and duplicate tokens and those of other requests do not reach the caller") {
        val engine = ScriptedEngine { completion, _ ->
            sendToken(completion.copy(requestId = RequestId("another")), 0, "foreign")
            sendToken(completion.copy(attempt = completion.attempt + 7), 0, "late")
            sendToken(completion, 0)
            sendToken(completion, 0, "again")
            sendTokens(completion.copy(fromTokenIndex = 1), endIndex = TOKEN_COUNT)
        }
        engine.use { runRequest(listOf(it)) }.tokens shouldBe allTokens
    }

    test("a stream with a gap is resumed at the missing token") {
        val engine = ScriptedEngine { completion, attempt ->
            sendTokens(completion, endIndex = if (attempt == 0) 2 else TOKEN_COUNT)
            if (attempt == 0) sendToken(completion, 4)
        }
        engine.use { runRequest(listOf(it)) }.tokens shouldBe allTokens
    }

    test("a request to an engine that never responds fails by its deadline with an unknown outcome") {
        val engine = ScriptedEngine { _, _ -> stall() }
        val streamResult = engine.use { runRequest(listOf(it), timeoutMs = 1_500L) }
        streamResult.result.getError()?.execution shouldBe ExecutionStatus.UNKNOWN
        streamResult.tokens shouldBe emptyList()
    }

    test("a request that no engine accepts fails as not run") {
        val engine = ScriptedEngine { _, _ -> }
        engine.close()
        runRequest(listOf(engine)).result.getError()?.execution shouldBe ExecutionStatus.NOT_RUN
    }
})

private class StreamResult(val tokens: List<String>, val result: Result<Completion, RequestFailure>)

/** An engine behind a real server; [script] handles each completion and receives its attempt number. */
private class ScriptedEngine(
    private val answersProbes: Boolean = true,
    private val script: ScriptedConnection.(completion: EngineCompletion, attempt: Int) -> Unit,
) : AutoCloseable {
    val completions = CopyOnWriteArrayList<EngineCompletion>()
    private val server = ScriptedServer { handleRequest() }
    val endpoint = EndpointSpec(
        endpointId = EndpointId("engine-${server.address}"),
        kind = EndpointKind.ENGINE,
        address = server.address,
        failureDomainId = FailureDomainId("buda"),
    )

    private fun ScriptedConnection.handleRequest() {
        val body = readRequest()
        if ("maxTokens" in body) complete(body) else respondToProbe()
    }

    private fun ScriptedConnection.complete(body: String) {
        val completion = json.decodeFromString(EngineCompletion.serializer(), body)
        val attempt = synchronized(completions) {
            completions += completion
            completions.size - 1
        }
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        script(completion, attempt)
        closeGracefully()
    }

    private fun ScriptedConnection.respondToProbe() {
        if (!answersProbes) return stall()
        write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${STATE.length}\r\n\r\n$STATE")
        closeGracefully()
    }

    override fun close() = server.close()

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val STATE = """{"bootId":"b","fence":0,"memoryBytes":1,"kvCacheBytes":0,"usedBytes":0,"loaded":[],""" +
            """"loadingOrderIds":[],"completedOrderIds":[],"running":1}"""
    }
}

private fun ScriptedConnection.sendTokens(completion: EngineCompletion, endIndex: Int) {
    for (index in completion.fromTokenIndex until endIndex) sendToken(completion, index)
}

private fun ScriptedConnection.sendToken(completion: EngineCompletion, index: Int, text: String = "t$index") {
    val finish = if (index == TOKEN_COUNT - 1) ""","finishReason":"length"""" else ""
    val id = completion.requestId.value
    writeChunk(
        """data: {"requestId":"$id","attempt":${completion.attempt},"index":$index,"text":"$text"$finish}""" + "\n\n",
    )
}

private suspend fun runRequest(replicas: List<ScriptedEngine>, timeoutMs: Long = 8_000L): StreamResult {
    val access = object : ModelAccess {
        override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
            val candidates = replicas.filter { it.endpoint.endpointId != request.avoidEndpointId }
            return Ok(TestGrant((candidates.firstOrNull() ?: replicas.first()).endpoint))
        }
    }
    val dispatcher = ResumingModelDispatcher(
        access = access,
        engines = HttpEngineClient(daemonHttpClient(), controlTimeoutMs = 200L),
        clock = SystemMillisClock,
        timeline = Timeline(VmId("vm-1"), SystemMillisClock),
        cancellationScope = CoroutineScope(Dispatchers.IO),
        settings = StreamSettings(firstTokenTimeoutMs = 400L, inactivityTimeoutMs = 400L, probeTimeoutMs = 300L),
    )
    val request = ModelRequest(
        requestId = RequestId("request-1"),
        caller = Caller(TeamId("team-1"), KeyId("key-1")),
        modelId = ModelId("model-1"),
        adapterId = null,
        prompt = "hello",
        promptTokens = 1L,
        maxOutputTokens = TOKEN_COUNT,
        priority = Priority.INTERACTIVE,
        deadlineMs = SystemMillisClock.nowMs() + timeoutMs,
    )
    val tokens = mutableListOf<String>()
    val result = dispatcher.run(request) { tokens += it.text }
    return StreamResult(tokens, result)
}

private class TestGrant(override val endpoint: EndpointSpec) : EndpointGrant {
    override suspend fun release() = Unit
}
