/*
 * Commands for the manifest. A change that is resubmitted with the same `--change-id`, through any VM, is applied at
 * most once and gets the same response.
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

internal class ManifestApplyCommand : Command("manifest apply", "replace the manifest with the one in FILE") {
    @Argument(required = true, metaVar = "FILE", usage = "manifest file")
    var file: String = ""

    @Option(
        name = "--expected-revision",
        usage = "refuse the change if the manifestRevision in `manifest show --json` is no longer this one",
    )
    var expectedRevision: Long? = null

    @Option(name = "--change-id", usage = "identifier of the change; reuse it to retry after a lost response")
    var changeId: String = UUID.randomUUID().toString()

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { text ->
        withClient { client ->
            val revisionParameter = expectedRevision?.let { "&expectedRevision=$it" }.orEmpty()
            client.send(HttpMethod.Post, "/admin/manifest?changeId=$changeId$revisionParameter", text)
        }.andThen { toChangeOutput(it) }
    }
}

internal class ManifestShowCommand : Command("manifest show", "print the current manifest") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, "/admin/manifest").map { Output(writeManifest(decodeManifest(it).manifest), it) }
    }
}

internal class ManifestValidateCommand : Command("manifest validate", "validate the manifest in FILE offline") {
    @Argument(required = true, metaVar = "FILE", usage = "manifest file")
    var file: String = ""

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { parse(it) }.map { manifest ->
        val counts = with(manifest) { ValidatedManifest(models.size, adapters.size, teams.size, endpoints.size) }
        val text = "valid: ${counts.models} models, ${counts.adapters} adapters, ${counts.teams} teams, " +
            "${counts.endpoints} endpoints"
        Output(text, cliJson.encodeToString(ValidatedManifest.serializer(), counts))
    }
}

internal class ManifestDiffCommand : Command("manifest diff", "show what applying FILE would change") {
    @Argument(required = true, metaVar = "FILE", usage = "manifest file")
    var file: String = ""

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { parse(it) }.andThen { manifest ->
        withClient { client ->
            client.send(HttpMethod.Get, "/admin/keys").andThen { keys ->
                client.send(HttpMethod.Get, "/admin/manifest").map { response ->
                    val issued = decodeKeys(keys).keys.filter { it.issuedByOperator }.mapTo(HashSet()) { it.id() }
                    val diff = diffManifests(decodeManifest(response).manifest.toTables(), manifest.toTables(), issued)
                    Output(diff.formatLines(), cliJson.encodeToString(ManifestDiff.serializer(), diff))
                }
            }
        }
    }
}

/** Renders the response to a change; fails with [CliFailure.Unconfirmed] unless most VMs have confirmed it. */
internal fun toChangeOutput(response: String): Result<Output, CliFailure> {
    val change = cliJson.decodeFromString(ChangeAnswer.serializer(), response)
    return if (change.status == "accepted") {
        Ok(Output("accepted: revision ${change.revision}", response))
    } else {
        Err(CliFailure.Unconfirmed(change.changeId, change.revision))
    }
}

private fun decodeManifest(response: String) = cliJson.decodeFromString(ShownManifest.serializer(), response)

private fun parse(text: String): Result<Manifest, CliFailure> = readManifest(text).mapError { failure ->
    val problems = (failure as? ManifestFailure.Invalid)?.problems?.joinToString("\n") { it.message }
    CliFailure.Refused(0, "invalid_manifest", problems ?: failure.message)
}

private fun ManifestDiff.formatLines(): String {
    val lines = putModels.map { "+ model ${it.modelId}" } + removeModelIds.map { "- model $it" } +
        putAdapters.map { "+ adapter ${it.adapterId}" } + removeAdapterIds.map { "- adapter $it" } +
        putTeams.map { "+ team ${it.teamId}" } + removeTeamIds.map { "- team $it" } +
        putKeys.map { "+ key ${it.keyId}" } + removeKeyIds.map { "- key $it (withdrawn for good)" } +
        putEndpoints.map { "+ endpoint ${it.endpointId}" } + removeEndpointIds.map { "- endpoint $it" } +
        putRoutes.map { "+ route ${it.name}" } + removeRouteNames.map { "- route $it" }
    return lines.joinToString("\n").ifEmpty { "no difference" }
}
