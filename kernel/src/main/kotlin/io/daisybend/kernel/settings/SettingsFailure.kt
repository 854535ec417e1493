/*
 * Errors in a settings file. Each names the file, and the line and the key where they are known.
 */
package io.daisybend.kernel.settings

import io.daisybend.kernel.Failure

/** Reason why a settings file is rejected. */
public sealed interface SettingsFailure : Failure {
    /** The file cannot be read. */
    public data class Unreadable(val file: String, val reason: String) : SettingsFailure {
        override val message: String = "$file: expected a readable settings file, got: $reason"
    }

    /** The file is not valid UTF-8. */
    public data class BadEncoding(val file: String, val line: Int) : SettingsFailure {
        override val message: String = "$file:$line: expected UTF-8 text, got an invalid byte sequence"
    }

    /** A line is not a section header, a key with a value, a comment or blank. */
    public data class BadSyntax(val file: String, val line: Int, val text: String) : SettingsFailure {
        override val message: String = "$file:$line: expected `[section]` or `key = value`, got `$text`"
    }

    /** A section or key is not declared. */
    public data class UnknownKey(val file: String, val line: Int, val key: String, val known: List<String>) :
        SettingsFailure {
        override val message: String = "$file:$line: expected one of ${known.joinToString(", ")}, got `$key`"
    }

    /** A key occurs more than once. */
    public data class DuplicateKey(val file: String, val line: Int, val key: String) : SettingsFailure {
        override val message: String = "$file:$line: expected `$key` once, got a second occurrence"
    }

    /** A value has the wrong type, lacks its unit or is out of range. */
    public data class BadValue(
        val file: String,
        val line: Int,
        val key: String,
        val expected: String,
        val actual: String,
    ) : SettingsFailure {
        override val message: String = "$file:$line: $key: expected $expected, got `$actual`"
    }

    /** A key without a default is missing. */
    public data class MissingKey(val file: String, val key: String, val expected: String) : SettingsFailure {
        override val message: String = "$file: expected $key to be set to $expected, got no value"
    }
}
