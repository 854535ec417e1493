/*
 * Cuts a stream into whole events, so that what a caller has got always ends behind an event and the stream can go on
 * at another endpoint.
 */
package io.daisybend.entry.exchange

import java.io.ByteArrayOutputStream

/** Collects bytes of a stream and gives them out in whole events. */
internal class EventBuffer {
    private val partial = ByteArrayOutputStream()

    /** The id of the last whole event, or null. */
    var lastEventId: String? = null
        private set

    /** Takes in [bytes] and returns the whole events that are now complete; empty when there are none. */
    fun completeEvents(bytes: ByteArray): ByteArray {
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

    /** Forgets the part of an event whose rest never came. */
    fun discardPartial() = partial.reset()

    /** Returns the part of an event that is left at the stream's end. */
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
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
