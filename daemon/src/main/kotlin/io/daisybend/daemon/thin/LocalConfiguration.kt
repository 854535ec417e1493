/*
 * Follows the newest manifest in the log's stream `config` by polling, and checks keys against it.
 */
package io.daisybend.daemon.thin

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.KeySpec
import io.daisybend.configuration.Manifest
import io.daisybend.daemon.request.Caller
import io.daisybend.daemon.request.CallerAuthenticator
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.Timeline
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.util.HexFormat

internal class LocalConfiguration(private val log: PlatformLog, private val timeline: Timeline) :
    ConfigurationView,
    CallerAuthenticator {
    private val index = MutableStateFlow<ConfigurationIndex?>(null)
    private var nextOffset = 0L

    override fun current(): ConfigurationIndex? = index.value

    override fun authenticate(key: String): Result<Caller, RequestFailure> {
        val current = index.value
            ?: return Err(RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS))
        val keyId = key.removePrefix(KEY_PREFIX).substringBefore('_')
        val spec = current.key(KeyId(keyId))
        return if (spec != null && spec.matches(key)) {
            Ok(Caller(spec.teamId, spec.keyId))
        } else {
            Err(RequestFailure.Unauthenticated("expected a valid key, got one that is unknown or withdrawn"))
        }
    }

    override suspend fun awaitWithdrawal(keyId: KeyId) {
        index.first { it != null && it.key(keyId) == null }
    }

    suspend fun follow() {
        while (true) {
            readOnce()
            delay(POLL_INTERVAL_MS)
        }
    }

    /** Appends [manifest] and returns its revision; fails when the log does not take it. */
    suspend fun submit(manifest: Manifest): Result<Long, LogFailure> =
        log.append(stream, json.encodeToString(Manifest.serializer(), manifest).toByteArray()).map { it + 1 }

    private suspend fun readOnce() {
        log.read(stream, nextOffset, MAX_RECORDS).onSuccess { batch ->
            for (record in batch.records) {
                val manifest = json.decodeFromString(Manifest.serializer(), record.payload.decodeToString())
                index.value = ConfigurationIndex(record.offset + 1, manifest)
                nextOffset = record.offset + 1
                timeline.record("configuration-applied", detail = "revision ${record.offset + 1}")
            }
        }
    }

    private companion object {
        const val KEY_PREFIX = "db_"
        const val POLL_INTERVAL_MS = 200L
        const val MAX_RECORDS = 100
        const val RETRY_AFTER_MS = 1_000L
        val stream = LogStream("config")
        val json = Json { encodeDefaults = true }
    }
}

private fun KeySpec.matches(key: String): Boolean {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(HexFormat.of().parseHex(saltHex))
    val actual = digest.digest(key.toByteArray())
    return MessageDigest.isEqual(actual, HexFormat.of().parseHex(hashHex))
}
