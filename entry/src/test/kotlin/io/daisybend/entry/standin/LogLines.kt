package io.daisybend.entry.standin

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.slf4j.LoggerFactory

/** Returns the log lines of [event] that [block] causes, as their fields by name. */
internal suspend fun linesOf(event: String, block: suspend () -> Unit): List<Map<String, Any?>> {
    val logger = LoggerFactory.getLogger("daisybend") as Logger
    val appender = ListAppender<ILoggingEvent>().apply { start() }
    logger.addAppender(appender)
    try {
        block()
    } finally {
        logger.detachAppender(appender)
    }
    return appender.list.toList().filter { it.message == event }.map { line ->
        line.keyValuePairs.associate { it.key to it.value }
    }
}
