/*
 * Submits one change. The operator hears of success only after the record has been read back and replayed here and
 * most VMs have replayed it. A lost answer is settled by reading the log to its end before anything is appended again;
 * since the change's identifier and precondition stay the same, a record that still arrives late changes nothing.
 */
package io.daisybend.configuration

import io.daisybend.kernel.Failure
import io.daisybend.kernel.LogFailure

/** What a [ChangeSubmitter] is told. */
public sealed interface SubmitterEvent {
    /** Starts the submission. */
    public data object Start : SubmitterEvent

    /** The append took effect at [offset]. */
    public data class Appended(val offset: Long) : SubmitterEvent

    /** The append failed. */
    public data class AppendFailed(val failure: LogFailure) : SubmitterEvent

    /** Time has passed or the follower has read on. */
    public data object Tick : SubmitterEvent
}

/** What a [ChangeSubmitter] asks its runtime to do. */
public sealed interface SubmitterAction {
    /** Append [payload] to the configuration stream. */
    public class Append(public val payload: ByteArray) : SubmitterAction

    /** Have the follower read and tell the others now. */
    public data object RefreshFollower : SubmitterAction

    /** The submission ended. */
    public data class Finish(val result: SubmissionResult) : SubmitterAction
}

/** How a submission ended. */
public sealed interface SubmissionResult {
    /** In force from [revision] on, on this VM and on most others. */
    public data class Accepted(val revision: Long) : SubmissionResult

    /** In the log and in force here from [revision] on; most VMs have not confirmed it yet. */
    public data class RecordedOnly(val revision: Long) : SubmissionResult

    /** Without effect, for good. */
    public data class Refused(val refusal: ChangeRefusal) : SubmissionResult

    /** Ended without an outcome. */
    public data class Failed(val failure: SubmissionFailure) : SubmissionResult
}

/** Why a submission ended without an outcome. */
public sealed interface SubmissionFailure : Failure {
    /** The log took no record of the change: it had no effect. */
    public data class LogUnavailable(override val message: String) : SubmissionFailure

    /** The change may take effect; submit [changeId] again, through any VM, to learn its outcome. */
    public data class OutcomeUnknown(val changeId: ChangeId) : SubmissionFailure {
        override val message: String get() = "expected the record of change '$changeId' to be read back in time"
    }
}

/** What the submitter sees of the follower on its VM. */
public interface FollowerView {
    /** The configuration in force here, or null. */
    public val state: ConfigurationState?

    /** The time up to which every record of the log was read, or null. */
    public val confirmedUntilMs: Long?

    /** Tells whether most VMs have replayed all records before [nextOffset]. */
    public fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean
}

/** Submits the change [changeId], whose records are [payloads], the one with the change last. */
public class ChangeSubmitter(
    private val changeId: ChangeId,
    private val payloads: List<ByteArray>,
    private val follower: FollowerView,
    private val deadlineMs: Long,
    private val retryIntervalMs: Long = DEFAULT_RETRY_INTERVAL_MS,
) {
    private sealed interface Phase {
        data object Idle : Phase

        data object Appending : Phase

        /** Waits until the log has been read to its end from after [lostAtMs] on. */
        data class Settling(val lostAtMs: Long) : Phase

        data class WaitingToRetry(val untilMs: Long) : Phase

        data class ReadingBack(val offset: Long) : Phase

        data object Finished : Phase
    }

    private var phase: Phase = Phase.Idle
    private var position = 0
    private var mayHaveTakenEffect = false
    private var outcomeSeenAtOffset: Long? = null

    /** Takes [event] and returns what to do now. */
    public fun handle(event: SubmitterEvent, nowMs: Long): List<SubmitterAction> {
        if (phase is Phase.Finished) return emptyList()
        val outcome = follower.state?.outcomeOf(changeId)
        if (outcome != null) return finishOrConfirm(outcome, nowMs)
        return when (event) {
            SubmitterEvent.Start -> append()
            is SubmitterEvent.Appended -> appended(event.offset)
            is SubmitterEvent.AppendFailed -> appendFailed(event.failure, nowMs)
            SubmitterEvent.Tick -> tick(nowMs)
        }
    }

    private fun append(): List<SubmitterAction> {
        phase = Phase.Appending
        return listOf(SubmitterAction.Append(payloads[position]))
    }

    private fun appended(offset: Long): List<SubmitterAction> {
        if (phase != Phase.Appending) return emptyList()
        if (position < payloads.lastIndex) {
            position += 1
            return append()
        }
        mayHaveTakenEffect = true
        phase = Phase.ReadingBack(offset)
        return listOf(SubmitterAction.RefreshFollower)
    }

    private fun appendFailed(failure: LogFailure, nowMs: Long): List<SubmitterAction> {
        if (phase != Phase.Appending) return emptyList()
        val isUnknown = failure is LogFailure.OutcomeUnknown
        if (isUnknown && position == payloads.lastIndex) {
            mayHaveTakenEffect = true
            phase = Phase.Settling(nowMs)
            return listOf(SubmitterAction.RefreshFollower)
        }
        phase = Phase.WaitingToRetry(nowMs + retryIntervalMs)
        return emptyList()
    }

    private fun tick(nowMs: Long): List<SubmitterAction> {
        if (nowMs >= deadlineMs) return finish(SubmissionResult.Failed(failureAtDeadline()))
        val waiting = phase
        val isSettled = waiting is Phase.Settling && (follower.confirmedUntilMs ?: Long.MIN_VALUE) > waiting.lostAtMs
        val mayRetry = waiting is Phase.WaitingToRetry && nowMs >= waiting.untilMs
        return when {
            isSettled || mayRetry -> append()
            waiting is Phase.Settling || waiting is Phase.ReadingBack -> listOf(SubmitterAction.RefreshFollower)
            else -> emptyList()
        }
    }

    private fun failureAtDeadline(): SubmissionFailure =
        if (mayHaveTakenEffect || phase == Phase.Appending && position == payloads.lastIndex) {
            SubmissionFailure.OutcomeUnknown(changeId)
        } else {
            SubmissionFailure.LogUnavailable("expected the log to take the change in time, it took none of it")
        }

    private fun finishOrConfirm(outcome: ChangeOutcome, nowMs: Long): List<SubmitterAction> = when (outcome) {
        is ChangeOutcome.Refused -> finish(SubmissionResult.Refused(outcome.refusal))
        is ChangeOutcome.Accepted -> confirm(outcome.revision, nowMs)
    }

    private fun confirm(revision: Long, nowMs: Long): List<SubmitterAction> {
        val seenAt = outcomeSeenAtOffset ?: follower.state?.nextOffset ?: 0
        outcomeSeenAtOffset = seenAt
        return when {
            follower.isReplayedByMajority(seenAt, nowMs) -> finish(SubmissionResult.Accepted(revision))
            nowMs >= deadlineMs -> finish(SubmissionResult.RecordedOnly(revision))
            else -> listOf(SubmitterAction.RefreshFollower)
        }
    }

    private fun finish(result: SubmissionResult): List<SubmitterAction> {
        phase = Phase.Finished
        return listOf(SubmitterAction.Finish(result))
    }

    private companion object {
        const val DEFAULT_RETRY_INTERVAL_MS = 500L
    }
}

/** Returns the records that submit [change] as [changeId]: a large manifest difference is staged in parts first. */
public fun encodeChange(changeId: ChangeId, change: ConfigurationChange): List<ByteArray> {
    val single = encodeRecord(ConfigurationRecord.Change(changeId, change))
    if (change !is ConfigurationChange.ApplyManifest || single.size <= CHUNK_BYTES) return listOf(single)
    val content = compress(encode(ManifestDiff.serializer(), change.diff))
    val contentHash = sha256(content)
    val parts = split(content)
    val staged = parts.mapIndexed { index, part ->
        encodeRecord(ConfigurationRecord.StagedChunk(contentHash, index, parts.size, part))
    }
    val commit = ConfigurationChange.ApplyStagedManifest(change.expectedRevision, contentHash)
    return staged + encodeRecord(ConfigurationRecord.Change(changeId, commit))
}
