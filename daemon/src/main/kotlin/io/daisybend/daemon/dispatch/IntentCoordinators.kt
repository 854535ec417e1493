/*
 * Runs the coordinators of the partitions that this VM ranks first for or received requests for, each under its own
 * lock, and performs their appends and reads. The coordinator of a partition that this VM ranks first for also runs
 * without requests, so that checkpoints are written before records expire.
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
    private class RunningCoordinator(val coordinator: IntentCoordinator) {
        @Volatile
        var lastRequestMs = 0L
    }

    private val runningCoordinators = ConcurrentHashMap<Int, RunningCoordinator>()

    /** Passes [record] to the coordinator of [partition]; ignores unknown partitions and checkpoint parts. */
    fun requestWrite(partition: Int, record: IntentRecord) {
        if (partition !in 0 until INTENT_PARTITION_COUNT || record is IntentRecord.CheckpointPart) return
        runningCoordinatorFor(partition).lastRequestMs = clock.nowMs()
        handleEvent(partition, CoordinatorEvent.WriteRequested(record))
    }

    /** Runs the coordinators of [partitions] and stops others without a request for [IDLE_RETENTION_MS]. */
    fun retainPartitions(partitions: Set<Int>) {
        partitions.forEach { runningCoordinatorFor(it) }
        val oldestRequestMs = clock.nowMs() - IDLE_RETENTION_MS
        runningCoordinators.entries.removeIf { it.key !in partitions && it.value.lastRequestMs < oldestRequestMs }
    }

    /** Sends a tick to each running coordinator. */
    fun tick() = runningCoordinators.keys.forEach { handleEvent(it, CoordinatorEvent.Tick) }

    private fun runningCoordinatorFor(partition: Int): RunningCoordinator =
        runningCoordinators.computeIfAbsent(partition) { RunningCoordinator(IntentCoordinator(incarnation)) }

    private fun handleEvent(partition: Int, event: CoordinatorEvent) {
        val coordinator = runningCoordinatorFor(partition).coordinator
        val actions = synchronized(coordinator) { coordinator.handle(event, clock.nowMs()) }
        actions.forEach { perform(partition, it) }
    }

    private fun perform(partition: Int, action: CoordinatorAction) {
        when (action) {
            is CoordinatorAction.Append -> scope.launch { handleEvent(partition, append(partition, action)) }
            is CoordinatorAction.Read -> scope.launch { handleEvent(partition, read(partition, action.fromOffset)) }
            is CoordinatorAction.Reply -> reply(action.attemptId, action.answer)
        }
    }

    private suspend fun append(partition: Int, action: CoordinatorAction.Append): CoordinatorEvent =
        withLogTimeout { log.append(intentStream(partition), encodeIntentBatch(action.batch)) }.fold(
            success = { CoordinatorEvent.Appended(it) },
            failure = { CoordinatorEvent.AppendFailed(it) },
        )

    private suspend fun read(partition: Int, fromOffset: Long): CoordinatorEvent =
        withLogTimeout { log.read(intentStream(partition), fromOffset, MAX_RECORDS_PER_READ) }.fold(
            success = { CoordinatorEvent.RecordsRead(it) },
            failure = { CoordinatorEvent.ReadFailed(it) },
        )

    private suspend fun <T> withLogTimeout(block: suspend () -> Result<T, LogFailure>): Result<T, LogFailure> =
        withTimeoutOrNull(LOG_TIMEOUT_MS) { block() }
            ?: Err(LogFailure.OutcomeUnknown("expected an answer of the log within $LOG_TIMEOUT_MS ms, got none"))

    private companion object {
        const val IDLE_RETENTION_MS = 60_000L
        const val LOG_TIMEOUT_MS = 5_000L
        const val MAX_RECORDS_PER_READ = 500
    }
}

/** Returns the log stream of the intents in [partition]. */
internal fun intentStream(partition: Int) = LogStream("intents-$partition")
