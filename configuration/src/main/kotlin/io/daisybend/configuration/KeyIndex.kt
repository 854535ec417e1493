/*
 * Bearer keys. A key's text names its identifier, `db_<keyId>_<secret>`, so that a lookup computes one hash however
 * many keys there are. Only a salted SHA-256 of the whole text is kept; the text itself is shown once, when it is made.
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

/** A new key: [clearText] goes to the operator once, [spec] into the configuration. */
public class NewKey(public val clearText: String, public val spec: KeySpec)

/** Why a bearer key gives no team. */
public sealed interface KeyFailure : Failure {
    /** The text does not have the form of a key. */
    public data object Malformed : KeyFailure {
        override val message: String = "expected a key of the form db_<keyId>_<secret>"
    }

    /** No key in force has this text. */
    public data object Unknown : KeyFailure {
        override val message: String = "expected a key in force, came an unknown one"
    }

    /** The key with this identifier was withdrawn. */
    public data class Withdrawn(val keyId: KeyId) : KeyFailure {
        override val message: String = "expected a key in force, key '$keyId' was withdrawn"
    }
}

/** Finds the keys in force of one state of the configuration. */
public class KeyIndex(private val state: ConfigurationState) {
    /** Returns the key whose text is [clearText]; fails with a [KeyFailure]. */
    public fun find(clearText: String): Result<KeySpec, KeyFailure> {
        val keyId = keyIdOf(clearText) ?: return Err(KeyFailure.Malformed)
        val spec = state.tables.keys[keyId]
        val matches = matches(spec ?: ABSENT, clearText)
        return when {
            spec != null && matches -> Ok(spec)
            keyId in state.withdrawnKeyIds -> Err(KeyFailure.Withdrawn(keyId))
            else -> Err(KeyFailure.Unknown)
        }
    }

    private companion object {
        val ABSENT = KeySpec(KeyId("absent"), TeamId("absent"), "00".repeat(SALT_BYTES), "00".repeat(32))
    }
}

/** Makes a key for [teamId]; [randomBytes] returns as many secure random bytes as it is asked for. */
public fun newKey(keyId: KeyId, teamId: TeamId, randomBytes: (Int) -> ByteArray): NewKey {
    val hex = HexFormat.of()
    val clearText = KEY_PREFIX + keyId.value + "_" + hex.formatHex(randomBytes(SECRET_BYTES))
    val saltHex = hex.formatHex(randomBytes(SALT_BYTES))
    return NewKey(clearText, KeySpec(keyId, teamId, saltHex, hashKey(saltHex, clearText)))
}

/** Returns the hexadecimal SHA-256 of the salt's bytes followed by the key's text. */
public fun hashKey(saltHex: String, clearText: String): String =
    HexFormat.of().formatHex(digest(saltHex, clearText))

/** Returns the identifier that [clearText] names, or null if it does not have the form of a key. */
public fun keyIdOf(clearText: String): KeyId? {
    if (clearText.length > MAX_KEY_CHARS || !clearText.startsWith(KEY_PREFIX)) return null
    val id = clearText.substring(KEY_PREFIX.length).substringBefore('_', missingDelimiterValue = "")
    return if (id.isEmpty()) null else KeyId(id)
}

private fun matches(spec: KeySpec, clearText: String): Boolean =
    MessageDigest.isEqual(HexFormat.of().parseHex(spec.hashHex), digest(spec.saltHex, clearText))

private fun digest(saltHex: String, clearText: String): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(HexFormat.of().parseHex(saltHex))
    return digest.digest(clearText.toByteArray())
}

/** Returns the keys that were in force in [before] and are not, or not unchanged, in [after]. */
internal fun endedKeyIds(before: ConfigurationState, after: ConfigurationState): Set<KeyId> {
    if (before.tables.keys === after.tables.keys) return emptySet()
    return before.tables.keys.filter { (id, spec) -> after.tables.keys[id] != spec }.keys
}
