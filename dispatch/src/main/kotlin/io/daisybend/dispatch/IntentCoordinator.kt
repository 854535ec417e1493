/*
 * Records intents, outcomes and abandonments of one partition in its stream and says who may dispatch. Concurrent
 * records share an append (group commit); outcomes wait a little for an intent to ride with.
 *
 * Any number of coordinators may work on a partition at once: permission to dispatch follows from the replay of the
 * stream up to the own record, never from the coordinator's own state. An append that is answered with the next
 * expected offset proves that no foreign record lies before it, so the batch is applied without being read. After any
 * other answer, or none, the stream is read to its end; what is not found there is appended again, which is harmless
 * because repeated records change nothing.
 *
 * An index that has not been compared with the end of the stream for a while is read on before it is believed about an
 * open attempt, which another coordinator may have seen abandoned.
 *
 * While the log does not answer, intents are refused at once and the log is tried with exponential backoff.
 */
package io.daisybend.dispatch

import com.github.michaelbull.result.get
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** What a coordinator says about a record that it was asked to write. */
@Serializable
public sealed interface CoordinatorAnswer {
    /** The attempt is the only one of its key that may be dispatched. */
    @Serializable
    @SerialName("granted")
    public data object Granted : CoordinatorAnswer

    /** Another attempt came first; [outcome] is absent while it has not ended. */
    @Serializable
    @SerialName("already_recorded")
    public data class AlreadyRecorded(val winner: AttemptId, val outcome: StoredOutcome?) : CoordinatorAnswer

    /** The outcome or abandonment is in the stream. */
    @Serializable
    @SerialName("confirmed")
    public data object Confirmed : CoordinatorAnswer

    /** The record is not known to be in the stream; it may be there or get there when [mayBeRecorded]. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val refusal: CallRefusal, val mayBeRecorded: Boolean = false) : CoordinatorAnswer
}

/** Whether no later record can make the answer wrong; an open attempt may be abandoned, which frees its key. */
internal val CoordinatorAnswer.isFinal: Boolean
    get() = when (this) {
        is CoordinatorAnswer.AlreadyRecorded -> outcome != null
        is CoordinatorAnswer.Refused -> refusal !is CallRefusal.KeyConflict
        else -> true
    }

/** What happens to a coordinator. */
public sealed interface CoordinatorEvent {
    /** A gateway asks for [record] to be written. */
    public data class WriteRequested(val record: IntentRecord) : CoordinatorEvent

    /** The append took effect at [offset]. */
    public data class Appended(val offset: Long) : CoordinatorEvent

    /** The append failed, maybe after taking effect. */
    public data class AppendFailed(val failure: LogFailure) : CoordinatorEvent

    /** Records came. */
    public class RecordsRead(public val batch: LogBatch) : CoordinatorEvent

    /** The read failed. */
    public data class ReadFailed(val failure: LogFailure) : CoordinatorEvent

    /** Time passed. */
    public data object Tick : CoordinatorEvent
}

/** What a coordinator wants done; at most one append or read is under way at a time. */
public sealed interface CoordinatorAction {
    /** Append [batch] to the stream of the partition and report the answer. */
    public data class Append(val batch: IntentBatch) : CoordinatorAction

    /** Read the stream of the partition and report the records. */
    public data class Read(val fromOffset: Long) : CoordinatorAction

    /** Tell the gateway of [attemptId]. */
    public data class Reply(val attemptId: AttemptId, val answer: CoordinatorAnswer) : CoordinatorAction
}

/** Limits and times of an [IntentCoordinator]. */
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

/** Coordinates one partition for [writer]; not safe for use by several threads. */
public class IntentCoordinator(
    private val writer: GatewayIncarnation,
    private val settings: CoordinatorSettings = CoordinatorSettings(),
    private val random: Random = Random.Default,
) {
    private enum class Io { IDLE, APPENDING, READING }

    private val index = IntentIndex(settings.retention)
    private val pending = LinkedHashSet<IntentRecord>()
    private val checkpointParts = ArrayDeque<IntentRecord.CheckpointPart>()
    private var inFlight: IntentBatch? = null
    private var inFlightIsRecorded = false
    private var io = Io.IDLE
    private var caughtUp = false
    private var failures = 0
    private var retryAtMs = Long.MIN_VALUE
    private var nextAppendAtMs = Long.MIN_VALUE
    private var pendingSinceMs = 0L
    private var checkpointDueAtMs: Long? = null
    private var atEndMs = 0L
    private var rereadAtMs = Long.MIN_VALUE
    private var markerNeeded = false
    private var actions = mutableListOf<CoordinatorAction>()

    /** The number of keys in the index. */
    public val keyCount: Int get() = index.size

    /** Returns what to do after [event]. */
    public fun handle(event: CoordinatorEvent, nowMs: Long): List<CoordinatorAction> {
        actions = mutableListOf()
        when (event) {
            is CoordinatorEvent.WriteRequested -> request(event.record, nowMs)
            is CoordinatorEvent.Appended -> appended(event.offset, nowMs)
            is CoordinatorEvent.AppendFailed -> appendFailed(event.failure, nowMs)
            is CoordinatorEvent.RecordsRead -> recordsRead(event.batch, nowMs)
            is CoordinatorEvent.ReadFailed -> readFailed(event.failure, nowMs)
            CoordinatorEvent.Tick -> Unit
        }
        continueIo(nowMs)
        return actions
    }

    private fun request(record: IntentRecord, nowMs: Long) {
        val decided = index.decide(record)
        val answer = decided?.takeUnless { isOutdated(it, nowMs) } ?: refusal(record, nowMs)
        if (answer != null) return reply(record, answer)
        if (record in pending || inFlight?.records?.contains(record) == true) return
        if (decided != null) caughtUp = false
        enqueue(record, nowMs)
    }

    private fun isOutdated(answer: CoordinatorAnswer, nowMs: Long): Boolean =
        !answer.isFinal && nowMs >= maxOf(retryAtMs, atEndMs + settings.maxStalenessMs)

    private fun enqueue(record: IntentRecord, nowMs: Long) {
        if (pending.isEmpty()) pendingSinceMs = nowMs
        pending += record
    }

    private fun refusal(record: IntentRecord, nowMs: Long): CoordinatorAnswer? =
        when {
            nowMs < retryAtMs -> CallRefusal.LogUnavailable
            pending.size >= settings.maxPendingRecords -> CallRefusal.Overloaded(settings.maxPendingRecords)
            record !is IntentRecord.Intent -> null
            caughtUp && !index.isComplete -> CallRefusal.HistoryIncomplete
            index.size >= settings.maxKeys -> CallRefusal.TooManyKeys(settings.maxKeys)
            else -> null
        }?.let { CoordinatorAnswer.Refused(it) }

    private fun appended(offset: Long, nowMs: Long) {
        val batch = inFlight ?: return
        io = Io.IDLE
        failures = 0
        inFlightIsRecorded = true
        if (caughtUp && offset == index.nextOffset) {
            index.replay(batch)
            atEndMs = nowMs
            settleInFlight()
        } else {
            caughtUp = false
        }
    }

    private fun settleInFlight() {
        val batch = inFlight ?: return
        inFlight = null
        for (record in batch.records) settleRecord(record)
    }

    private fun settleRecord(record: IntentRecord) {
        val answer = index.decide(record)
        when {
            record is IntentRecord.CheckpointPart -> Unit
            answer != null -> reply(record, answer)
            !inFlightIsRecorded -> pending += record
            record is IntentRecord.Intent -> refuse(record, CallRefusal.HistoryIncomplete, mayBeRecorded = true)
            else -> reply(record, CoordinatorAnswer.Confirmed)
        }
    }

    private fun appendFailed(failure: LogFailure, nowMs: Long) {
        io = Io.IDLE
        failures++
        val delayMs = settings.backoff.delayMs(failures, random)
        if (failure is LogFailure.OutcomeUnknown) {
            inFlightIsRecorded = false
            caughtUp = false
            nextAppendAtMs = nowMs + delayMs
        } else {
            retryAtMs = nowMs + delayMs
            refuseAll(mayBeRecorded = false)
        }
    }

    private fun readFailed(failure: LogFailure, nowMs: Long) {
        io = Io.IDLE
        if (failure is LogFailure.Expired) {
            index.restartAt(failure.firstOffset)
        } else {
            failures++
            retryAtMs = nowMs + settings.backoff.delayMs(failures, random)
            refuseAll(mayBeRecorded = true)
        }
    }

    private fun refuseAll(mayBeRecorded: Boolean) {
        val refused = inFlight?.records.orEmpty() + pending
        inFlight = null
        pending.clear()
        checkpointParts.clear()
        for (record in refused) {
            reply(record, index.decide(record) ?: CoordinatorAnswer.Refused(CallRefusal.LogUnavailable, mayBeRecorded))
        }
    }

    private fun recordsRead(batch: LogBatch, nowMs: Long) {
        io = Io.IDLE
        failures = 0
        if (batch.firstOffset > index.nextOffset) return index.restartAt(batch.firstOffset)
        for (record in batch.records) {
            if (record.offset == index.nextOffset) index.replay(decodeIntentBatch(record.payload).get())
        }
        if (index.nextOffset >= batch.nextOffset) reachedEnd(nowMs)
    }

    private fun reachedEnd(nowMs: Long) {
        caughtUp = true
        atEndMs = nowMs
        index.tryComplete(nowMs)
        settleInFlight()
        if (index.isComplete) return
        rereadAtMs = nowMs + settings.backoff.maxMs
        markerNeeded = index.hasOnlyExpiredRecords
        val intents = pending.filterIsInstance<IntentRecord.Intent>()
        pending.removeAll(intents.toSet())
        for (intent in intents) refuse(intent, CallRefusal.HistoryIncomplete, mayBeRecorded = true)
    }

    private fun continueIo(nowMs: Long) {
        if (io != Io.IDLE || nowMs < retryAtMs) return
        index.tryComplete(nowMs)
        if (!caughtUp || !index.isComplete && nowMs >= rereadAtMs) return startRead()
        answerPending()
        scheduleCheckpoint(nowMs)
        if (appendIsDue(nowMs)) startAppend(nowMs)
    }

    private fun startRead() {
        io = Io.READING
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
        val lingered = pending.isNotEmpty() && nowMs >= pendingSinceMs + settings.outcomeLingerMs
        return lingered || markerNeeded || checkpointParts.isNotEmpty() || pending.any { it is IntentRecord.Intent }
    }

    private fun startAppend(nowMs: Long) {
        val records = pending.take(settings.maxBatchRecords)
        pending.removeAll(records.toSet())
        pendingSinceMs = nowMs
        markerNeeded = false
        nextAppendAtMs = nowMs + settings.minAppendIntervalMs
        val batch = IntentBatch(nowMs, records + listOfNotNull(checkpointParts.removeFirstOrNull()))
        inFlight = batch
        io = Io.APPENDING
        actions += CoordinatorAction.Append(batch)
    }

    private fun refuse(record: IntentRecord, refusal: CallRefusal, mayBeRecorded: Boolean) =
        reply(record, CoordinatorAnswer.Refused(refusal, mayBeRecorded))

    private fun reply(record: IntentRecord, answer: CoordinatorAnswer) {
        val attemptId = record.attemptIdOrNull ?: return
        actions += CoordinatorAction.Reply(attemptId, answer)
    }
}
