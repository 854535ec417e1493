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

private const val TOKENS = 8
private val wholeAnswer = (0 until TOKENS).map { "t$it" }

class ResumingModelDispatcherTest : FunSpec({
    test("a stream that goes silent is resumed after its last token over a new connection") {
        val engine = Engine { completion, attempt ->
            tokens(completion, until = if (attempt == 0) 3 else TOKENS)
            if (attempt == 0) staySilent()
        }
        val answer = engine.use { serve(listOf(it)) }
        answer.tokens shouldBe wholeAnswer
        answer.result.get() shouldBe Completion(TOKENS, "length")
        engine.asked.map { it.fromTokenIndex } shouldBe listOf(0, 3)
        engine.asked.last().generatedText shouldBe "t0t1t2"
    }

    test("a connection that breaks is resumed") {
        val engine = Engine { completion, attempt -> tokens(completion, until = if (attempt == 0) 5 else TOKENS) }
        engine.use { serve(listOf(it)) }.tokens shouldBe wholeAnswer
    }

    test("an engine that dies in the middle is replaced by another replica with the tokens so far") {
        val dying = Engine(answersProbes = false) { completion, attempt ->
            if (attempt == 0) {
                tokens(completion, until = 4)
                staySilent()
            }
        }
        val other = Engine { completion, _ -> tokens(completion, until = TOKENS) }
        val answer = dying.use { first -> other.use { second -> serve(listOf(first, second)) } }
        answer.tokens shouldBe wholeAnswer
        other.asked.map { it.fromTokenIndex } shouldContain 4
    }

    test("late, crossed and repeated tokens do not reach the caller") {
        val engine = Engine { completion, _ ->
            token(completion.copy(requestId = RequestId("another")), 0, "foreign")
            token(completion.copy(attempt = completion.attempt + 7), 0, "late")
            token(completion, 0)
            token(completion, 0, "again")
            tokens(completion.copy(fromTokenIndex = 1), until = TOKENS)
        }
        engine.use { serve(listOf(it)) }.tokens shouldBe wholeAnswer
    }

    test("a missing token is fetched, never skipped") {
        val engine = Engine { completion, attempt ->
            tokens(completion, until = if (attempt == 0) 2 else TOKENS)
            if (attempt == 0) token(completion, 4)
        }
        engine.use { serve(listOf(it)) }.tokens shouldBe wholeAnswer
    }

    test("an engine that never answers fails the request by its deadline as unknown") {
        val engine = Engine { _, _ -> staySilent() }
        val answer = engine.use { serve(listOf(it), timeoutMs = 1_500L) }
        answer.result.getError()?.execution shouldBe ExecutionStatus.UNKNOWN
        answer.tokens shouldBe emptyList()
    }

    test("a request that no engine took is refused as not run") {
        val engine = Engine { _, _ -> }
        engine.close()
        serve(listOf(engine)).result.getError()?.execution shouldBe ExecutionStatus.NOT_RUN
    }
})

private class Answer(val tokens: List<String>, val result: Result<Completion, RequestFailure>)

/** An engine behind real connections; [script] gets each completion with the number of the connection. */
private class Engine(
    private val answersProbes: Boolean = true,
    private val script: ScriptedConnection.(completion: EngineCompletion, attempt: Int) -> Unit,
) : AutoCloseable {
    val asked = CopyOnWriteArrayList<EngineCompletion>()
    private val server = ScriptedServer { serve() }
    val endpoint = EndpointSpec(
        endpointId = EndpointId("engine-${server.address}"),
        kind = EndpointKind.ENGINE,
        address = server.address,
        failureDomainId = FailureDomainId("buda"),
    )

    private fun ScriptedConnection.serve() {
        val body = readRequest()
        if ("maxTokens" in body) complete(body) else control()
    }

    private fun ScriptedConnection.complete(body: String) {
        val completion = json.decodeFromString(EngineCompletion.serializer(), body)
        val attempt = synchronized(asked) {
            asked += completion
            asked.size - 1
        }
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        script(completion, attempt)
        finish()
    }

    private fun ScriptedConnection.control() {
        if (!answersProbes) return staySilent()
        write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${STATE.length}\r\n\r\n$STATE")
        finish()
    }

    override fun close() = server.close()

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val STATE = """{"bootId":"b","fence":0,"memoryBytes":1,"kvCacheBytes":0,"usedBytes":0,"loaded":[],""" +
            """"loadingOrderIds":[],"completedOrderIds":[],"running":1}"""
    }
}

private fun ScriptedConnection.tokens(completion: EngineCompletion, until: Int) {
    for (index in completion.fromTokenIndex until until) token(completion, index)
}

private fun ScriptedConnection.token(completion: EngineCompletion, index: Int, text: String = "t$index") {
    val finish = if (index == TOKENS - 1) ""","finishReason":"length"""" else ""
    val id = completion.requestId.value
    writeChunk(
        """data: {"requestId":"$id","attempt":${completion.attempt},"index":$index,"text":"$text"$finish}""" + "\n\n",
    )
}

private suspend fun serve(replicas: List<Engine>, timeoutMs: Long = 8_000L): Answer {
    val access = object : ModelAccess {
        override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
            val others = replicas.filter { it.endpoint.endpointId != request.avoidEndpointId }
            return Ok(TestGrant((others.firstOrNull() ?: replicas.first()).endpoint))
        }
    }
    val dispatcher = ResumingModelDispatcher(
        access = access,
        engines = HttpEngineClient(daemonHttpClient(), controlTimeoutMs = 200L),
        clock = SystemMillisClock,
        timeline = Timeline(VmId("vm-1"), SystemMillisClock),
        cancellations = CoroutineScope(Dispatchers.IO),
        settings = StreamSettings(firstTokenTimeoutMs = 400L, inactivityTimeoutMs = 400L, probeTimeoutMs = 300L),
    )
    val request = ModelRequest(
        requestId = RequestId("request-1"),
        caller = Caller(TeamId("team-1"), KeyId("key-1")),
        modelId = ModelId("model-1"),
        adapterId = null,
        prompt = "hello",
        promptTokens = 1L,
        maxOutputTokens = TOKENS,
        priority = Priority.INTERACTIVE,
        deadlineMs = SystemMillisClock.nowMs() + timeoutMs,
    )
    val tokens = mutableListOf<String>()
    val result = dispatcher.run(request) { tokens += it.text }
    return Answer(tokens, result)
}

private class TestGrant(override val endpoint: EndpointSpec) : EndpointGrant {
    override suspend fun release() = Unit
}
