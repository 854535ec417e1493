/*
 * The reasons for refusing a manifest. Parsing stops at the first syntax error. A well-formed manifest is validated
 * completely, and every problem is listed with the path of the field, the expected value and the value found.
 */
package io.daisybend.configuration

import io.daisybend.kernel.Failure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One problem of a well-formed manifest at [path], such as `models[3].weightsBytes`. */
@Serializable
public sealed interface ManifestProblem : Failure {
    /** The path of the field. */
    public val path: String

    /** The identifier occurs more than once in a list. */
    @Serializable
    @SerialName("duplicateId")
    public data class DuplicateId(override val path: String, val id: String) : ManifestProblem {
        override val message: String get() = "$path: expected a unique identifier, got '$id' again"
    }

    /** The identifier does not refer to an entry of the manifest. */
    @Serializable
    @SerialName("unknownReference")
    public data class UnknownReference(
        override val path: String,
        val expectedKind: String,
        val id: String,
    ) : ManifestProblem {
        override val message: String get() = "$path: expected the identifier of an existing $expectedKind, got '$id'"
    }

    /** The number is outside of its range. */
    @Serializable
    @SerialName("outOfRange")
    public data class OutOfRange(
        override val path: String,
        val value: Long,
        val minimum: Long,
        val maximum: Long,
    ) : ManifestProblem {
        override val message: String get() = "$path: expected $minimum to $maximum, got $value"
    }

    /** The text does not have the form [expected]. */
    @Serializable
    @SerialName("malformedValue")
    public data class MalformedValue(
        override val path: String,
        val expected: String,
        @SerialName("came") val found: String,
    ) : ManifestProblem {
        override val message: String get() = "$path: expected $expected, got '$found'"
    }

    /** The key was withdrawn; the identifier of a withdrawn key cannot be used again. */
    @Serializable
    @SerialName("withdrawnKey")
    public data class WithdrawnKey(override val path: String, val keyId: KeyId) : ManifestProblem {
        override val message: String get() = "$path: expected a key that was not withdrawn, got '$keyId'"
    }
}

/** The reason for refusing a manifest document. */
@Serializable
public sealed interface ManifestFailure : Failure {
    /** The document is larger than [maximumBytes]. */
    @Serializable
    @SerialName("tooLarge")
    public data class TooLarge(val sizeBytes: Long, val maximumBytes: Long) : ManifestFailure {
        override val message: String get() = "expected a manifest of at most $maximumBytes bytes, got $sizeBytes"
    }

    /** The document is not valid JSON for a manifest; [line] and [column] start at 1, or are 0 if unknown. */
    @Serializable
    @SerialName("malformed")
    public data class Malformed(val line: Int, val column: Int, val detail: String) : ManifestFailure {
        override val message: String get() = "line $line, column $column: $detail"
    }

    /** The document is well formed, but its content has [problems]. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<ManifestProblem>) : ManifestFailure {
        override val message: String get() =
            "expected a valid manifest, got ${problems.size} problems, first: ${problems.firstOrNull()?.message}"
    }
}
