/*
 * Measures how the cost of recording intents grows: appends and bytes per second and added latency by number of
 * partitions, memory by number of keys, and the time of one decision. Arrivals come from a fixed seed. Time is
 * simulated, but processor time is measured.
 */
package io.daisybend.bench.slopes

import io.daisybend.dispatch.AttemptId
import io.daisybend.dispatch.CoordinatorAction
import io.daisybend.dispatch.CoordinatorAnswer
import io.daisybend.dispatch.CoordinatorEvent
import io.daisybend.dispatch.CoordinatorSettings
import io.daisybend.dispatch.ExecutionStatus
import io.daisybend.dispatch.GatewayIncarnation
import io.daisybend.dispatch.IntentBatch
import io.daisybend.dispatch.IntentCoordinator
import io.daisybend.dispatch.IntentIndex
import io.daisybend.dispatch.IntentRecord
import io.daisybend.dispatch.IntentRetention
import io.daisybend.dispatch.RequestFingerprint
import io.daisybend.dispatch.StoredOutcome
import io.daisybend.dispatch.StoredResponse
import io.daisybend.dispatch.StreamEvent
import io.daisybend.dispatch.StreamToken
import io.daisybend.dispatch.TokenStream
import io.daisybend.dispatch.encodeIntentBatch
import io.daisybend.dispatch.requestKeyOf
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import org.HdrHistogram.Histogram
import kotlin.math.ln
import kotlin.random.Random

private const val SEED = 1L
private const val APPEND_DELAY_MS = 5L
private const val SERVICE_TIME_MS = 50L
private const val SIMULATED_MS = 120_000L
private const val TICK_INTERVAL_MS = 5L
private const val RESPONSE_BYTES = 200
private val gateway = GatewayIncarnation(VmId("vm-123"), startId = 1_764_822_000_000L)

/** Prints the costs of the dispatch module at several sizes. */
public fun main() {
    println(
        "group commit, seed $SEED, append $APPEND_DELAY_MS ms, service $SERVICE_TIME_MS ms, $SIMULATED_MS ms simulated",
    )
    println("requests/s partitions interval_ms | appends/s log_bytes/s per_partition_bytes/s p50_ms p99_ms ns/record")
    for (requestsPerSecond in listOf(4, 35, 350, 1_400)) {
        for (partitions in listOf(8, 16, 32, 64)) {
            for (intervalMs in listOf(0L, 40L, 100L)) {
                println(GroupCommitSimulation(requestsPerSecond, partitions, intervalMs).run())
            }
        }
    }
    println("keys | index_bytes bytes/key replay_ns/record")
    listOf(2_000, 20_000, 200_000).forEach { println(measureIndex(it)) }
    println("streams tokens | ns/token")
    listOf(10, 100, 1_000).forEach { println(measureStreams(it)) }
}

/** Simulates one partition and scales its figures to all partitions. */
private class GroupCommitSimulation(
    private val requestsPerSecond: Int,
    private val partitions: Int,
    private val intervalMs: Long,
) {
    private class ScheduledEvent(val atMs: Long, val event: CoordinatorEvent)

    private val random = Random(SEED)
    private val settings = CoordinatorSettings(minAppendIntervalMs = intervalMs)
    private val coordinator = IntentCoordinator(gateway, settings, Random(SEED))
    private val events = java.util.PriorityQueue<ScheduledEvent>(compareBy { it.atMs })
    private val intents = HashMap<AttemptId, IntentRecord.Intent>()
    private val arrivedAtMs = HashMap<AttemptId, Long>()
    private val latencyMs = Histogram(3)
    private var offset = 0L
    private var appends = 0L
    private var appendedBytes = 0L
    private var records = 0L
    private var decisionNanos = 0L

    fun run(): String {
        var nextArrivalMs = 0.0
        val arrivalsPerMs = requestsPerSecond / 1_000.0 / partitions
        for (nowMs in 0L until SIMULATED_MS) {
            while (nextArrivalMs <= nowMs) {
                submitRequest(nowMs)
                nextArrivalMs += -ln(1.0 - random.nextDouble()) / arrivalsPerMs
            }
            while (events.isNotEmpty() && events.peek().atMs <= nowMs) deliver(events.poll().event, nowMs)
            if (nowMs % TICK_INTERVAL_MS == 0L) deliver(CoordinatorEvent.Tick, nowMs)
        }
        return formatResult()
    }

    private fun submitRequest(nowMs: Long) {
        val attemptId = AttemptId(gateway, arrivedAtMs.size.toLong())
        val key = requestKeyOf(TeamId("team-1"), "reservations", attemptId.toString())
        val intent = IntentRecord.Intent(key, RequestFingerprint(key.low, key.high), attemptId)
        intents[attemptId] = intent
        arrivedAtMs[attemptId] = nowMs
        deliver(CoordinatorEvent.WriteRequested(intent), nowMs)
    }

    private fun deliver(event: CoordinatorEvent, nowMs: Long) {
        val startNanos = System.nanoTime()
        val actions = coordinator.handle(event, nowMs)
        decisionNanos += System.nanoTime() - startNanos
        actions.forEach { perform(it, nowMs) }
    }

    private fun perform(action: CoordinatorAction, nowMs: Long) {
        when (action) {
            is CoordinatorAction.Append -> append(action.batch, nowMs)
            is CoordinatorAction.Read -> {
                val batch = LogBatch(emptyList(), firstOffset = 0L, nextOffset = offset)
                events += ScheduledEvent(nowMs + APPEND_DELAY_MS, CoordinatorEvent.RecordsRead(batch))
            }
            is CoordinatorAction.Reply -> handleReply(action, nowMs)
        }
    }

    private fun append(batch: IntentBatch, nowMs: Long) {
        appends++
        records += batch.records.size
        appendedBytes += encodeIntentBatch(batch).size
        events += ScheduledEvent(nowMs + APPEND_DELAY_MS, CoordinatorEvent.Appended(offset++))
    }

    private fun handleReply(reply: CoordinatorAction.Reply, nowMs: Long) {
        if (reply.answer != CoordinatorAnswer.Granted) return
        latencyMs.recordValue(nowMs - arrivedAtMs.getValue(reply.attemptId))
        val intent = intents.getValue(reply.attemptId)
        val response = StoredResponse(201, "application/json", ByteArray(RESPONSE_BYTES))
        val outcome = StoredOutcome(ExecutionStatus.Completed, response)
        val record = IntentRecord.Outcome(intent.key, intent.attemptId, outcome)
        events += ScheduledEvent(nowMs + SERVICE_TIME_MS, CoordinatorEvent.WriteRequested(record))
    }

    private fun formatResult(): String {
        val seconds = SIMULATED_MS / 1_000.0
        return "%10d %10d %11d | %9.1f %11.0f %21.0f %6d %6d %9d".format(
            requestsPerSecond,
            partitions,
            intervalMs,
            appends * partitions / seconds,
            appendedBytes * partitions / seconds,
            appendedBytes / seconds,
            latencyMs.getValueAtPercentile(50.0),
            latencyMs.getValueAtPercentile(99.0),
            decisionNanos / maxOf(records, 1L),
        )
    }
}

private fun measureIndex(keys: Int): String {
    val usedBytesBefore = usedBytes()
    val index = IntentIndex(IntentRetention(maxResponseBytes = 0L))
    val startNanos = System.nanoTime()
    repeat(keys) { number ->
        val attemptId = AttemptId(GatewayIncarnation(VmId("vm-${number % 360}"), 1L), number.toLong())
        val key = requestKeyOf(TeamId("team-1"), "reservations", number.toString())
        val fingerprint = RequestFingerprint(key.low, key.high)
        val outcome = IntentRecord.Outcome(key, attemptId, StoredOutcome(ExecutionStatus.Completed))
        index.replay(IntentBatch(number.toLong(), listOf(IntentRecord.Intent(key, fingerprint, attemptId), outcome)))
    }
    val nanos = System.nanoTime() - startNanos
    val bytes = usedBytes() - usedBytesBefore
    check(index.size == keys) { "expected $keys keys, got ${index.size}" }
    return "%7d | %11d %9d %16d".format(keys, bytes, bytes / keys, nanos / (2L * keys))
}

private fun measureStreams(streams: Int): String {
    val tokensPerStream = 2_000
    val tokenStreams = List(streams) { TokenStream(RequestId("request-$it"), Long.MAX_VALUE, { true }) }
    tokenStreams.forEach { it.handle(StreamEvent.Started, 0L) }
    val startNanos = System.nanoTime()
    for (index in 0 until tokensPerStream) {
        tokenStreams.forEachIndexed { number, stream ->
            val token = StreamToken(RequestId("request-$number"), attempt = 0, index = index, text = "token")
            stream.handle(StreamEvent.TokenReceived(token), index.toLong())
        }
    }
    val tokens = streams * tokensPerStream
    return "%7d %7d | %8d".format(streams, tokens, (System.nanoTime() - startNanos) / tokens)
}

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
