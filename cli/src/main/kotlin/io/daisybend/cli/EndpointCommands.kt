/*
 * Commands for endpoints. A draining endpoint receives no new requests and completes the running ones.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.kernel.EndpointId
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

@Serializable
internal data class ShownEndpoint(val endpointId: String, val draining: Boolean, val drainRevision: Long)

internal class EndpointListCommand : Command("endpoint list", "list the endpoints and whether they are draining") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, ENDPOINTS_PATH).map { response ->
            val lines = decodeEndpoints(response).map { "%-28s %s".format(it.endpointId, it.state()) }
            Output(lines.joinToString("\n"), response)
        }
    }

    private fun ShownEndpoint.state() = if (draining) "draining" else "serving"
}

internal class EndpointDrainCommand : Command(
    "endpoint drain",
    "stop sending new work to ENDPOINT_ID; with --end, resume",
) {
    @Argument(required = true, metaVar = "ENDPOINT_ID", usage = "identifier of the endpoint")
    var endpointId: String = ""

    @Option(name = "--end", usage = "end draining")
    var end: Boolean = false

    @Option(name = "--change-id", usage = "identifier of the change; reuse it to retry after a lost response")
    var changeId: String = UUID.randomUUID().toString()

    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, ENDPOINTS_PATH).andThen { response ->
            val endpoint = decodeEndpoints(response).firstOrNull { it.endpointId == endpointId }
            if (endpoint == null) {
                Err(CliFailure.Usage("expected a configured endpoint, got `$endpointId`"))
            } else {
                val change = ConfigurationChange.SetDraining(endpoint.drainRevision, EndpointId(endpointId), !end)
                client.submit(changeId, change).andThen { toChangeOutput(it) }
            }
        }
    }
}

private const val ENDPOINTS_PATH = "/admin/endpoints"

private val endpointList = ListSerializer(ShownEndpoint.serializer())

private fun decodeEndpoints(response: String) = cliJson.decodeFromString(endpointList, response)
