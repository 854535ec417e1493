/*
 * The records of the configuration stream and their outcomes. Every change carries the precondition under which it was
 * decided. If two operators race, one change is accepted and the other gets a typed conflict, on every VM alike. A
 * record that is appended twice, however late, takes effect at most once.
 */
package io.daisybend.configuration

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure
import io.daisybend.kernel.TeamId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies a change across all attempts to submit it. */
@JvmInline
@Serializable
public value class ChangeId(public val value: String) {
    override fun toString(): String = value
}

/** The SHA-256 hash of some content in lower-case hexadecimal digits. */
@JvmInline
@Serializable
public value class ContentHash(public val hex: String) {
    override fun toString(): String = hex
}

/** A record of the configuration stream. */
@Serializable
public sealed interface ConfigurationRecord {
    /** Chunk [index] of [count] of a manifest difference that is too large for one record. */
    @Serializable
    @SerialName("staged")
    public class StagedChunk(
        public val contentHash: ContentHash,
        public val index: Int,
        public val count: Int,
        public val content: ByteArray,
    ) : ConfigurationRecord

    /** A change that an operator submitted. */
    @Serializable
    @SerialName("change")
    public data class Change(val changeId: ChangeId, val change: ConfigurationChange) : ConfigurationRecord

    /** Declares that the snapshot stream holds a complete snapshot of the state before [nextOffset]. */
    @Serializable
    @SerialName("snapshot")
    public data class SnapshotWritten(val nextOffset: Long, val writtenAtMs: Long) : ConfigurationRecord
}

/** The content of a change. */
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

    /** Adds a key under an identifier that was never used before. */
    @Serializable
    @SerialName("issueKey")
    public data class IssueKey(val key: KeySpec) : ConfigurationChange

    /** Withdraws a key permanently. */
    @Serializable
    @SerialName("withdrawKey")
    public data class WithdrawKey(val keyId: KeyId) : ConfigurationChange

    /** Sets the rate and burst of a team if the team has not changed since [expectedRevision]. */
    @Serializable
    @SerialName("setRates")
    public data class SetRates(
        val expectedRevision: Long,
        val teamId: TeamId,
        val rateTokensPerSecond: Long,
        val burstTokens: Long,
    ) : ConfigurationChange

    /** Starts or ends draining of an endpoint if its draining has not changed since [expectedRevision]. */
    @Serializable
    @SerialName("setDraining")
    public data class SetDraining(
        val expectedRevision: Long,
        val endpointId: EndpointId,
        val draining: Boolean,
    ) : ConfigurationChange
}

/** The outcome of a change. */
@Serializable
public sealed interface ChangeOutcome {
    /** The change is in force from [revision] on. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val revision: Long) : ChangeOutcome

    /** The change has no effect and never will. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val refusal: ChangeRefusal) : ChangeOutcome
}

/** The reason for refusing a change. */
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
            "expected $subject at revision $expectedRevision, got revision $currentRevision"
    }

    /** The change names a [kind] that is not in the manifest. */
    @Serializable
    @SerialName("unknownSubject")
    public data class UnknownSubject(val kind: String, val id: String) : ChangeRefusal {
        override val message: String get() = "expected the identifier of an existing $kind, got '$id'"
    }

    /** The key identifier is in use or belongs to a withdrawn key. */
    @Serializable
    @SerialName("keyIdUsed")
    public data class KeyIdUsed(val keyId: KeyId, val withdrawn: Boolean) : ChangeRefusal {
        override val message: String get() = if (withdrawn) {
            "expected the identifier of a key that was not withdrawn, got '$keyId'"
        } else {
            "expected an unused key identifier, got '$keyId', which is in use"
        }
    }

    /** The staged content is incomplete or is not a manifest difference with the announced hash. */
    @Serializable
    @SerialName("stagedContentUnusable")
    public data class StagedContentUnusable(
        val contentHash: ContentHash,
        val expected: String,
        @SerialName("came") val found: String,
    ) : ChangeRefusal {
        override val message: String get() = "staged content $contentHash: expected $expected, got $found"
    }

    /** The change would lead to an invalid manifest; [problems] are the first of its [problemCount] problems. */
    @Serializable
    @SerialName("invalidResult")
    public data class InvalidResult(val problemCount: Int, val problems: List<ManifestProblem>) : ChangeRefusal {
        override val message: String get() =
            "expected a valid manifest, got $problemCount problems, first: ${problems.firstOrNull()?.message}"
    }
}
