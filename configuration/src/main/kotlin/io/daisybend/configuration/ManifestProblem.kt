/*
 * Why a manifest is refused. Reading stops at the first error of form; a well-formed manifest is checked whole and
 * every problem is listed with the path of the field, what was expected and what came.
 */
package io.daisybend.configuration

import io.daisybend.kernel.Failure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One problem of a well-formed manifest at [path], such as `models[3].weightsBytes`. */
@Serializable
public sealed interface ManifestProblem : Failure {
    /** Names the field. */
    public val path: String

    /** The same identifier stands twice in one list. */
    @Serializable
    @SerialName("duplicateId")
    public data class DuplicateId(override val path: String, val id: String) : ManifestProblem {
        override val message: String get() = "$path: expected an identifier that stands once, came '$id' again"
    }

    /** The identifier names nothing in the manifest. */
    @Serializable
    @SerialName("unknownReference")
    public data class UnknownReference(
        override val path: String,
        val expectedKind: String,
        val id: String,
    ) : ManifestProblem {
        override val message: String get() = "$path: expected the identifier of one $expectedKind, came '$id'"
    }

    /** The number lies outside its range. */
    @Serializable
    @SerialName("outOfRange")
    public data class OutOfRange(
        override val path: String,
        val value: Long,
        val minimum: Long,
        val maximum: Long,
    ) : ManifestProblem {
        override val message: String get() = "$path: expected $minimum to $maximum, came $value"
    }

    /** The text does not have the form [expected]. */
    @Serializable
    @SerialName("malformedValue")
    public data class MalformedValue(
        override val path: String,
        val expected: String,
        @SerialName("came") val found: String,
    ) : ManifestProblem {
        override val message: String get() = "$path: expected $expected, came '$found'"
    }

    /** The key was withdrawn; a withdrawn key never comes back under its identifier. */
    @Serializable
    @SerialName("withdrawnKey")
    public data class WithdrawnKey(override val path: String, val keyId: KeyId) : ManifestProblem {
        override val message: String get() = "$path: expected a key that was not withdrawn, came '$keyId'"
    }
}

/** Why a manifest document is not accepted. */
@Serializable
public sealed interface ManifestFailure : Failure {
    /** The document is larger than [maximumBytes]. */
    @Serializable
    @SerialName("tooLarge")
    public data class TooLarge(val sizeBytes: Long, val maximumBytes: Long) : ManifestFailure {
        override val message: String get() = "expected a manifest of at most $maximumBytes bytes, came $sizeBytes"
    }

    /** The document is not JSON of the manifest's form; [line] and [column] count from 1, 0 if unknown. */
    @Serializable
    @SerialName("malformed")
    public data class Malformed(val line: Int, val column: Int, val detail: String) : ManifestFailure {
        override val message: String get() = "line $line, column $column: $detail"
    }

    /** The document is well formed but has [problems]. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<ManifestProblem>) : ManifestFailure {
        override val message: String get() =
            "expected a valid manifest, came ${problems.size} problems, first: ${problems.firstOrNull()?.message}"
    }
}
