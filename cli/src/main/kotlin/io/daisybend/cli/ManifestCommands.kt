/*
 * Commands for the manifest.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.ktor.http.HttpMethod
import org.kohsuke.args4j.Argument

internal class ManifestApplyCommand : Command("manifest apply", "replace the manifest by the one in FILE") {
    @Argument(required = true, metaVar = "FILE", usage = "the manifest")
    var file: String = ""

    override suspend fun run(): Result<Output, CliFailure> = readText(file).andThen { text ->
        withClient { client ->
            client.send(HttpMethod.Post, "/admin/manifest", text).map { Output("accepted: $it", it) }
        }
    }
}

internal class ManifestShowCommand : Command("manifest show", "print the manifest in force") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, "/admin/manifest").map { Output(it, it) }
    }
}
