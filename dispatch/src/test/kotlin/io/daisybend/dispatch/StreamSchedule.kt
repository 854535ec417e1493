/*
 * Simulates several streams and engines under random schedules. Connections fail, stall, and lose, duplicate, delay or
 * misroute tokens. Every token that reaches a caller is checked.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import kotlin.random.Random

internal interface StreamUnderTest {
    val isEnded: Boolean

    fun handle(event: StreamEvent, nowMs: Long): List<StreamAction>
}

internal class StreamSchedule(seed: Long, newStream: (RequestId, Long, Random) -> StreamUnderTest) {
    private enum class Link { OPEN, STALLED, CLOSED }

    private class Attempt(val client: Client, val number: Int, val engine: Int, val fromIndex: Int) {
        var link = Link.OPEN
        var generated = fromIndex
    }

    private class DeliveredToken(val attempt: Int, val index: Int, val text: String)

    private class Client(val requestId: RequestId, val stream: StreamUnderTest, val deadlineMs: Long) {
        val attempts = mutableMapOf<Int, Attempt>()
        val delivered = mutableListOf<DeliveredToken>()
        var ends = 0
        var isFinished = false
    }

    private class Message(val recipient: Client, val attempt: Attempt?, val event: StreamEvent)

    private val random = Random(seed)
    private val engineIsUp = BooleanArray(ENGINE_COUNT) { true }
    private val clients = List(CLIENT_COUNT) { number ->
        val requestId = RequestId("request-$number")
        Client(requestId, newStream(requestId, DEADLINE_MS, Random(random.nextLong())), DEADLINE_MS)
    }
    private val attempts = mutableListOf<Attempt>()
    private val messages = mutableListOf<Message>()
    private var nowMs = 0L
    private var faultsEnded = false
    val violations = mutableListOf<String>()
    var tokenCount = 0
        private set
    val finishedCount: Int get() = clients.count { it.isFinished }

    fun run(steps: Int): StreamSchedule {
        clients.forEach { feed(it, StreamEvent.Started) }
        repeat(steps) {
            if (violations.isEmpty()) step()
        }
        return this
    }

    /** Ends all faults and checks that every response then finishes, or fails at its deadline at the latest. */
    fun endFaults(): StreamSchedule {
        faultsEnded = true
        engineIsUp.fill(true)
        while (violations.isEmpty() && nowMs <= DEADLINE_MS + TICK_MS) {
            attempts.toList().forEach { generate(it) }
            val ready = messages.toList()
            messages.clear()
            ready.forEach { feed(it.recipient, it.event) }
            nowMs += TICK_MS
            clients.forEach { feed(it, StreamEvent.Tick) }
        }
        for (client in clients) if (client.ends != 1) violations += "${client.requestId} ended ${client.ends} times"
        return this
    }

    private fun step() {
        nowMs += random.nextLong(8L)
        when (random.nextInt(100)) {
            in 0..2 -> failConnection(attempts.randomOrNull(random))
            3 -> random.nextInt(ENGINE_COUNT).let { engineIsUp[it] = !engineIsUp[it] }
            in 4..20 -> feed(clients.random(random), StreamEvent.Tick)
            in 21..60 -> attempts.randomOrNull(random)?.let { generate(it) }
            else -> receive()
        }
    }

    private fun failConnection(attempt: Attempt?) {
        if (attempt == null || attempt.link == Link.CLOSED) return
        attempt.link = if (random.nextBoolean()) Link.STALLED else Link.CLOSED
        if (attempt.link == Link.CLOSED) send(attempt, StreamEvent.AttemptLost(attempt.number, ExecutionStatus.Unknown))
    }

    private fun generate(attempt: Attempt) {
        if (attempt.link == Link.CLOSED || !engineIsUp[attempt.engine] || attempt.generated >= TOKEN_COUNT) return
        val index = attempt.generated++
        if (attempt.link == Link.STALLED) return
        val token = StreamToken(
            requestId = attempt.client.requestId,
            attempt = attempt.number,
            index = index,
            text = textOf(attempt.client.requestId, attempt.number, index),
            finishReason = if (index == TOKEN_COUNT - 1) "length" else null,
        )
        send(attempt, StreamEvent.TokenReceived(token))
    }

    private fun send(attempt: Attempt, event: StreamEvent) {
        val isMisrouted = !faultsEnded && random.nextInt(30) == 0
        val recipient = if (isMisrouted) clients.random(random) else attempt.client
        messages += Message(recipient, attempt, event)
    }

    /** Delivers mostly the oldest message; some messages are delivered out of order, twice or not at all. */
    private fun receive() {
        val index = if (random.nextInt(6) ==
            0
        ) {
            messages.indices.randomOrNull(random)
        } else {
            messages.indices.firstOrNull()
        }
        val message = messages.getOrNull(index ?: return) ?: return
        val faultChoice = random.nextInt(25)
        if (faultChoice != 1) messages.removeAt(index)
        if (faultChoice != 0) feed(message.recipient, message.event)
    }

    private fun feed(client: Client, event: StreamEvent) {
        val isMisrouted = event is StreamEvent.AttemptLost && client.attempts[event.attempt]?.link == Link.OPEN
        if (isMisrouted) return
        client.stream.handle(event, nowMs).forEach { perform(client, it) }
    }

    private fun perform(client: Client, action: StreamAction) {
        when (action) {
            is StreamAction.Open -> open(client, action)
            is StreamAction.Close -> client.attempts[action.attempt]?.link = Link.CLOSED
            is StreamAction.Probe -> probe(client, client.attempts.getValue(action.attempt))
            is StreamAction.Deliver -> onDelivered(client, action.token)
            is StreamAction.Finish -> onEnded(client, isFinished = true)
            is StreamAction.Fail -> onEnded(client, isFinished = false)
        }
    }

    private fun open(client: Client, action: StreamAction.Open) {
        val engine = when (val target = action.target) {
            StreamTarget.AnyReplica -> random.nextInt(ENGINE_COUNT)
            is StreamTarget.SameEngine -> client.attempts.getValue(target.attempt).engine
            is StreamTarget.OtherReplica -> (client.attempts.getValue(target.attempt).engine + 1) % ENGINE_COUNT
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
        send(attempt, StreamEvent.AttemptLost(action.attempt, ExecutionStatus.NotRun))
    }

    private fun probe(client: Client, attempt: Attempt) {
        val generated = attempt.generated.takeIf { random.nextBoolean() }
        val result = if (engineIsUp[attempt.engine]) ProbeResult.Alive(generated) else ProbeResult.Unreachable
        messages += Message(client, null, StreamEvent.ProbeEnded(attempt.number, result))
    }

    private fun onDelivered(client: Client, token: StreamToken) {
        tokenCount++
        if (client.ends > 0) violations += "${client.requestId} got a token after the end"
        if (token.index != client.delivered.size) violations += "${client.requestId} got index ${token.index}"
        val requestId = client.requestId
        if (token.text !=
            textOf(requestId, token.attempt, token.index)
        ) {
            violations += "$requestId got an unexpected token ${token.text}"
        }
        val last = client.delivered.lastOrNull()?.attempt ?: -1
        if (token.attempt < last) violations += "$requestId got a token of attempt ${token.attempt} after one of $last"
        client.delivered += DeliveredToken(token.attempt, token.index, token.text)
    }

    private fun onEnded(client: Client, isFinished: Boolean) {
        client.ends++
        client.isFinished = isFinished
        if (isFinished && client.delivered.size != TOKEN_COUNT) violations += "${client.requestId} finished early"
    }

    private fun textOf(requestId: RequestId, attempt: Int, index: Int) = "$requestId/$attempt/$index"

    private companion object {
        const val ENGINE_COUNT = 3
        const val CLIENT_COUNT = 4
        const val TOKEN_COUNT = 20
        const val DEADLINE_MS = 30_000L
        const val TICK_MS = 20L
    }
}
