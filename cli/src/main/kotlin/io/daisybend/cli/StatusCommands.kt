/*
 * Commands that show the state of the system, and the command that drains a VM.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.daisybend.kernel.TimelineEvent
import io.daisybend.kernel.mergeTimelines
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.Option
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

@Serializable
internal data class StatusLine(val kind: String, val subject: String, val state: String)

internal class StatusCommand : Command("status", "show VMs, endpoints, models, owners and offsets") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.fetchAll("/admin/status").map { responses ->
            val lines = responses.flatMap { cliJson.decodeFromString(statusList, it) }.distinct()
            val sorted = lines.sortedWith(compareBy({ it.kind }, { it.subject }))
            val text = sorted.joinToString("\n") { "%-16s %-28s %s".format(it.kind, it.subject, it.state) }
            Output(text, cliJson.encodeToString(statusList, sorted))
        }
    }

    private companion object {
        val statusList = ListSerializer(StatusLine.serializer())
    }
}

internal class DrainCommand : Command("drain", "gracefully stop the first daemon in --operators that responds") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Post, "/admin/drain").map { response ->
            val line = cliJson.decodeFromString(StatusLine.serializer(), response)
            Output("${line.subject} is leaving", response)
        }
    }
}

internal class TimelineCommand : Command("timeline", "show the events of all daemons in time order") {
    @Option(name = "--request", usage = "only events of this request")
    var request: String? = null

    @Option(name = "--team", usage = "only events of this team")
    var team: String? = null

    @Option(name = "--model", usage = "only events of this model")
    var model: String? = null

    @Option(name = "--vm", usage = "only events of this VM")
    var vm: String? = null

    @Option(name = "--log", metaVar = "FILE,...", usage = "also read events from these log files of daemons")
    var logs: String = ""

    override suspend fun run(): Result<Output, CliFailure> = readLoggedEvents().andThen { loggedEvents ->
        withClient { client -> client.fetchAll("/admin/timeline") }.map { responses ->
            val daemonEvents = responses.map { cliJson.decodeFromString(eventList, it) }
            val events = mergeTimelines(daemonEvents + listOf(loggedEvents)).distinct().filter { matchesFilters(it) }
            Output(events.joinToString("\n") { it.formatLine() }, cliJson.encodeToString(eventList, events))
        }
    }

    private fun readLoggedEvents(): Result<List<TimelineEvent>, CliFailure> {
        val files = logs.split(',').filter { it.isNotEmpty() }
        return files.fold(Ok(emptyList<TimelineEvent>()) as Result<List<TimelineEvent>, CliFailure>) { result, file ->
            result.andThen { events -> readText(file).map { text -> events + text.lines().mapNotNull(::parseEvent) } }
        }
    }

    private fun parseEvent(line: String): TimelineEvent? = try {
        cliJson.decodeFromString(LogLine.serializer(), line).event
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun matchesFilters(event: TimelineEvent): Boolean {
        val matchesRequest = request == null || event.requestId?.value == request
        val matchesTeam = team == null || event.teamId?.value == team
        val matchesModel = model == null || event.modelId?.value == model
        val matchesVm = vm == null || event.vmId.value == vm
        return matchesRequest && matchesTeam && matchesModel && matchesVm
    }

    private companion object {
        val eventList = ListSerializer(TimelineEvent.serializer())
    }
}

@Serializable
private data class LogLine(val event: TimelineEvent? = null)

private val timeFormat = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC)

private fun TimelineEvent.formatLine(): String {
    val attributes = listOfNotNull(
        requestId?.let { "request=${it.value}" },
        teamId?.let { "team=${it.value}" },
        modelId?.let { "model=${it.value}" },
        endpointId?.let { "endpoint=${it.value}" },
        detail.ifEmpty { null },
    )
    val time = timeFormat.format(Instant.ofEpochMilli(atMs))
    return "%s %-8s %-24s %s".format(time, vmId.value, kind, attributes.joinToString(" ")).trimEnd()
}

internal class AddressCommand : Command("address", "show which VMs a team should use for a model") {
    @Option(name = "--team", required = true, usage = "the team")
    var team: String = ""

    @Option(name = "--model", usage = "the model")
    var model: String? = null

    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        val query = listOfNotNull("team=$team", model?.let { "model=$it" }).joinToString("&")
        client.send(HttpMethod.Get, "/admin/address?$query").andThen { response ->
            val addresses = cliJson.decodeFromString(Addresses.serializer(), response)
            if (addresses.addresses.isEmpty()) {
                Err(CliFailure.Refused(0, "no_vm", "expected a live VM, found none"))
            } else {
                val text = addresses.addresses.joinToString("\n") + "\nvalid for ${addresses.lifetimeMs} ms"
                Ok(Output(text, response))
            }
        }
    }
}

@Serializable
internal data class Addresses(val addresses: List<String>, val lifetimeMs: Long)
