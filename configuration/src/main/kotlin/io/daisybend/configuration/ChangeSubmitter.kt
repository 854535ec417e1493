/*
 * Submits one change. It reports success only after the record has been read back and replayed on this VM and most VMs
 * have replayed it. After a lost answer it reads the log to its end before it appends again. The change keeps its
 * identifier and precondition across attempts, so a record that arrives late has no further effect.
 */
package io.daisybend.configuration

import io.daisybend.kernel.Failure
import io.daisybend.kernel.LogFailure

/** An event that a [ChangeSubmitter] handles. */
public sealed interface SubmitterEvent {
    /** Starts the submission. */
    public data object Start : SubmitterEvent

    /** The record was appended at [offset]. */
    public data class Appended(val offset: Long) : SubmitterEvent

    /** The append failed. */
    public data class AppendFailed(val failure: LogFailure) : SubmitterEvent

    /** Time has passed or the follower has read more records. */
    public data object Tick : SubmitterEvent
}

/** An action that a [ChangeSubmitter] asks its runtime to perform. */
public sealed interface SubmitterAction {
    /** Append [payload] to the configuration stream. */
    public class Append(public val payload: ByteArray) : SubmitterAction

    /** Make the follower read the log and probe its peers now. */
    public data object RefreshFollower : SubmitterAction

    /** End the submission with [result]. */
    public data class Finish(val result: SubmissionResult) : SubmitterAction
}

/** The result of a submission. */
public sealed interface SubmissionResult {
    /** The change is in force from [revision] on, and most VMs have replayed it. */
    public data class Accepted(val revision: Long) : SubmissionResult

    /** The change is in force on this VM from [revision] on, but most VMs have not confirmed it yet. */
    public data class RecordedOnly(val revision: Long) : SubmissionResult

    /** The change has no effect and never will. */
    public data class Refused(val refusal: ChangeRefusal) : SubmissionResult

    /** The submission ended without an outcome. */
    public data class Failed(val failure: SubmissionFailure) : SubmissionResult
}

/** The reason why a submission ended without an outcome. */
public sealed interface SubmissionFailure : Failure {
    /** The log appended no record of the change, so the change has no effect. */
    public data class LogUnavailable(override val message: String) : SubmissionFailure

    /** The change may take effect; submitting [changeId] again through any VM returns its outcome. */
    public data class OutcomeUnknown(val changeId: ChangeId) : SubmissionFailure {
        override val message: String get() =
            "expected to read back the record of change '$changeId' before the deadline, got none"
    }
}

/** The state of the follower on this VM, as the submitter reads it. */
public interface FollowerView {
    /** The configuration in force on this VM, or null if there is none yet. */
    public val state: ConfigurationState?

    /** The time up to which all records of the log were replayed, or null if unknown. */
    public val confirmedUntilMs: Long?

    /** Returns whether most VMs have replayed all records before [nextOffset]. */
    public fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean
}

/** Submits the change [changeId]; [payloads] are its records, the last of which commits the change. */
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

        /** Waits for a read to the end of the log that began after [answerLostAtMs]. */
        data class AwaitingLogEnd(val answerLostAtMs: Long) : Phase

        data class WaitingToRetry(val retryAtMs: Long) : Phase

        data class ReadingBack(val offset: Long) : Phase

        data object Finished : Phase
    }

    private var phase: Phase = Phase.Idle
    private var payloadIndex = 0
    private var mayHaveTakenEffect = false
    private var outcomeOffset: Long? = null

    /** Handles [event] and returns the actions to perform now. */
    public fun handle(event: SubmitterEvent, nowMs: Long): List<SubmitterAction> {
        if (phase is Phase.Finished) return emptyList()
        val outcome = follower.state?.outcomeOf(changeId)
        if (outcome != null) return handleOutcome(outcome, nowMs)
        return when (event) {
            SubmitterEvent.Start -> appendPayload()
            is SubmitterEvent.Appended -> handleAppended(event.offset)
            is SubmitterEvent.AppendFailed -> handleAppendFailed(event.failure, nowMs)
            SubmitterEvent.Tick -> handleTick(nowMs)
        }
    }

    private fun appendPayload(): List<SubmitterAction> {
        phase = Phase.Appending
        return listOf(SubmitterAction.Append(payloads[payloadIndex]))
    }

    private fun handleAppended(offset: Long): List<SubmitterAction> {
        if (phase != Phase.Appending) return emptyList()
        if (payloadIndex < payloads.lastIndex) {
            payloadIndex += 1
            return appendPayload()
        }
        mayHaveTakenEffect = true
        phase = Phase.ReadingBack(offset)
        return listOf(SubmitterAction.RefreshFollower)
    }

    private fun handleAppendFailed(failure: LogFailure, nowMs: Long): List<SubmitterAction> {
        if (phase != Phase.Appending) return emptyList()
        val isOutcomeUnknown = failure is LogFailure.OutcomeUnknown
        if (isOutcomeUnknown && payloadIndex == payloads.lastIndex) {
            mayHaveTakenEffect = true
            phase = Phase.AwaitingLogEnd(nowMs)
            return listOf(SubmitterAction.RefreshFollower)
        }
        phase = Phase.WaitingToRetry(nowMs + retryIntervalMs)
        return emptyList()
    }

    private fun handleTick(nowMs: Long): List<SubmitterAction> {
        if (nowMs >= deadlineMs) return finish(SubmissionResult.Failed(failureAtDeadline()))
        val currentPhase = phase
        val hasReachedLogEnd = currentPhase is Phase.AwaitingLogEnd &&
            (follower.confirmedUntilMs ?: Long.MIN_VALUE) > currentPhase.answerLostAtMs
        val mayRetry = currentPhase is Phase.WaitingToRetry && nowMs >= currentPhase.retryAtMs
        return when {
            hasReachedLogEnd || mayRetry -> appendPayload()
            currentPhase is Phase.AwaitingLogEnd || currentPhase is Phase.ReadingBack ->
                listOf(SubmitterAction.RefreshFollower)
            else -> emptyList()
        }
    }

    private fun failureAtDeadline(): SubmissionFailure =
        if (mayHaveTakenEffect || phase == Phase.Appending && payloadIndex == payloads.lastIndex) {
            SubmissionFailure.OutcomeUnknown(changeId)
        } else {
            SubmissionFailure.LogUnavailable("expected the log to append the change before the deadline, got no append")
        }

    private fun handleOutcome(outcome: ChangeOutcome, nowMs: Long): List<SubmitterAction> = when (outcome) {
        is ChangeOutcome.Refused -> finish(SubmissionResult.Refused(outcome.refusal))
        is ChangeOutcome.Accepted -> awaitMajority(outcome.revision, nowMs)
    }

    private fun awaitMajority(revision: Long, nowMs: Long): List<SubmitterAction> {
        val requiredOffset = outcomeOffset ?: follower.state?.nextOffset ?: 0
        outcomeOffset = requiredOffset
        return when {
            follower.isReplayedByMajority(requiredOffset, nowMs) -> finish(SubmissionResult.Accepted(revision))
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

/** Encodes [change] as the records that submit it as [changeId]; stages a large manifest difference in chunks first. */
public fun encodeChange(changeId: ChangeId, change: ConfigurationChange): List<ByteArray> {
    val singleRecord = encodeRecord(ConfigurationRecord.Change(changeId, change))
    if (change !is ConfigurationChange.ApplyManifest || singleRecord.size <= CHUNK_BYTES) return listOf(singleRecord)
    val content = compress(encode(ManifestDiff.serializer(), change.diff))
    val contentHash = sha256(content)
    val chunks = split(content)
    val stagedChunks = chunks.mapIndexed { index, chunk ->
        encodeRecord(ConfigurationRecord.StagedChunk(contentHash, index, chunks.size, chunk))
    }
    val commitChange = ConfigurationChange.ApplyStagedManifest(change.expectedRevision, contentHash)
    return stagedChunks + encodeRecord(ConfigurationRecord.Change(changeId, commitChange))
}
