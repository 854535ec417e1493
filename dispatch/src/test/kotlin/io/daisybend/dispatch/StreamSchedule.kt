/*
 * Runs random schedules of a few streams against a few engines over connections that break, go silent, lose, repeat,
 * delay and cross tokens, and checks every token that reaches a caller.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import kotlin.random.Random

internal interface StreamUnderTest {
    val isEnded: Boolean

    fun handle(event: StreamEvent, nowMs: Long): List<StreamAction>
}

internal class StreamSchedule(seed: Long, newStream: (RequestId, Long, Random) -> StreamUnderTest) {
    private enum class Link { WORKING, SILENT, CLOSED }

    private class Attempt(val client: Client, val number: Int, val engine: Int, val fromIndex: Int) {
        var link = Link.WORKING
        var generated = fromIndex
    }

    private class Delivered(val attempt: Int, val index: Int, val text: String)

    private class Client(val requestId: RequestId, val stream: StreamUnderTest, val deadlineMs: Long) {
        val attempts = mutableMapOf<Int, Attempt>()
        val delivered = mutableListOf<Delivered>()
        var ends = 0
        var finished = false
    }

    private class Message(val to: Client, val attempt: Attempt?, val event: StreamEvent)

    private val random = Random(seed)
    private val engineIsUp = BooleanArray(ENGINES) { true }
    private val clients = List(CLIENTS) { number ->
        val requestId = RequestId("request-$number")
        Client(requestId, newStream(requestId, DEADLINE_MS, Random(random.nextLong())), DEADLINE_MS)
    }
    private val attempts = mutableListOf<Attempt>()
    private val messages = mutableListOf<Message>()
    private var nowMs = 0L
    private var healed = false
    val violations = mutableListOf<String>()
    var tokens = 0
        private set
    val finished: Int get() = clients.count { it.finished }

    fun run(steps: Int): StreamSchedule {
        clients.forEach { feed(it, StreamEvent.Started) }
        repeat(steps) {
            if (violations.isEmpty()) step()
        }
        return this
    }

    /** Ends all failures; every answer has to end whole, or at the latest with a failure at its deadline. */
    fun heal(): StreamSchedule {
        healed = true
        engineIsUp.fill(true)
        while (violations.isEmpty() && nowMs <= DEADLINE_MS + TICK_MS) {
            attempts.toList().forEach { generate(it) }
            val ready = messages.toList()
            messages.clear()
            ready.forEach { feed(it.to, it.event) }
            nowMs += TICK_MS
            clients.forEach { feed(it, StreamEvent.Tick) }
        }
        for (client in clients) if (client.ends != 1) violations += "${client.requestId} ended ${client.ends} times"
        return this
    }

    private fun step() {
        nowMs += random.nextLong(8L)
        when (random.nextInt(100)) {
            in 0..2 -> fail(attempts.randomOrNull(random))
            3 -> random.nextInt(ENGINES).let { engineIsUp[it] = !engineIsUp[it] }
            in 4..20 -> feed(clients.random(random), StreamEvent.Tick)
            in 21..60 -> attempts.randomOrNull(random)?.let { generate(it) }
            else -> receive()
        }
    }

    private fun fail(attempt: Attempt?) {
        if (attempt == null || attempt.link == Link.CLOSED) return
        attempt.link = if (random.nextBoolean()) Link.SILENT else Link.CLOSED
        if (attempt.link == Link.CLOSED) tell(attempt, StreamEvent.AttemptLost(attempt.number, ExecutionStatus.Unknown))
    }

    private fun generate(attempt: Attempt) {
        if (attempt.link == Link.CLOSED || !engineIsUp[attempt.engine] || attempt.generated >= TOKENS) return
        val index = attempt.generated++
        if (attempt.link == Link.SILENT) return
        val token = StreamToken(
            requestId = attempt.client.requestId,
            attempt = attempt.number,
            index = index,
            text = textOf(attempt.client.requestId, attempt.number, index),
            finishReason = if (index == TOKENS - 1) "length" else null,
        )
        tell(attempt, StreamEvent.TokenReceived(token))
    }

    private fun tell(attempt: Attempt, event: StreamEvent) {
        val crossed = !healed && random.nextInt(30) == 0
        val to = if (crossed) clients.random(random) else attempt.client
        messages += Message(to, attempt, event)
    }

    /** Tokens of one connection mostly keep their order; some are late, doubled or lost. */
    private fun receive() {
        val index = if (random.nextInt(6) ==
            0
        ) {
            messages.indices.randomOrNull(random)
        } else {
            messages.indices.firstOrNull()
        }
        val message = messages.getOrNull(index ?: return) ?: return
        val fate = random.nextInt(25)
        if (fate != 1) messages.removeAt(index)
        if (fate != 0) feed(message.to, message.event)
    }

    private fun feed(client: Client, event: StreamEvent) {
        val isForeignLoss = event is StreamEvent.AttemptLost && client.attempts[event.attempt]?.link == Link.WORKING
        if (isForeignLoss) return
        client.stream.handle(event, nowMs).forEach { perform(client, it) }
    }

    private fun perform(client: Client, action: StreamAction) {
        when (action) {
            is StreamAction.Open -> open(client, action)
            is StreamAction.Close -> client.attempts[action.attempt]?.link = Link.CLOSED
            is StreamAction.Probe -> probe(client, client.attempts.getValue(action.attempt))
            is StreamAction.Deliver -> delivered(client, action.token)
            is StreamAction.Finish -> ended(client, finished = true)
            is StreamAction.Fail -> ended(client, finished = false)
        }
    }

    private fun open(client: Client, action: StreamAction.Open) {
        val engine = when (val target = action.target) {
            StreamTarget.AnyReplica -> random.nextInt(ENGINES)
            is StreamTarget.SameEngine -> client.attempts.getValue(target.attempt).engine
            is StreamTarget.OtherReplica -> (client.attempts.getValue(target.attempt).engine + 1) % ENGINES
        }
        if (action.fromIndex !=
            client.delivered.size
        ) {
            violations += "${client.requestId} resumes at ${action.fromIndex}"
        }
        val attempt = Attempt(client, action.attempt, engine, action.fromIndex)
        client.attempts[action.attempt] = attempt
        attempts += attempt
        if (engineIsUp[engine]) return
        attempt.link = Link.CLOSED
        tell(attempt, StreamEvent.AttemptLost(action.attempt, ExecutionStatus.NotRun))
    }

    private fun probe(client: Client, attempt: Attempt) {
        val generated = attempt.generated.takeIf { random.nextBoolean() }
        val result = if (engineIsUp[attempt.engine]) ProbeResult.Alive(generated) else ProbeResult.Unreachable
        messages += Message(client, null, StreamEvent.ProbeEnded(attempt.number, result))
    }

    private fun delivered(client: Client, token: StreamToken) {
        tokens++
        if (client.ends > 0) violations += "${client.requestId} got a token after the end"
        if (token.index != client.delivered.size) violations += "${client.requestId} got index ${token.index}"
        val own = client.requestId
        if (token.text !=
            textOf(own, token.attempt, token.index)
        ) {
            violations += "$own got a foreign token ${token.text}"
        }
        val last = client.delivered.lastOrNull()?.attempt ?: -1
        if (token.attempt < last) violations += "$own got a token of attempt ${token.attempt} after one of $last"
        client.delivered += Delivered(token.attempt, token.index, token.text)
    }

    private fun ended(client: Client, finished: Boolean) {
        client.ends++
        client.finished = finished
        if (finished && client.delivered.size != TOKENS) violations += "${client.requestId} finished early"
    }

    private fun textOf(requestId: RequestId, attempt: Int, index: Int) = "$requestId/$attempt/$index"

    private companion object {
        const val ENGINES = 3
        const val CLIENTS = 4
        const val TOKENS = 20
        const val DEADLINE_MS = 30_000L
        const val TICK_MS = 20L
    }
}
