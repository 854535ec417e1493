/*
 * Why a settings file is refused. Every failure names the file, the line and the key where they are known.
 */
package io.daisybend.kernel.settings

import io.daisybend.kernel.Failure

/** A settings file that cannot be used. */
public sealed interface SettingsFailure : Failure {
    /** The file cannot be read. */
    public data class Unreadable(val file: String, val reason: String) : SettingsFailure {
        override val message: String = "$file: expected a readable settings file, got: $reason"
    }

    /** The file is not UTF-8. */
    public data class BadEncoding(val file: String, val line: Int) : SettingsFailure {
        override val message: String = "$file:$line: expected UTF-8 text, got bytes that are not"
    }

    /** A line is neither a section, a key with a value, a comment nor blank. */
    public data class BadSyntax(val file: String, val line: Int, val text: String) : SettingsFailure {
        override val message: String = "$file:$line: expected `[section]` or `key = value`, got `$text`"
    }

    /** A key that is not declared. */
    public data class UnknownKey(val file: String, val line: Int, val key: String, val known: List<String>) :
        SettingsFailure {
        override val message: String = "$file:$line: expected one of ${known.joinToString(", ")}, got `$key`"
    }

    /** A key that is given twice. */
    public data class DuplicateKey(val file: String, val line: Int, val key: String) : SettingsFailure {
        override val message: String = "$file:$line: expected `$key` once, got it again"
    }

    /** A value of the wrong type, without its unit or out of range. */
    public data class BadValue(
        val file: String,
        val line: Int,
        val key: String,
        val expected: String,
        val actual: String,
    ) : SettingsFailure {
        override val message: String = "$file:$line: $key: expected $expected, got `$actual`"
    }

    /** A key without a default that is not given. */
    public data class MissingKey(val file: String, val key: String, val expected: String) : SettingsFailure {
        override val message: String = "$file: expected $key to be set to $expected, got nothing"
    }
}
