/*
 * Reads the body of a message piece by piece and removes its framing.
 */
package io.daisybend.entry.http

/**
 * Reads a body with [framing] from [source]. The end of the connection ends a body without a length or chunks only if
 * [mayEndWithConnection] returns true then.
 */
internal class BodyReader(
    private val source: ByteSource,
    private val framing: BodyFraming,
    private val mayEndWithConnection: suspend () -> Boolean = { true },
) {
    private var remainingBytes: Long = (framing as? BodyFraming.Length)?.bytes ?: 0L
    private var isInsideChunk = false

    /** Whether the whole body was read. */
    var isComplete: Boolean = framing is BodyFraming.Length && framing.bytes == 0L
        private set

    /**
     * Returns the next bytes, or null after the last ones; throws [ConnectionBrokenException] if the connection ends
     * within the body.
     */
    suspend fun readPiece(): ByteArray? {
        if (isComplete) return null
        return when (framing) {
            is BodyFraming.Length -> readSized()
            BodyFraming.Chunked -> readChunked()
            BodyFraming.UntilClose -> readUntilClose()
        }
    }

    private suspend fun readSized(): ByteArray {
        if (source.buffered == 0 && !source.fill()) throw ConnectionBrokenException(null)
        val piece = source.take(minOf(remainingBytes, MAX_PIECE_BYTES.toLong()).toInt())
        remainingBytes -= piece.size
        if (remainingBytes == 0L) isComplete = true
        return piece
    }

    private suspend fun readUntilClose(): ByteArray? {
        if (source.buffered == 0 && !source.fill()) {
            if (!mayEndWithConnection()) throw ConnectionBrokenException(null)
            isComplete = true
            return null
        }
        return source.take(MAX_PIECE_BYTES)
    }

    private suspend fun readChunked(): ByteArray? {
        if (!isInsideChunk) {
            remainingBytes = readChunkSize()
            if (remainingBytes == 0L) {
                readTrailers()
                isComplete = true
                return null
            }
            isInsideChunk = true
        }
        if (source.buffered == 0 && !source.fill()) throw ConnectionBrokenException(null)
        val piece = source.take(minOf(remainingBytes, MAX_PIECE_BYTES.toLong()).toInt())
        remainingBytes -= piece.size
        if (remainingBytes == 0L) {
            if (source.readLine(0) != "") throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
            isInsideChunk = false
        }
        return piece
    }

    private suspend fun readChunkSize(): Long {
        val line = source.readLine(MAX_CHUNK_LINE_BYTES) ?: throw ConnectionBrokenException(null)
        val digits = line.substringBefore(';').trimEnd(' ', '\t')
        val isHexNumber =
            digits.length in 1..MAX_CHUNK_DIGITS && digits.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
        if (!isHexNumber) throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
        return digits.toLong(HEX_RADIX)
    }

    private suspend fun readTrailers() {
        var trailerBytes = 0
        while (true) {
            val line = source.readLine(MAX_TRAILER_BYTES - trailerBytes) ?: throw ConnectionBrokenException(null)
            if (line.isEmpty()) return
            trailerBytes += line.length
        }
    }

    private companion object {
        const val HEX_RADIX = 16
        const val MAX_PIECE_BYTES = 16_384
        const val MAX_CHUNK_LINE_BYTES = 256
        const val MAX_CHUNK_DIGITS = 8
        const val MAX_TRAILER_BYTES = 4_096
    }
}

/**
 * Returns the rest of the body. [reserve] is called with the memory that the body takes in addition; pieces are copied
 * together as they arrive, since a sender may choose to send many tiny ones. Throws [MalformedMessageException] if the
 * body exceeds [maxBytes] or [reserve] returns false.
 */
internal suspend fun BodyReader.readAll(maxBytes: Int, reserve: (Int) -> Boolean = { true }): ByteArray {
    var body = ByteArray(0)
    var size = 0
    while (true) {
        val piece = readPiece() ?: break
        val newSize = size + piece.size
        if (newSize > maxBytes) throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
        if (newSize > body.size) {
            val capacity = reserveCapacity(body.size, newSize, maxBytes, reserve)
            body = if (capacity == piece.size) piece else body.copyOf(capacity)
        }
        if (body !== piece) piece.copyInto(body, size)
        size = newSize
    }
    return if (size == body.size) body else body.copyOf(size)
}

/** Returns the capacity after reserving it: twice the old one, or just [neededBytes] if there is no room for that. */
private fun reserveCapacity(oldBytes: Int, neededBytes: Int, maxBytes: Int, reserve: (Int) -> Boolean): Int {
    val doubledBytes = maxOf(neededBytes, minOf(oldBytes * 2, maxBytes))
    return when {
        reserve(doubledBytes - oldBytes) -> doubledBytes
        doubledBytes > neededBytes && reserve(neededBytes - oldBytes) -> neededBytes
        else -> throw MalformedMessageException(MalformedMessage.NO_BODY_MEMORY)
    }
}

/** Reads the rest of the body without keeping it; throws [MalformedMessageException] if it exceeds [maxBytes]. */
internal suspend fun BodyReader.discardAll(maxBytes: Int) {
    var size = 0
    while (true) {
        size += readPiece()?.size ?: return
        if (size > maxBytes) throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
    }
}
