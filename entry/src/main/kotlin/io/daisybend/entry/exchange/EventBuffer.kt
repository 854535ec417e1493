/*
 * Splits a stream into complete events. The caller only receives complete events, so that another endpoint can resume
 * the stream after the last one.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.MalformedMessage
import io.daisybend.entry.http.MalformedMessageException
import java.io.ByteArrayOutputStream

/** Buffers the bytes of a stream until an event is complete. */
internal class EventBuffer {
    private val partial = ByteArrayOutputStream()

    /** Id of the last complete event, or null. */
    var lastEventId: String? = null
        private set

    /**
     * Appends [bytes] and returns the events that are now complete, or an empty array if there are none. Throws
     * [MalformedMessageException] if an event exceeds [MAX_EVENT_BYTES].
     */
    fun completeEvents(bytes: ByteArray): ByteArray {
        if (partial.size() + bytes.size > MAX_EVENT_BYTES) {
            throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
        }
        partial.write(bytes)
        val collected = partial.toByteArray()
        val end = endOfLastEvent(collected)
        if (end == 0) return ByteArray(0)
        partial.reset()
        partial.write(collected, end, collected.size - end)
        val events = collected.copyOf(end)
        idOfLast(events)?.let { lastEventId = it }
        return events
    }

    /** Discards an incomplete event after the stream broke off. */
    fun discardPartial() = partial.reset()

    /** Removes and returns the bytes after the last complete event, at the end of the stream. */
    fun takeRemainder(): ByteArray = partial.toByteArray().also { partial.reset() }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (index in bytes.size - 1 downTo 1) {
            if (bytes[index] != LINE_FEED) continue
            val before = if (bytes[index - 1] == CARRIAGE_RETURN && index > 1) bytes[index - 2] else bytes[index - 1]
            if (before == LINE_FEED) return index + 1
        }
        return 0
    }

    private fun idOfLast(events: ByteArray): String? = String(events, Charsets.UTF_8).lineSequence()
        .filter { it.startsWith("id:") }
        .lastOrNull()
        ?.removePrefix("id:")
        ?.trim()

    private companion object {
        /** Bytes after which an event has no end: many times the tokens that one event holds. */
        const val MAX_EVENT_BYTES = 262_144
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
