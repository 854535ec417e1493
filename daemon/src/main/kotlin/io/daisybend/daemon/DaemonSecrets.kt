/*
 * Reads the secrets of a daemon from the files named in its settings.
 */
package io.daisybend.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import io.daisybend.kernel.Failure
import io.daisybend.kernel.settings.Settings
import java.nio.file.Files
import java.nio.file.Path

/** A secret file that is missing, unreadable or empty. */
public data class UnreadableSecret(val file: String) : Failure {
    override val message: String = "expected a readable file with a secret at $file, got none"
}

/** The secret shared by all daemons and the token of operators. */
public class DaemonSecrets(internal val peerSecret: ByteArray, internal val operatorToken: String)

/** Reads the secret files named in [settings]; fails if a file cannot be read or is empty. */
public fun readSecrets(settings: Settings): Result<DaemonSecrets, UnreadableSecret> =
    readSecret(settings[DaemonKeys.peerSecretFile]).andThen { peerSecret ->
        readSecret(settings[DaemonKeys.operatorTokenFile]).map { token ->
            DaemonSecrets(peerSecret.toByteArray(), token)
        }
    }

private fun readSecret(file: String): Result<String, UnreadableSecret> =
    runCatching { Files.readString(Path.of(file)).trim().also { require(it.isNotEmpty()) { "expected a secret" } } }
        .mapError { UnreadableSecret(file) }
