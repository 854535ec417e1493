/*
 * Structured log of the process: one line for each decision that affects a request or changes the state of the VM.
 * Lines above the limit per second are counted and dropped, and writing never blocks on the reader of standard output.
 */
package io.daisybend.entry

import ch.qos.logback.classic.AsyncAppender
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import ch.qos.logback.classic.Logger as LogbackLogger

/** Maximum number of lines per second: above the number of requests and decisions that one VM is designed for. */
private const val MAX_LINES_PER_SECOND = 400

private const val MILLIS_PER_SECOND = 1000L

/** Writes events as JSON lines. */
internal class EventLog(
    private val vm: String,
    private val maxLinesPerSecond: Int = MAX_LINES_PER_SECOND,
    private val queueCapacity: () -> Int = ::remainingQueueCapacity,
) {
    private val logger = LoggerFactory.getLogger("daisybend")
    private val currentSecond = AtomicLong()
    private val linesInSecond = AtomicInteger()
    private val droppedLines = AtomicLong()

    /** Number of lines dropped since the start. */
    val droppedCount: Long get() = droppedLines.get()

    /**
     * Writes one line for [event] with [fields]; null fields are omitted. Drops the line if the limit per second is
     * reached or the output queue is full.
     */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!tryCountLine() || queueCapacity() == 0) {
            droppedLines.incrementAndGet()
            return
        }
        val line = logger.atInfo().addKeyValue("vm", vm)
        fields.forEach { (name, value) -> if (value != null) line.addKeyValue(name, value) }
        if (droppedLines.get() > 0) line.addKeyValue("linesDropped", droppedLines.get())
        line.log(event)
    }

    /** Writes one line at debug level for [event]; calls [fields] only if that level is on. */
    inline fun debug(event: String, fields: () -> Array<Pair<String, Any?>>) {
        if (isDebugEnabled) writeDebug(event, fields())
    }

    /** Whether lines at debug level are written. */
    val isDebugEnabled: Boolean get() = logger.isDebugEnabled

    /** Writes one line at debug level for [event] with [fields]; see [write]. */
    fun writeDebug(event: String, fields: Array<Pair<String, Any?>>) {
        if (!tryCountLine() || queueCapacity() == 0) return
        val line = logger.atDebug().addKeyValue("vm", vm)
        fields.forEach { (name, value) -> if (value != null) line.addKeyValue(name, value) }
        line.log(event)
    }

    private fun tryCountLine(): Boolean {
        val now = System.nanoTime() / NANOS_PER_MILLI / MILLIS_PER_SECOND
        if (currentSecond.getAndSet(now) != now) linesInSecond.set(0)
        return linesInSecond.incrementAndGet() <= maxLinesPerSecond
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Returns the number of lines that the output queue accepts before it drops lines. */
private fun remainingQueueCapacity(): Int {
    val root = LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? LogbackLogger ?: return Int.MAX_VALUE
    val queue = root.getAppender("ASYNC") as? AsyncAppender ?: return Int.MAX_VALUE
    return queue.remainingCapacity
}
