/*
 * Writes heads and bodies of HTTP/1.1 messages.
 */
package io.daisybend.entry.http

import io.daisybend.platform.Header
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

private val lineEnd = "\r\n".toByteArray(Charsets.ISO_8859_1)
private val lastChunk = "0\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

/** Returns the bytes of a head with [startLine] and [headers]. */
internal fun headBytes(startLine: String, headers: List<Header>): ByteArray = buildString {
    append(startLine).append("\r\n")
    headers.forEach { append(it.name).append(": ").append(it.value).append("\r\n") }
    append("\r\n")
}.toByteArray(Charsets.ISO_8859_1)

/** Returns [piece] as one chunk. */
internal fun chunkBytes(piece: ByteArray): ByteArray =
    (Integer.toHexString(piece.size) + "\r\n").toByteArray(Charsets.ISO_8859_1) + piece + lineEnd

/** Writes [pieces] and flushes once. */
internal suspend fun ByteWriteChannel.writeAll(vararg pieces: ByteArray) {
    pieces.forEach { if (it.isNotEmpty()) writeFully(it) }
    flush()
}

/** Ends a body in chunks. */
internal suspend fun ByteWriteChannel.writeLastChunk() = writeAll(lastChunk)
