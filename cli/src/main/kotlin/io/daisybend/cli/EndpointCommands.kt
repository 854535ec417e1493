/*
 * Commands for endpoints: draining one gives it no new work; what runs there ends.
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
        client.send(HttpMethod.Get, ENDPOINTS_PATH).map { answer ->
            val lines = shownEndpoints(answer).map { "%-28s %s".format(it.endpointId, it.state()) }
            Output(lines.joinToString("\n"), answer)
        }
    }

    private fun ShownEndpoint.state() = if (draining) "draining" else "serving"
}

internal class EndpointDrainCommand : Command(
    "endpoint drain",
    "give ENDPOINT_ID no new work; with --end, give it again",
) {
    @Argument(required = true, metaVar = "ENDPOINT_ID", usage = "the endpoint")
    var endpointId: String = ""

    @Option(name = "--end", usage = "end the draining")
    var end: Boolean = false

    @Option(name = "--change-id", usage = "identifier of the change; repeat it to learn a lost outcome")
    var changeId: String = UUID.randomUUID().toString()

    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Get, ENDPOINTS_PATH).andThen { answer ->
            val shown = shownEndpoints(answer).firstOrNull { it.endpointId == endpointId }
            if (shown == null) {
                Err(CliFailure.Usage("expected a configured endpoint, got `$endpointId`"))
            } else {
                val change = ConfigurationChange.SetDraining(shown.drainRevision, EndpointId(endpointId), !end)
                client.submit(changeId, change).andThen { changeOutput(it) }
            }
        }
    }
}

private const val ENDPOINTS_PATH = "/admin/endpoints"

private val endpointList = ListSerializer(ShownEndpoint.serializer())

private fun shownEndpoints(answer: String) = cliJson.decodeFromString(endpointList, answer)
