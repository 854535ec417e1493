/*
 * The configuration as the result of replaying the configuration stream. Replay is a pure function: every VM replays
 * the same records, so two VMs at the same offset hold the same configuration. The revision only increases.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId
import kotlinx.serialization.Serializable

/** Whether an endpoint is draining; [revision] is that of the last change of its draining. */
@Serializable
public data class DrainState(val endpointId: EndpointId, val draining: Boolean, val revision: Long)

/** The configuration after all records before [nextOffset]. */
@ConsistentCopyVisibility
public data class ConfigurationState internal constructor(
    /** The number of accepted changes. */
    val revision: Long,
    /** The offset of the next record to replay. */
    val nextOffset: Long,
    /** The revision of the last change that applied a manifest or set rates. */
    val manifestRevision: Long,
    val tables: ManifestTables,
    val issuedKeyIds: Set<KeyId>,
    val withdrawnKeyIds: Set<KeyId>,
    internal val teamRevisions: Map<TeamId, Long>,
    internal val drains: Map<EndpointId, DrainState>,
    internal val outcomes: OutcomeWindow,
    internal val staged: StagedContent,
    internal val lastSnapshot: ConfigurationRecord.SnapshotWritten?,
) {
    /** Returns the manifest in force. */
    public fun manifest(): Manifest = tables.toManifest()

    /** Returns the outcome of a recent change, or null if its record was not replayed or its outcome was dropped. */
    public fun outcomeOf(changeId: ChangeId): ChangeOutcome? = outcomes[changeId]

    /** Returns the revision of the last change of [teamId], or 0 if there was none. */
    public fun revisionOf(teamId: TeamId): Long = teamRevisions[teamId] ?: 0

    /** Returns the revision of the last change of the draining of [endpointId], or 0 if there was none. */
    public fun drainRevisionOf(endpointId: EndpointId): Long = drains[endpointId]?.revision ?: 0

    /** Returns whether [endpointId] is draining. */
    public fun isDraining(endpointId: EndpointId): Boolean = drains[endpointId]?.draining == true

    public companion object {
        /** The configuration before the first record. */
        public val INITIAL: ConfigurationState = ConfigurationState(
            revision = 0,
            nextOffset = 0,
            manifestRevision = 0,
            tables = ManifestTables(),
            issuedKeyIds = emptySet(),
            withdrawnKeyIds = emptySet(),
            teamRevisions = emptyMap(),
            drains = emptyMap(),
            outcomes = OutcomeWindow(),
            staged = StagedContent(),
            lastSnapshot = null,
        )
    }
}

/**
 * Returns the state after the record [payload] at [offset]; a malformed record changes only the next offset. Fails with
 * [CodecFailure.NewerFormat] if a newer VM wrote the record.
 */
public fun ConfigurationState.replay(
    offset: Long,
    payload: ByteArray,
): Result<ConfigurationState, CodecFailure.NewerFormat> {
    val decoded = decodeRecord(payload)
    val failure = decoded.getError()
    if (failure is CodecFailure.NewerFormat) return Err(failure)
    val next = when (val record = decoded.get()) {
        null -> this
        is ConfigurationRecord.StagedChunk -> copy(staged = staged.withChunk(record))
        is ConfigurationRecord.SnapshotWritten -> withSnapshotMarker(record)
        is ConfigurationRecord.Change -> if (outcomes[record.changeId] == null) replayNewChange(record) else this
    }
    return Ok(next.copy(nextOffset = offset + 1))
}

/** Returns the state after [change], without recording an outcome; fails with the reason to refuse it. */
public fun ConfigurationState.tryChange(change: ConfigurationChange): Result<ConfigurationState, ChangeRefusal> =
    afterChange(change).map { it.copy(revision = revision + 1) }

private fun ConfigurationState.replayNewChange(record: ConfigurationRecord.Change): ConfigurationState {
    val result = tryChange(record.change)
    val next = result.getOrElse { this }.withoutStaged(record.change)
    val outcome = result.getError()?.let { ChangeOutcome.Refused(it) } ?: ChangeOutcome.Accepted(next.revision)
    return next.copy(outcomes = outcomes.withOutcome(record.changeId, outcome))
}

private fun ConfigurationState.withoutStaged(change: ConfigurationChange): ConfigurationState =
    if (change is ConfigurationChange.ApplyStagedManifest) copy(staged = staged.without(change.contentHash)) else this

private fun ConfigurationState.withSnapshotMarker(record: ConfigurationRecord.SnapshotWritten): ConfigurationState {
    val isNewer = record.nextOffset > (lastSnapshot?.nextOffset ?: -1) && record.nextOffset <= nextOffset
    return if (isNewer) copy(lastSnapshot = record) else this
}

private fun ConfigurationState.afterChange(change: ConfigurationChange): Result<ConfigurationState, ChangeRefusal> =
    when (change) {
        is ConfigurationChange.ApplyManifest -> withDiff(change.expectedRevision) { Ok(change.diff) }
        is ConfigurationChange.ApplyStagedManifest ->
            withDiff(change.expectedRevision) { staged.assembleDiff(change.contentHash) }
        is ConfigurationChange.IssueKey -> withIssuedKey(change.key)
        is ConfigurationChange.WithdrawKey -> withWithdrawnKey(change.keyId)
        is ConfigurationChange.SetRates -> withRates(change)
        is ConfigurationChange.SetDraining -> withDraining(change)
    }

private fun ConfigurationState.withDiff(
    expectedRevision: Long,
    diffOf: () -> Result<ManifestDiff, ChangeRefusal>,
): Result<ConfigurationState, ChangeRefusal> {
    if (expectedRevision != manifestRevision) return Err(conflict("manifest", expectedRevision, manifestRevision))
    val diff = diffOf().getOrElse { return Err(it) }
    val nextWithdrawnKeyIds = if (diff.removeKeyIds.isEmpty()) withdrawnKeyIds else withdrawnKeyIds + diff.removeKeyIds
    val nextTables = tables.with(diff)
    val problems = validateManifest(nextTables.toManifest(), nextWithdrawnKeyIds)
    if (problems.isNotEmpty()) return Err(invalidResult(problems))
    val next = revision + 1
    val changedTeams = (diff.putTeams.map { it.teamId } + diff.removeTeamIds).associateWith { next }
    val endedDrains = diff.removeEndpointIds.filter { it in drains }
        .associateWith { DrainState(it, draining = false, revision = next) }
    return Ok(
        copy(
            tables = nextTables,
            manifestRevision = next,
            withdrawnKeyIds = nextWithdrawnKeyIds,
            issuedKeyIds = issuedKeyIds - diff.removeKeyIds.toSet(),
            teamRevisions = teamRevisions + changedTeams,
            drains = drains + endedDrains,
        ),
    )
}

private fun ConfigurationState.withIssuedKey(key: KeySpec): Result<ConfigurationState, ChangeRefusal> {
    val problems = keyProblems("key", key)
    val refusal = when {
        key.keyId in withdrawnKeyIds -> ChangeRefusal.KeyIdUsed(key.keyId, withdrawn = true)
        key.keyId in tables.keys -> ChangeRefusal.KeyIdUsed(key.keyId, withdrawn = false)
        key.teamId !in tables.teams -> ChangeRefusal.UnknownSubject("team", key.teamId.value)
        problems.isNotEmpty() -> invalidResult(problems)
        else -> null
    }
    if (refusal != null) return Err(refusal)
    val keys = tables.keys + (key.keyId to key)
    return Ok(copy(tables = tables.copy(keys = keys), issuedKeyIds = issuedKeyIds + key.keyId))
}

private fun ConfigurationState.withWithdrawnKey(keyId: KeyId): Result<ConfigurationState, ChangeRefusal> {
    if (keyId in withdrawnKeyIds) return Err(ChangeRefusal.KeyIdUsed(keyId, withdrawn = true))
    if (keyId !in tables.keys) return Err(ChangeRefusal.UnknownSubject("key", keyId.value))
    return Ok(
        copy(
            tables = tables.copy(keys = tables.keys - keyId),
            issuedKeyIds = issuedKeyIds - keyId,
            withdrawnKeyIds = withdrawnKeyIds + keyId,
        ),
    )
}

private fun ConfigurationState.withRates(
    change: ConfigurationChange.SetRates,
): Result<ConfigurationState, ChangeRefusal> {
    val team = tables.teams[change.teamId] ?: return Err(ChangeRefusal.UnknownSubject("team", change.teamId.value))
    val current = revisionOf(change.teamId)
    if (change.expectedRevision != current) {
        return Err(conflict("team ${change.teamId}", change.expectedRevision, current))
    }
    val problems = rateProblems("team", change.rateTokensPerSecond, change.burstTokens)
    if (problems.isNotEmpty()) return Err(invalidResult(problems))
    val changedTeam = team.copy(rateTokensPerSecond = change.rateTokensPerSecond, burstTokens = change.burstTokens)
    return Ok(
        copy(
            tables = tables.copy(teams = tables.teams + (change.teamId to changedTeam)),
            manifestRevision = revision + 1,
            teamRevisions = teamRevisions + (change.teamId to revision + 1),
        ),
    )
}

private fun ConfigurationState.withDraining(
    change: ConfigurationChange.SetDraining,
): Result<ConfigurationState, ChangeRefusal> {
    val id = change.endpointId
    if (id !in tables.endpoints) return Err(ChangeRefusal.UnknownSubject("endpoint", id.value))
    val current = drainRevisionOf(id)
    if (change.expectedRevision != current) return Err(conflict("endpoint $id", change.expectedRevision, current))
    return Ok(copy(drains = drains + (id to DrainState(id, change.draining, revision + 1))))
}

private fun conflict(subject: String, expectedRevision: Long, currentRevision: Long) =
    ChangeRefusal.RevisionConflict(subject, expectedRevision, currentRevision)

private fun invalidResult(problems: List<ManifestProblem>) =
    ChangeRefusal.InvalidResult(problems.size, problems.take(MAX_RECORDED_PROBLEMS))

private const val MAX_RECORDED_PROBLEMS = 10
