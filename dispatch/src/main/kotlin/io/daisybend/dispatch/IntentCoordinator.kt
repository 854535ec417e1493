/*
 * Records the intents, outcomes and abandonments of one partition in its stream and decides which attempt may be
 * dispatched. Concurrent records share one append (group commit); outcomes and abandonments linger briefly to share an
 * append with an intent.
 *
 * Several coordinators may work on the same partition at once, because permission to dispatch is derived only from the
 * replay of the stream up to the submitted record, never from the coordinator's own state. If an append returns the
 * next expected offset, no record of another coordinator precedes it, so the batch is applied without reading it back.
 * Otherwise the stream is read to its end. After an append with unknown outcome, records that are not found there are
 * appended again, which is harmless because duplicate records have no effect.
 *
 * If the index was not compared with the end of the stream for maxStalenessMs, the stream is read again before an
 * answer about an open attempt is given, because another coordinator may have recorded its abandonment since.
 *
 * While the log is unavailable, records that the index cannot answer are refused immediately, and the log is retried
 * with exponential backoff.
 */
package io.daisybend.dispatch

import com.github.michaelbull.result.get
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** The answer of a coordinator to a submitted record. */
@Serializable
public sealed interface CoordinatorAnswer {
    /** The attempt may be dispatched, and no other attempt of its key may. */
    @Serializable
    @SerialName("granted")
    public data object Granted : CoordinatorAnswer

    /** The attempt [winner] was recorded first or has already ended; [outcome] is null while it has not ended. */
    @Serializable
    @SerialName("already_recorded")
    public data class AlreadyRecorded(val winner: AttemptId, val outcome: StoredOutcome?) : CoordinatorAnswer

    /** The stream contains the outcome or abandonment. */
    @Serializable
    @SerialName("confirmed")
    public data object Confirmed : CoordinatorAnswer

    /** The record was refused; if [mayBeRecorded], the stream may still contain it now or later. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val refusal: CallRefusal, val mayBeRecorded: Boolean = false) : CoordinatorAnswer
}

/** Whether no later record can invalidate the answer; abandoning an open attempt releases its key. */
internal val CoordinatorAnswer.isFinal: Boolean
    get() = when (this) {
        is CoordinatorAnswer.AlreadyRecorded -> outcome != null
        is CoordinatorAnswer.Refused -> refusal !is CallRefusal.KeyConflict
        else -> true
    }

/** An input of an [IntentCoordinator]. */
public sealed interface CoordinatorEvent {
    /** A gateway submitted [record]. */
    public data class WriteRequested(val record: IntentRecord) : CoordinatorEvent

    /** The batch was appended at [offset]. */
    public data class Appended(val offset: Long) : CoordinatorEvent

    /** The append failed; the batch may have been appended if [failure] is [LogFailure.OutcomeUnknown]. */
    public data class AppendFailed(val failure: LogFailure) : CoordinatorEvent

    /** The read returned [batch]. */
    public class RecordsRead(public val batch: LogBatch) : CoordinatorEvent

    /** The read failed. */
    public data class ReadFailed(val failure: LogFailure) : CoordinatorEvent

    /** Periodic event that evaluates timeouts and retries. */
    public data object Tick : CoordinatorEvent
}

/** An action that the owner of a coordinator has to perform; at most one append or read is in progress at a time. */
public sealed interface CoordinatorAction {
    /** Append [batch] to the stream of the partition and report the result. */
    public data class Append(val batch: IntentBatch) : CoordinatorAction

    /** Read the stream of the partition from [fromOffset] and report the records. */
    public data class Read(val fromOffset: Long) : CoordinatorAction

    /** Send [answer] to the gateway of [attemptId]. */
    public data class Reply(val attemptId: AttemptId, val answer: CoordinatorAnswer) : CoordinatorAction
}

/** Intervals and limits of an [IntentCoordinator]. */
public data class CoordinatorSettings(
    val minAppendIntervalMs: Long = 100L,
    val outcomeLingerMs: Long = 250L,
    val maxStalenessMs: Long = 1_000L,
    val maxBatchRecords: Int = 64,
    val maxPendingRecords: Int = 4_096,
    val maxKeys: Int = 200_000,
    val checkpointIntervalMs: Long = 200_000L,
    val checkpointEntriesPerPart: Int = 200,
    val backoff: Backoff = Backoff(baseMs = 200L, maxMs = 5_000L),
    val retention: IntentRetention = IntentRetention(),
)

/** Coordinates one partition on behalf of the process [writer]; not thread-safe. */
public class IntentCoordinator(
    private val writer: GatewayIncarnation,
    private val settings: CoordinatorSettings = CoordinatorSettings(),
    private val random: Random = Random.Default,
) {
    private enum class IoState { IDLE, APPENDING, READING }

    private val index = IntentIndex(settings.retention)
    private val pending = LinkedHashSet<IntentRecord>()
    private val checkpointParts = ArrayDeque<IntentRecord.CheckpointPart>()
    private var inFlightBatch: IntentBatch? = null
    private var isInFlightRecorded = false
    private var ioState = IoState.IDLE
    private var isCaughtUp = false
    private var consecutiveFailures = 0
    private var retryAtMs = Long.MIN_VALUE
    private var nextAppendAtMs = Long.MIN_VALUE
    private var pendingSinceMs = 0L
    private var checkpointDueAtMs: Long? = null
    private var caughtUpAtMs = 0L
    private var nextReadAtMs = Long.MIN_VALUE
    private var needsMarker = false
    private var actions = mutableListOf<CoordinatorAction>()

    /** The number of keys in the index. */
    public val keyCount: Int get() = index.size

    /** Applies [event] and returns the resulting actions. */
    public fun handle(event: CoordinatorEvent, nowMs: Long): List<CoordinatorAction> {
        actions = mutableListOf()
        when (event) {
            is CoordinatorEvent.WriteRequested -> onWriteRequested(event.record, nowMs)
            is CoordinatorEvent.Appended -> onAppended(event.offset, nowMs)
            is CoordinatorEvent.AppendFailed -> onAppendFailed(event.failure, nowMs)
            is CoordinatorEvent.RecordsRead -> onRecordsRead(event.batch, nowMs)
            is CoordinatorEvent.ReadFailed -> onReadFailed(event.failure, nowMs)
            CoordinatorEvent.Tick -> Unit
        }
        startNextIo(nowMs)
        return actions
    }

    private fun onWriteRequested(record: IntentRecord, nowMs: Long) {
        val decision = index.decide(record)
        val answer = decision?.takeUnless { isStale(it, nowMs) } ?: refusalFor(record, nowMs)
        if (answer != null) return reply(record, answer)
        if (record in pending || inFlightBatch?.records?.contains(record) == true) return
        if (decision != null) isCaughtUp = false
        enqueue(record, nowMs)
    }

    private fun isStale(answer: CoordinatorAnswer, nowMs: Long): Boolean =
        !answer.isFinal && nowMs >= maxOf(retryAtMs, caughtUpAtMs + settings.maxStalenessMs)

    private fun enqueue(record: IntentRecord, nowMs: Long) {
        if (pending.isEmpty()) pendingSinceMs = nowMs
        pending += record
    }

    private fun refusalFor(record: IntentRecord, nowMs: Long): CoordinatorAnswer? =
        when {
            nowMs < retryAtMs -> CallRefusal.LogUnavailable
            pending.size >= settings.maxPendingRecords -> CallRefusal.Overloaded(settings.maxPendingRecords)
            record !is IntentRecord.Intent -> null
            isCaughtUp && !index.isComplete -> CallRefusal.HistoryIncomplete
            index.size >= settings.maxKeys -> CallRefusal.TooManyKeys(settings.maxKeys)
            else -> null
        }?.let { CoordinatorAnswer.Refused(it) }

    private fun onAppended(offset: Long, nowMs: Long) {
        val batch = inFlightBatch ?: return
        ioState = IoState.IDLE
        consecutiveFailures = 0
        isInFlightRecorded = true
        if (isCaughtUp && offset == index.nextOffset) {
            index.replay(batch)
            caughtUpAtMs = nowMs
            resolveInFlight()
        } else {
            isCaughtUp = false
        }
    }

    private fun resolveInFlight() {
        val batch = inFlightBatch ?: return
        inFlightBatch = null
        for (record in batch.records) resolveRecord(record)
    }

    private fun resolveRecord(record: IntentRecord) {
        val answer = index.decide(record)
        when {
            record is IntentRecord.CheckpointPart -> Unit
            answer != null -> reply(record, answer)
            !isInFlightRecorded -> pending += record
            record is IntentRecord.Intent -> refuse(record, CallRefusal.HistoryIncomplete, mayBeRecorded = true)
            else -> reply(record, CoordinatorAnswer.Confirmed)
        }
    }

    private fun onAppendFailed(failure: LogFailure, nowMs: Long) {
        ioState = IoState.IDLE
        consecutiveFailures++
        val delayMs = settings.backoff.delayMs(consecutiveFailures, random)
        if (failure is LogFailure.OutcomeUnknown) {
            isInFlightRecorded = false
            isCaughtUp = false
            nextAppendAtMs = nowMs + delayMs
        } else {
            retryAtMs = nowMs + delayMs
            refuseAll(mayBeRecorded = false)
        }
    }

    private fun onReadFailed(failure: LogFailure, nowMs: Long) {
        ioState = IoState.IDLE
        if (failure is LogFailure.Expired) {
            index.restartAt(failure.firstOffset)
        } else {
            consecutiveFailures++
            retryAtMs = nowMs + settings.backoff.delayMs(consecutiveFailures, random)
            refuseAll(mayBeRecorded = true)
        }
    }

    private fun refuseAll(mayBeRecorded: Boolean) {
        val refusedRecords = inFlightBatch?.records.orEmpty() + pending
        inFlightBatch = null
        pending.clear()
        checkpointParts.clear()
        for (record in refusedRecords) {
            reply(record, index.decide(record) ?: CoordinatorAnswer.Refused(CallRefusal.LogUnavailable, mayBeRecorded))
        }
    }

    private fun onRecordsRead(batch: LogBatch, nowMs: Long) {
        ioState = IoState.IDLE
        consecutiveFailures = 0
        if (batch.firstOffset > index.nextOffset) return index.restartAt(batch.firstOffset)
        for (record in batch.records) {
            if (record.offset == index.nextOffset) index.replay(decodeIntentBatch(record.payload).get())
        }
        if (index.nextOffset >= batch.nextOffset) onEndReached(nowMs)
    }

    private fun onEndReached(nowMs: Long) {
        isCaughtUp = true
        caughtUpAtMs = nowMs
        index.tryComplete(nowMs)
        resolveInFlight()
        if (index.isComplete) return
        nextReadAtMs = nowMs + settings.backoff.maxMs
        needsMarker = index.hasOnlyExpiredRecords
        val intents = pending.filterIsInstance<IntentRecord.Intent>()
        pending.removeAll(intents.toSet())
        for (intent in intents) refuse(intent, CallRefusal.HistoryIncomplete, mayBeRecorded = true)
    }

    private fun startNextIo(nowMs: Long) {
        if (ioState != IoState.IDLE || nowMs < retryAtMs) return
        index.tryComplete(nowMs)
        if (!isCaughtUp || !index.isComplete && nowMs >= nextReadAtMs) return startRead()
        answerPending()
        scheduleCheckpoint(nowMs)
        if (appendIsDue(nowMs)) startAppend(nowMs)
    }

    private fun startRead() {
        ioState = IoState.READING
        actions += CoordinatorAction.Read(index.nextOffset)
    }

    private fun answerPending() {
        val undecided = pending.filter { record ->
            val answer = index.decide(record)
            if (answer != null) reply(record, answer)
            answer == null
        }
        pending.clear()
        pending += undecided
    }

    private fun scheduleCheckpoint(nowMs: Long) {
        if (!index.isComplete || index.nextOffset == 0L || checkpointParts.isNotEmpty()) return
        val dueAtMs = checkpointDueAtMs ?: nowMs.also { checkpointDueAtMs = nextCheckpointAfter(it) }
        if (nowMs < maxOf(dueAtMs, index.lastCheckpointAtMs + settings.checkpointIntervalMs / 2)) return
        checkpointDueAtMs = nextCheckpointAfter(nowMs)
        checkpointParts += index.checkpoint(writer, settings.checkpointEntriesPerPart)
    }

    private fun nextCheckpointAfter(nowMs: Long): Long =
        nowMs + settings.checkpointIntervalMs / 2 + random.nextLong(settings.checkpointIntervalMs / 2)

    private fun appendIsDue(nowMs: Long): Boolean {
        if (nowMs < nextAppendAtMs) return false
        val hasLingered = pending.isNotEmpty() && nowMs >= pendingSinceMs + settings.outcomeLingerMs
        return hasLingered || needsMarker || checkpointParts.isNotEmpty() || pending.any { it is IntentRecord.Intent }
    }

    private fun startAppend(nowMs: Long) {
        val records = pending.take(settings.maxBatchRecords)
        pending.removeAll(records.toSet())
        pendingSinceMs = nowMs
        needsMarker = false
        nextAppendAtMs = nowMs + settings.minAppendIntervalMs
        val batch = IntentBatch(nowMs, records + listOfNotNull(checkpointParts.removeFirstOrNull()))
        inFlightBatch = batch
        ioState = IoState.APPENDING
        actions += CoordinatorAction.Append(batch)
    }

    private fun refuse(record: IntentRecord, refusal: CallRefusal, mayBeRecorded: Boolean) =
        reply(record, CoordinatorAnswer.Refused(refusal, mayBeRecorded))

    private fun reply(record: IntentRecord, answer: CoordinatorAnswer) {
        val attemptId = record.attemptIdOrNull ?: return
        actions += CoordinatorAction.Reply(attemptId, answer)
    }
}
