/*
 * Commands for the manifest. A change that is submitted again with the same `--change-id`, through any VM, takes effect
 * at most once and gets the same answer.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ManifestDiff
import io.daisybend.configuration.ManifestFailure
import io.daisybend.configuration.diffManifests
import io.daisybend.configuration.readManifest
import io.daisybend.configuration.toTables
import io.daisybend.configuration.writeManifest
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

@Serializable
internal data class ChangeAnswer(val changeId: String, val status: String, val revision: Long)

@Serializable
internal data class ShownManifest(val revision: Long, val manifestRevision: Long, val manifest: Manifest)

@Serializable
internal data class ValidatedManifest(val models: Int, val adapters: Int, val teams: Int, val endpoints: Int)

internal class ManifestApplyCommand : Command("manifest apply", "replace the manifest by the one in FILE") {
    @Argument(required = true, metaVar = "FILE", usage = "the manifest")
    var file: String = ""

    @Option(
        name = "--expected-revision",
        usage = "refuse if the manifest changed after this manifestRevision of `manifest show --json`",
    )
    var expectedRevision: Long? = null

    @Option(name = "--change-id", usage = "identifier of the change; repeat it to learn a lost outcome")
    var changeId: String = UUID.randomUUID().toString()

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { text ->
        withClient { client ->
            val expected = expectedRevision?.let { "&expectedRevision=$it" }.orEmpty()
            client.send(HttpMethod.Post, "/admin/manifest?changeId=$changeId$expected", text)
        }.andThen { changeOutput(it) }
    }
}

internal class ManifestShowCommand : Command("manifest show", "print the manifest in force") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, "/admin/manifest").map { Output(writeManifest(shown(it).manifest), it) }
    }
}

internal class ManifestValidateCommand : Command("manifest validate", "check the manifest in FILE without a daemon") {
    @Argument(required = true, metaVar = "FILE", usage = "the manifest")
    var file: String = ""

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { read(it) }.map { manifest ->
        val sizes = with(manifest) { ValidatedManifest(models.size, adapters.size, teams.size, endpoints.size) }
        val human = "valid: ${sizes.models} models, ${sizes.adapters} adapters, ${sizes.teams} teams, " +
            "${sizes.endpoints} endpoints"
        Output(human, cliJson.encodeToString(ValidatedManifest.serializer(), sizes))
    }
}

internal class ManifestDiffCommand : Command("manifest diff", "show what applying FILE would change") {
    @Argument(required = true, metaVar = "FILE", usage = "the manifest")
    var file: String = ""

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { read(it) }.andThen { manifest ->
        withClient { client ->
            client.send(HttpMethod.Get, "/admin/keys").andThen { keys ->
                client.send(HttpMethod.Get, "/admin/manifest").map { answer ->
                    val issued = shownKeys(keys).keys.filter { it.issuedByOperator }.mapTo(HashSet()) { it.id() }
                    val diff = diffManifests(shown(answer).manifest.toTables(), manifest.toTables(), issued)
                    Output(diff.lines(), cliJson.encodeToString(ManifestDiff.serializer(), diff))
                }
            }
        }
    }
}

/** Turns the daemon's answer to a change into the command's output; fails unless most VMs have confirmed it. */
internal fun changeOutput(answer: String): Result<Output, CliFailure> {
    val change = cliJson.decodeFromString(ChangeAnswer.serializer(), answer)
    return if (change.status == "accepted") {
        Ok(Output("accepted: revision ${change.revision}", answer))
    } else {
        Err(CliFailure.RecordedOnly(change.changeId, change.revision))
    }
}

private fun shown(answer: String) = cliJson.decodeFromString(ShownManifest.serializer(), answer)

private fun read(text: String): Result<Manifest, CliFailure> = readManifest(text).mapError { failure ->
    val problems = (failure as? ManifestFailure.Invalid)?.problems?.joinToString("\n") { it.message }
    CliFailure.Refused(0, "invalid_manifest", problems ?: failure.message)
}

private fun ManifestDiff.lines(): String {
    val lines = putModels.map { "+ model ${it.modelId}" } + removeModelIds.map { "- model $it" } +
        putAdapters.map { "+ adapter ${it.adapterId}" } + removeAdapterIds.map { "- adapter $it" } +
        putTeams.map { "+ team ${it.teamId}" } + removeTeamIds.map { "- team $it" } +
        putKeys.map { "+ key ${it.keyId}" } + removeKeyIds.map { "- key $it (withdrawn for good)" } +
        putEndpoints.map { "+ endpoint ${it.endpointId}" } + removeEndpointIds.map { "- endpoint $it" } +
        putRoutes.map { "+ route ${it.name}" } + removeRouteNames.map { "- route $it" }
    return lines.joinToString("\n").ifEmpty { "no difference" }
}
