/*
 * Runs the coordinators of the partitions that this VM was asked for, each under its own lock, and does their appends
 * and reads.
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
import io.daisybend.dispatch.INTENT_PARTITIONS
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
    private val coordinators = ConcurrentHashMap<Int, IntentCoordinator>()

    /** Asks the coordinator of [partition] to write [record]; an unknown partition is ignored. */
    fun request(partition: Int, record: IntentRecord) {
        if (partition in 0 until INTENT_PARTITIONS) feed(partition, CoordinatorEvent.Requested(record))
    }

    /** Lets the coordinators do what has become due. */
    fun tick() = coordinators.keys.forEach { feed(it, CoordinatorEvent.Ticked) }

    private fun feed(partition: Int, event: CoordinatorEvent) {
        val coordinator = coordinators.computeIfAbsent(partition) { IntentCoordinator(incarnation) }
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
        const val LOG_TIMEOUT_MS = 5_000L
        const val READ_RECORDS = 500
    }
}

/** Returns the stream of [partition]. */
internal fun streamOf(partition: Int) = LogStream("intents-$partition")
