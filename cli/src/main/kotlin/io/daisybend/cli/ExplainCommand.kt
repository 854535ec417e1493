/*
 * Shows the history of a request, an engine or a model from the collected logs of all VMs: the lines that mention its
 * id, in time order. For a request, it adds lines about events that may have affected it: orders for its model,
 * hand-overs of the order duty, lost dependencies, and endpoints that paused or left.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.kohsuke.args4j.Argument
import java.time.Instant
import java.time.format.DateTimeParseException

/** Log line; [isRelated] if it does not mention the id but may explain the request's outcome. */
private class CollectedLine(val time: Instant, val fields: JsonObject, val isRelated: Boolean = false) {
    val event get() = text("message").orEmpty()

    fun text(name: String): String? = (fields[name] as? JsonPrimitive)?.content

    fun mentions(id: String): Boolean = fields.any { (name, value) -> name !in excludedFields && id in valuesOf(value) }

    private fun valuesOf(value: Any?): List<String> = when (value) {
        is JsonPrimitive -> listOf(value.content)
        is JsonArray -> value.flatMap(::valuesOf)
        else -> emptyList()
    }

    override fun toString(): String {
        val shown = fields.filterKeys {
            it !in omittedFields
        }.entries.joinToString(" ") { (name, value) -> "$name=$value" }
        return "%s %-16s %s%-24s %s".format(time, text("vm").orEmpty(), if (isRelated) "~ " else "  ", event, shown)
    }

    private companion object {
        val excludedFields = setOf("@timestamp", "message", "level")
        val omittedFields = setOf("@timestamp", "message", "level", "vm")
    }
}

internal class ExplainCommand : Command("explain", "explain a request, engine or model from collected logs") {
    @Argument(required = true, index = 0, metaVar = "ID", usage = "id of the request, engine or model")
    var id: String = ""

    @Argument(required = true, index = 1, multiValued = true, metaVar = "FILE", usage = "log files of the VMs")
    var files: List<String> = ArrayList()

    override suspend fun run(): Result<Output, CliFailure> {
        val lines = files
            .flatMap { file -> readText(file).getOrElse { return Err(it) }.lineSequence().mapNotNull(::parse).toList() }
            .sortedBy { it.time }
        val matching = lines.filter { it.mentions(id) }
        if (matching.isEmpty()) {
            return Err(
                CliFailure.Usage("expected lines that mention $id in ${files.size} files, found none"),
            )
        }
        val selected = (matching + relatedLines(matching, lines)).sortedBy { it.time }
        val dropped = lines.mapNotNull { line -> line.text("linesDropped")?.let { line.text("vm") to it } }.toMap()
        val warning = if (dropped.isEmpty()) "" else "\nlines not written, by VM: $dropped"
        return Ok(Output(selected.joinToString("\n") + warning, JsonArray(selected.map { it.fields }).toString()))
    }

    /** Parses a log line after any prefix added by the log collector; returns null for other text. */
    private fun parse(text: String): CollectedLine? {
        val start = text.indexOf('{')
        if (start < 0) return null
        return try {
            val fields = Json.parseToJsonElement(text.substring(start)) as? JsonObject
            val time = (fields?.get("@timestamp") as? JsonPrimitive)?.content
            if (fields == null || time == null) null else CollectedLine(Instant.parse(time), fields)
        } catch (ignored: IllegalArgumentException) {
            null
        } catch (ignored: DateTimeParseException) {
            null
        }
    }

    private fun relatedLines(matching: List<CollectedLine>, lines: List<CollectedLine>): List<CollectedLine> {
        val last = matching.lastOrNull { it.event == "request" || it.event == "request-refused" } ?: return emptyList()
        val tookMs = last.text("tookMs")?.toLongOrNull() ?: 0L
        val from = last.time.minusMillis(tookMs + LOOKBACK_MS)
        val model = last.text("model")?.substringBefore('/')
        val vm = last.text("vm")
        return lines.filter { it.time in from..last.time && it !in matching }
            .filter { line ->
                isAboutModel(line, model) || isAboutDependency(line, vm) || isAboutEndpoint(line, vm)
            }
            .map { CollectedLine(it.time, it.fields, isRelated = true) }
    }

    private fun isAboutModel(line: CollectedLine, model: String?): Boolean =
        model != null &&
            line.event in orderEvents &&
            (line.text("order") ?: line.text("model")).orEmpty().contains("model=$model")

    private fun isAboutDependency(line: CollectedLine, vm: String?): Boolean =
        line.event.startsWith("duty-turn") ||
            (line.text("vm") == vm && dependencyEvents.any { line.event.endsWith(it) })

    private fun isAboutEndpoint(line: CollectedLine, vm: String?): Boolean =
        line.text("vm") == vm && line.event in endpointEvents

    private companion object {
        /**
         * Time before a request's arrival, in milliseconds, in which related lines are searched; long enough to include
         * a hand-over of the order duty.
         */
        const val LOOKBACK_MS = 6_000L
        val orderEvents = setOf("order-sent", "order-answered", "load-ended")
        val endpointEvents = setOf("endpoint-paused", "endpoint-leaving", "endpoint-gone")
        val dependencyEvents = listOf(
            "-lost",
            "-regained",
            "-in-force",
            "started",
            "stopping",
            "evacuation-began",
            "evacuation-ended",
        )
    }
}
