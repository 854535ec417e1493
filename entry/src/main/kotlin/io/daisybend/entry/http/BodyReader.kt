/*
 * Reads one message's body piece by piece, without its framing.
 */
package io.daisybend.entry.http

/** Reads a body of [framing] from [source]. */
internal class BodyReader(private val source: ByteSource, private val framing: BodyFraming) {
    private var left: Long = (framing as? BodyFraming.Length)?.bytes ?: 0L
    private var inChunk = false

    /** Whether the whole body was read. */
    var isComplete: Boolean = framing is BodyFraming.Length && framing.bytes == 0L
        private set

    /** Returns the next bytes, or null behind the last; throws [ConnectionBroken] when the body breaks off. */
    suspend fun next(): ByteArray? {
        if (isComplete) return null
        return when (framing) {
            is BodyFraming.Length -> nextOfLength()
            BodyFraming.Chunked -> nextOfChunks()
            BodyFraming.UntilClose -> nextUntilClose()
        }
    }

    private suspend fun nextOfLength(): ByteArray {
        if (source.buffered == 0 && !source.fill()) throw ConnectionBroken(null)
        val piece = source.take(minOf(left, MAX_PIECE_BYTES.toLong()).toInt())
        left -= piece.size
        if (left == 0L) isComplete = true
        return piece
    }

    private suspend fun nextUntilClose(): ByteArray? {
        if (source.buffered == 0 && !source.fill()) {
            isComplete = true
            return null
        }
        return source.take(MAX_PIECE_BYTES)
    }

    private suspend fun nextOfChunks(): ByteArray? {
        if (!inChunk) {
            left = readChunkSize()
            if (left == 0L) {
                readTrailers()
                isComplete = true
                return null
            }
            inChunk = true
        }
        if (source.buffered == 0 && !source.fill()) throw ConnectionBroken(null)
        val piece = source.take(minOf(left, MAX_PIECE_BYTES.toLong()).toInt())
        left -= piece.size
        if (left == 0L) {
            if (source.readLine(0) != "") throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
            inChunk = false
        }
        return piece
    }

    private suspend fun readChunkSize(): Long {
        val line = source.readLine(MAX_CHUNK_LINE_BYTES) ?: throw ConnectionBroken(null)
        val digits = line.substringBefore(';').trimEnd(' ', '\t')
        val isNumber =
            digits.length in 1..MAX_CHUNK_DIGITS && digits.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
        if (!isNumber) throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
        return digits.toLong(HEX)
    }

    private suspend fun readTrailers() {
        var bytes = 0
        while (true) {
            val line = source.readLine(MAX_TRAILER_BYTES - bytes) ?: throw ConnectionBroken(null)
            if (line.isEmpty()) return
            bytes += line.length
        }
    }

    private companion object {
        const val HEX = 16
        const val MAX_PIECE_BYTES = 16_384
        const val MAX_CHUNK_LINE_BYTES = 256
        const val MAX_CHUNK_DIGITS = 8
        const val MAX_TRAILER_BYTES = 4_096
    }
}

/** Returns the whole rest of the body; throws when it is larger than [maxBytes] or [take] has no room for a piece. */
internal suspend fun BodyReader.readAll(maxBytes: Int, take: (Int) -> Boolean = { true }): ByteArray {
    val pieces = ArrayList<ByteArray>()
    var size = 0
    while (true) {
        val piece = next() ?: break
        size += piece.size
        if (size > maxBytes) throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
        if (!take(piece.size)) throw MalformedMessageException(MalformedMessage.NO_ROOM)
        pieces.add(piece)
    }
    if (pieces.size == 1) return pieces[0]
    val whole = ByteArray(size)
    var offset = 0
    pieces.forEach { piece ->
        piece.copyInto(whole, offset)
        offset += piece.size
    }
    return whole
}
