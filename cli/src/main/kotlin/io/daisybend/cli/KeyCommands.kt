/*
 * Commands for callers' keys. A new key is made here and printed once; only its salted hash is sent. No command takes
 * a key, only its identifier.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.ConfigurationRecord
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.newKey
import io.daisybend.kernel.TeamId
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.security.SecureRandom
import java.util.HexFormat
import java.util.UUID

@Serializable
internal data class ShownKey(val keyId: String, val teamId: String, val issuedByOperator: Boolean) {
    fun id() = KeyId(keyId)
}

@Serializable
internal data class ShownKeys(val keys: List<ShownKey>, val withdrawnKeyIds: List<String>)

@Serializable
internal data class IssuedKey(val keyId: String, val key: String, val revision: Long)

internal class KeyIssueCommand : Command("key issue", "make a key for a team and print it once") {
    @Option(name = "--team", required = true, usage = "the team")
    var team: String = ""

    @Option(name = "--key-id", usage = "identifier of the key; default: a random one")
    var keyId: String = HexFormat.of().formatHex(randomBytes(KEY_ID_BYTES))

    override suspend fun run(): Result<Output, CliFailure> {
        val key = newKey(KeyId(keyId), TeamId(team), ::randomBytes)
        val changeId = UUID.randomUUID().toString()
        return withClient { it.submit(changeId, ConfigurationChange.IssueKey(key.spec)) }.andThen { answer ->
            changeOutput(answer).map {
                val revision = cliJson.decodeFromString(ChangeAnswer.serializer(), answer).revision
                val issued = IssuedKey(keyId, key.clearText, revision)
                Output(key.clearText, cliJson.encodeToString(IssuedKey.serializer(), issued))
            }
        }
    }

    private companion object {
        const val KEY_ID_BYTES = 8
    }
}

internal class KeyWithdrawCommand : Command("key withdraw", "withdraw the key with the identifier KEY_ID for good") {
    @Argument(required = true, metaVar = "KEY_ID", usage = "identifier of the key, not the key itself")
    var keyId: String = ""

    @Option(name = "--change-id", usage = "identifier of the change; repeat it to learn a lost outcome")
    var changeId: String = UUID.randomUUID().toString()

    override suspend fun run(): Result<Output, CliFailure> =
        withClient { it.submit(changeId, ConfigurationChange.WithdrawKey(KeyId(keyId))) }.andThen { changeOutput(it) }
}

internal class KeyListCommand : Command("key list", "list the keys in force and the withdrawn ones by identifier") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, "/admin/keys").map { answer ->
            val shown = shownKeys(answer)
            val inForce = shown.keys.map { "%-24s %-24s %s".format(it.keyId, it.teamId, it.origin()) }
            val withdrawn = shown.withdrawnKeyIds.map { "%-24s %-24s %s".format(it, "", "withdrawn") }
            Output((inForce + withdrawn).joinToString("\n"), answer)
        }
    }

    private fun ShownKey.origin() = if (issuedByOperator) "issued" else "manifest"
}

internal fun shownKeys(answer: String): ShownKeys = cliJson.decodeFromString(ShownKeys.serializer(), answer)

internal suspend fun OperatorClient.submit(changeId: String, change: ConfigurationChange): Result<String, CliFailure> {
    val record = ConfigurationRecord.Change(ChangeId(changeId), change)
    return send(
        HttpMethod.Post,
        "/admin/changes",
        cliJson.encodeToString(ConfigurationRecord.Change.serializer(), record),
    )
}

private fun randomBytes(count: Int): ByteArray = ByteArray(count).also { SecureRandom().nextBytes(it) }
