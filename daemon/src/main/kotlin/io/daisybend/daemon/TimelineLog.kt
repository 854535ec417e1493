/*
 * Writes each timeline event to the process log, so that the events of a terminated process can still be merged with
 * those of other processes.
 */
package io.daisybend.daemon

import io.daisybend.kernel.TimelineEvent
import kotlinx.serialization.json.Json
import net.logstash.logback.argument.StructuredArguments
import org.slf4j.LoggerFactory

private val timelineLog = LoggerFactory.getLogger("timeline")
private val json = Json { explicitNulls = false }

internal fun logEvent(event: TimelineEvent) {
    if (!timelineLog.isInfoEnabled) return
    val encoded = json.encodeToString(TimelineEvent.serializer(), event)
    timelineLog.info(event.kind, StructuredArguments.raw("event", encoded))
}
