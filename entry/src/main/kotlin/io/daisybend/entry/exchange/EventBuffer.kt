/*
 * Splits a stream into complete events. The caller only receives complete events, so that another endpoint can resume
 * the stream after the last one.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.MalformedMessage
import io.daisybend.entry.http.MalformedMessageException

/** Buffers the bytes of a stream until an event is complete. */
internal class EventBuffer {
    private var partial = ByteArray(0)
    private var partialBytes = 0

    /** Id of the last complete event, or null. */
    var lastEventId: String? = null
        private set

    /**
     * Appends [bytes] and returns the events that are now complete, or an empty array if there are none. Throws
     * [MalformedMessageException] if an event exceeds [MAX_EVENT_BYTES].
     */
    fun completeEvents(bytes: ByteArray): ByteArray {
        val end = append(bytes)
        if (end == 0) return ByteArray(0)
        val events = partial.copyOf(end)
        partial.copyInto(partial, 0, end, partialBytes)
        partialBytes -= end
        idOfLast(events)?.let { lastEventId = it }
        return events
    }

    /** Discards an incomplete event after the stream broke off. */
    fun discardPartial() {
        partialBytes = 0
    }

    /** Removes and returns the bytes after the last complete event, at the end of the stream. */
    fun takeRemainder(): ByteArray = partial.copyOf(partialBytes).also { partialBytes = 0 }

    /** Appends [bytes]; returns the end of the last complete event, which is among them, or 0. */
    private fun append(bytes: ByteArray): Int {
        val oldBytes = partialBytes
        val newBytes = oldBytes + bytes.size
        if (newBytes > MAX_EVENT_BYTES) throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
        if (newBytes > partial.size) partial = partial.copyOf(maxOf(newBytes, partial.size * 2))
        bytes.copyInto(partial, oldBytes)
        partialBytes = newBytes
        for (index in newBytes - 1 downTo maxOf(oldBytes, 1)) if (isEndOfEvent(index)) return index + 1
        return 0
    }

    private fun isEndOfEvent(index: Int): Boolean {
        if (partial[index] != LINE_FEED) return false
        val isAfterReturn = partial[index - 1] == CARRIAGE_RETURN && index > 1
        return partial[if (isAfterReturn) index - 2 else index - 1] == LINE_FEED
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
