/*
 * Runs the coordinators of the partitions that this VM comes first for or was asked for, each under its own lock, and
 * does their appends and reads. A partition that this VM comes first for is kept also while nobody asks, so that
 * checkpoints are written before records expire.
 */
package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.daisybend.dispatch.AttemptId
import io.daisybend.dispatch.CoordinatorAction
import io.daisybend.dispatch.CoordinatorAnswer
import io.daisybend.dispatch.CoordinatorEvent
import io.daisybend.dispatch.GatewayIncarnation
import io.daisybend.dispatch.INTENT_PARTITION_COUNT
import io.daisybend.dispatch.IntentCoordinator
import io.daisybend.dispatch.IntentRecord
import io.daisybend.dispatch.encodeIntentBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.PlatformLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

internal class IntentCoordinators(
    private val incarnation: GatewayIncarnation,
    private val log: PlatformLog,
    private val scope: CoroutineScope,
    private val clock: MillisClock,
    private val reply: (AttemptId, CoordinatorAnswer) -> Unit,
) {
    private class Running(val coordinator: IntentCoordinator) {
        @Volatile
        var askedAtMs = 0L
    }

    private val running = ConcurrentHashMap<Int, Running>()

    /** Asks the coordinator of [partition] to write [record]; what a gateway may not ask for is ignored. */
    fun request(partition: Int, record: IntentRecord) {
        if (partition !in 0 until INTENT_PARTITION_COUNT || record is IntentRecord.CheckpointPart) return
        runningFor(partition).askedAtMs = clock.nowMs()
        feed(partition, CoordinatorEvent.WriteRequested(record))
    }

    /** Runs the coordinators of [partitions] and ends others that nobody has asked for a while. */
    fun keep(partitions: Set<Int>) {
        partitions.forEach { runningFor(it) }
        val oldestAskMs = clock.nowMs() - KEPT_AFTER_ASK_MS
        running.entries.removeIf { it.key !in partitions && it.value.askedAtMs < oldestAskMs }
    }

    /** Lets the coordinators do what has become due. */
    fun tick() = running.keys.forEach { feed(it, CoordinatorEvent.Tick) }

    private fun runningFor(partition: Int): Running =
        running.computeIfAbsent(partition) { Running(IntentCoordinator(incarnation)) }

    private fun feed(partition: Int, event: CoordinatorEvent) {
        val coordinator = runningFor(partition).coordinator
        val actions = synchronized(coordinator) { coordinator.handle(event, clock.nowMs()) }
        actions.forEach { perform(partition, it) }
    }

    private fun perform(partition: Int, action: CoordinatorAction) {
        when (action) {
            is CoordinatorAction.Append -> scope.launch { feed(partition, append(partition, action)) }
            is CoordinatorAction.Read -> scope.launch { feed(partition, read(partition, action.fromOffset)) }
            is CoordinatorAction.Reply -> reply(action.attemptId, action.answer)
        }
    }

    private suspend fun append(partition: Int, action: CoordinatorAction.Append): CoordinatorEvent =
        answered { log.append(streamOf(partition), encodeIntentBatch(action.batch)) }.fold(
            success = { CoordinatorEvent.Appended(it) },
            failure = { CoordinatorEvent.AppendFailed(it) },
        )

    private suspend fun read(partition: Int, fromOffset: Long): CoordinatorEvent =
        answered { log.read(streamOf(partition), fromOffset, READ_RECORDS) }.fold(
            success = { CoordinatorEvent.RecordsRead(it) },
            failure = { CoordinatorEvent.ReadFailed(it) },
        )

    private suspend fun <T> answered(work: suspend () -> Result<T, LogFailure>): Result<T, LogFailure> =
        withTimeoutOrNull(LOG_TIMEOUT_MS) { work() }
            ?: Err(LogFailure.OutcomeUnknown("expected an answer of the log within $LOG_TIMEOUT_MS ms, got none"))

    private companion object {
        const val KEPT_AFTER_ASK_MS = 60_000L
        const val LOG_TIMEOUT_MS = 5_000L
        const val READ_RECORDS = 500
    }
}

/** Returns the stream of [partition]. */
internal fun streamOf(partition: Int) = LogStream("intents-$partition")
