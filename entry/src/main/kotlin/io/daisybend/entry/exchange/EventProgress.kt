/*
 * Follows a stream of events without keeping its bytes: counts the complete events and shows whether the stream is
 * inside one.
 */
package io.daisybend.entry.exchange

/** The progress of one stream; an event ends with an empty line. */
internal class EventProgress {
    private var isLineEmpty = true

    /** Number of complete events. */
    var eventCount: Int = 0
        private set

    /** Whether bytes have arrived after the last complete event. */
    var isInsideEvent: Boolean = false
        private set

    /** Follows the next [bytes] of the stream. */
    fun onBytes(bytes: ByteArray) = bytes.forEach(::onByte)

    private fun onByte(byte: Byte) = when (byte) {
        CARRIAGE_RETURN -> Unit
        LINE_FEED -> onLineEnd()
        else -> {
            isLineEmpty = false
            isInsideEvent = true
        }
    }

    private fun onLineEnd() {
        if (isLineEmpty && isInsideEvent) {
            eventCount++
            isInsideEvent = false
        }
        isLineEmpty = true
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
