/*
 * Commands that show what the system does, and the one that drains a VM.
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
        client.fetchAll("/admin/status").map { answers ->
            val lines = answers.flatMap { cliJson.decodeFromString(statusList, it) }.distinct()
            val sorted = lines.sortedWith(compareBy({ it.kind }, { it.subject }))
            val human = sorted.joinToString("\n") { "%-16s %-28s %s".format(it.kind, it.subject, it.state) }
            Output(human, cliJson.encodeToString(statusList, sorted))
        }
    }

    private companion object {
        val statusList = ListSerializer(StatusLine.serializer())
    }
}

internal class DrainCommand : Command("drain", "stop the daemon at the first operators' address gracefully") {
    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        client.send(HttpMethod.Post, "/admin/drain").map { answer ->
            val line = cliJson.decodeFromString(StatusLine.serializer(), answer)
            Output("${line.subject} is leaving", answer)
        }
    }
}

internal class TimelineCommand : Command("timeline", "show the events of all processes in one order") {
    @Option(name = "--request", usage = "only events of this request")
    var request: String? = null

    @Option(name = "--team", usage = "only events of this team")
    var team: String? = null

    @Option(name = "--model", usage = "only events of this model")
    var model: String? = null

    @Option(name = "--vm", usage = "only events of this VM")
    var vm: String? = null

    @Option(name = "--log", metaVar = "FILE,...", usage = "also read the events in these daemons' log files")
    var logs: String = ""

    override suspend fun run(): Result<Output, CliFailure> = eventsInLogs().andThen { logged ->
        withClient { client -> client.fetchAll("/admin/timeline") }.map { answers ->
            val live = answers.map { cliJson.decodeFromString(eventList, it) }
            val events = mergeTimelines(live + listOf(logged)).distinct().filter { wanted(it) }
            Output(events.joinToString("\n") { it.line() }, cliJson.encodeToString(eventList, events))
        }
    }

    private fun eventsInLogs(): Result<List<TimelineEvent>, CliFailure> {
        val files = logs.split(',').filter { it.isNotEmpty() }
        return files.fold(Ok(emptyList<TimelineEvent>()) as Result<List<TimelineEvent>, CliFailure>) { before, file ->
            before.andThen { events -> readText(file).map { text -> events + text.lines().mapNotNull(::eventIn) } }
        }
    }

    private fun eventIn(line: String): TimelineEvent? = try {
        cliJson.decodeFromString(LogLine.serializer(), line).event
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun wanted(event: TimelineEvent): Boolean {
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

private fun TimelineEvent.line(): String {
    val subjects = listOfNotNull(
        requestId?.let { "request=${it.value}" },
        teamId?.let { "team=${it.value}" },
        modelId?.let { "model=${it.value}" },
        endpointId?.let { "endpoint=${it.value}" },
        detail.ifEmpty { null },
    )
    val time = timeFormat.format(Instant.ofEpochMilli(atMs))
    return "%s %-8s %-24s %s".format(time, vmId.value, kind, subjects.joinToString(" ")).trimEnd()
}

internal class AddressCommand : Command("address", "show which VMs a team should use for a model") {
    @Option(name = "--team", required = true, usage = "the team")
    var team: String = ""

    @Option(name = "--model", usage = "the model")
    var model: String? = null

    override suspend fun run(): Result<Output, CliFailure> = withClient { client ->
        val query = listOfNotNull("team=$team", model?.let { "model=$it" }).joinToString("&")
        client.send(HttpMethod.Get, "/admin/address?$query").andThen { answer ->
            val addresses = cliJson.decodeFromString(Addresses.serializer(), answer)
            if (addresses.addresses.isEmpty()) {
                Err(CliFailure.Refused(0, "no_vm", "expected a live VM, none is known"))
            } else {
                val human = addresses.addresses.joinToString("\n") + "\nvalid for ${addresses.lifetimeMs} ms"
                Ok(Output(human, answer))
            }
        }
    }
}

@Serializable
internal data class Addresses(val addresses: List<String>, val lifetimeMs: Long)
