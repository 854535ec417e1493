/*
 * Bearer keys. A key has the form `db_<keyId>_<secret>`: the identifier in it lets a lookup compute a single hash
 * regardless of the number of keys. Only a salted SHA-256 hash of the whole key is stored; the key itself is shown
 * once, when it is created.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.Failure
import io.daisybend.kernel.TeamId
import java.security.MessageDigest
import java.util.HexFormat

private const val KEY_PREFIX = "db_"
private const val SALT_BYTES = 16
private const val SECRET_BYTES = 32
private const val MAX_KEY_CHARS = 256

/** A new key; the operator gets [clearText] once, and [spec] becomes part of the configuration. */
public class NewKey(public val clearText: String, public val spec: KeySpec)

/** The reason for refusing a bearer key. */
public sealed interface KeyFailure : Failure {
    /** The text does not have the form of a key. */
    public data object Malformed : KeyFailure {
        override val message: String = "expected a key of the form db_<keyId>_<secret>, got another text"
    }

    /** The text does not match any key in force. */
    public data object Unknown : KeyFailure {
        override val message: String = "expected a key in force, got an unknown key"
    }

    /** The key with this identifier was withdrawn. */
    public data class Withdrawn(val keyId: KeyId) : KeyFailure {
        override val message: String = "expected a key in force, got key '$keyId', which was withdrawn"
    }
}

/** Looks up the keys in force in one configuration state. */
public class KeyIndex(private val state: ConfigurationState) {
    /** Returns the key that matches [clearText]; fails with a [KeyFailure]. */
    public fun find(clearText: String): Result<KeySpec, KeyFailure> {
        val keyId = keyIdOf(clearText) ?: return Err(KeyFailure.Malformed)
        val spec = state.tables.keys[keyId]
        val isMatch = matchesHash(spec ?: PLACEHOLDER_SPEC, clearText)
        return when {
            spec != null && isMatch -> Ok(spec)
            keyId in state.withdrawnKeyIds -> Err(KeyFailure.Withdrawn(keyId))
            else -> Err(KeyFailure.Unknown)
        }
    }

    private companion object {
        /** Hashed for an unknown identifier, so that every lookup of a well-formed key computes one hash. */
        val PLACEHOLDER_SPEC = KeySpec(KeyId("absent"), TeamId("absent"), "00".repeat(SALT_BYTES), "00".repeat(32))
    }
}

/** Creates a key for [teamId]; [randomBytes] returns the requested number of cryptographically secure bytes. */
public fun newKey(keyId: KeyId, teamId: TeamId, randomBytes: (Int) -> ByteArray): NewKey {
    val hex = HexFormat.of()
    val clearText = KEY_PREFIX + keyId.value + "_" + hex.formatHex(randomBytes(SECRET_BYTES))
    val saltHex = hex.formatHex(randomBytes(SALT_BYTES))
    return NewKey(clearText, KeySpec(keyId, teamId, saltHex, hashKey(saltHex, clearText)))
}

/** Returns the SHA-256 hash of the salt bytes followed by [clearText], in hexadecimal digits. */
public fun hashKey(saltHex: String, clearText: String): String =
    HexFormat.of().formatHex(saltedDigest(saltHex, clearText))

/** Returns the key identifier in [clearText], or null if it does not have the form of a key. */
public fun keyIdOf(clearText: String): KeyId? {
    if (clearText.length > MAX_KEY_CHARS || !clearText.startsWith(KEY_PREFIX)) return null
    val id = clearText.substring(KEY_PREFIX.length).substringBefore('_', missingDelimiterValue = "")
    return if (id.isEmpty()) null else KeyId(id)
}

private fun matchesHash(spec: KeySpec, clearText: String): Boolean =
    MessageDigest.isEqual(HexFormat.of().parseHex(spec.hashHex), saltedDigest(spec.saltHex, clearText))

private fun saltedDigest(saltHex: String, clearText: String): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(HexFormat.of().parseHex(saltHex))
    return digest.digest(clearText.toByteArray())
}

/** Returns the keys of [before] that [after] lacks or holds with changes. */
internal fun invalidatedKeyIds(before: ConfigurationState, after: ConfigurationState): Set<KeyId> {
    if (before.tables.keys === after.tables.keys) return emptySet()
    return before.tables.keys.filter { (id, spec) -> after.tables.keys[id] != spec }.keys
}
