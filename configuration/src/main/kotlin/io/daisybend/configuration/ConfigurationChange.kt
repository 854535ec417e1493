/*
 * The records of the configuration stream and what becomes of each. Every change carries the precondition under which
 * it was decided, so that of two operators who race one wins and the other gets a typed conflict on every VM alike, and
 * so that a record appended twice, however late, takes effect at most once.
 */
package io.daisybend.configuration

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure
import io.daisybend.kernel.TeamId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies a change over all attempts to submit it. */
@JvmInline
@Serializable
public value class ChangeId(public val value: String) {
    override fun toString(): String = value
}

/** The lower-case hexadecimal SHA-256 of a content. */
@JvmInline
@Serializable
public value class ContentHash(public val hex: String) {
    override fun toString(): String = hex
}

/** One record of the configuration stream. */
@Serializable
public sealed interface ConfigurationRecord {
    /** Part [index] of [count] of a manifest difference that is too large for one record. */
    @Serializable
    @SerialName("staged")
    public class StagedChunk(
        public val contentHash: ContentHash,
        public val index: Int,
        public val count: Int,
        public val content: ByteArray,
    ) : ConfigurationRecord

    /** A change that an operator decided. */
    @Serializable
    @SerialName("change")
    public data class Change(val changeId: ChangeId, val change: ConfigurationChange) : ConfigurationRecord

    /** Says that a whole snapshot of the state before [nextOffset] stands in the snapshot stream. */
    @Serializable
    @SerialName("snapshot")
    public data class SnapshotWritten(val nextOffset: Long, val writtenAtMs: Long) : ConfigurationRecord
}

/** What an operator decided. */
@Serializable
public sealed interface ConfigurationChange {
    /** Applies [diff] if no manifest or rate has changed since [expectedRevision]. */
    @Serializable
    @SerialName("apply")
    public data class ApplyManifest(val expectedRevision: Long, val diff: ManifestDiff) : ConfigurationChange

    /** Applies the staged difference [contentHash] if no manifest or rate has changed since [expectedRevision]. */
    @Serializable
    @SerialName("applyStaged")
    public data class ApplyStagedManifest(
        val expectedRevision: Long,
        val contentHash: ContentHash,
    ) : ConfigurationChange

    /** Adds a key under an identifier that was never used. */
    @Serializable
    @SerialName("issueKey")
    public data class IssueKey(val key: KeySpec) : ConfigurationChange

    /** Withdraws a key for good. */
    @Serializable
    @SerialName("withdrawKey")
    public data class WithdrawKey(val keyId: KeyId) : ConfigurationChange

    /** Sets a team's rate and burst if the team has not changed since [expectedRevision]. */
    @Serializable
    @SerialName("setRates")
    public data class SetRates(
        val expectedRevision: Long,
        val teamId: TeamId,
        val rateTokensPerSecond: Long,
        val burstTokens: Long,
    ) : ConfigurationChange

    /** Starts or ends the draining of an endpoint if it has not changed since [expectedRevision]. */
    @Serializable
    @SerialName("setDraining")
    public data class SetDraining(
        val expectedRevision: Long,
        val endpointId: EndpointId,
        val draining: Boolean,
    ) : ConfigurationChange
}

/** What became of a change. */
@Serializable
public sealed interface ChangeOutcome {
    /** The change is in force from [revision] on. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val revision: Long) : ChangeOutcome

    /** The change had no effect and never will have. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val refusal: ChangeRefusal) : ChangeOutcome
}

/** Why a change was refused. */
@Serializable
public sealed interface ChangeRefusal : Failure {
    /** Another operator changed [subject] first. */
    @Serializable
    @SerialName("revisionConflict")
    public data class RevisionConflict(
        val subject: String,
        val expectedRevision: Long,
        val currentRevision: Long,
    ) : ChangeRefusal {
        override val message: String get() =
            "expected $subject at revision $expectedRevision, it is at revision $currentRevision"
    }

    /** The change names a [kind] that the manifest does not hold. */
    @Serializable
    @SerialName("unknownSubject")
    public data class UnknownSubject(val kind: String, val id: String) : ChangeRefusal {
        override val message: String get() = "expected the identifier of a $kind, came '$id'"
    }

    /** The key identifier is in use or was withdrawn. */
    @Serializable
    @SerialName("keyIdUsed")
    public data class KeyIdUsed(val keyId: KeyId, val withdrawn: Boolean) : ChangeRefusal {
        override val message: String get() = if (withdrawn) {
            "expected the identifier of a key that was not withdrawn, came '$keyId'"
        } else {
            "expected an unused key identifier, '$keyId' is in use"
        }
    }

    /** The staged content is not whole or not what was announced. */
    @Serializable
    @SerialName("stagedContentUnusable")
    public data class StagedContentUnusable(
        val contentHash: ContentHash,
        val expected: String,
        @SerialName("came") val found: String,
    ) : ChangeRefusal {
        override val message: String get() = "staged content $contentHash: expected $expected, came $found"
    }

    /** The result would not be a valid manifest; the first of its [problemCount] problems are listed. */
    @Serializable
    @SerialName("invalidResult")
    public data class InvalidResult(val problemCount: Int, val problems: List<ManifestProblem>) : ChangeRefusal {
        override val message: String get() =
            "expected a valid result, came $problemCount problems, first: ${problems.firstOrNull()?.message}"
    }
}
