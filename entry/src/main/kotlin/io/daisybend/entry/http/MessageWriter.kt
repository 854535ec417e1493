/*
 * Writes heads and bodies of HTTP/1.1 messages.
 */
package io.daisybend.entry.http

import io.daisybend.platform.Header
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

private val crlf = "\r\n".toByteArray(Charsets.ISO_8859_1)
private val lastChunk = "0\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

/** Returns the bytes of a head with [startLine] and [headers]. */
internal fun encodeHead(startLine: String, headers: List<Header>): ByteArray = buildString {
    append(startLine).append("\r\n")
    headers.forEach { append(it.name).append(": ").append(it.value).append("\r\n") }
    append("\r\n")
}.toByteArray(Charsets.ISO_8859_1)

/** Returns [piece] as one chunk. */
internal fun encodeChunk(piece: ByteArray): ByteArray =
    (Integer.toHexString(piece.size) + "\r\n").toByteArray(Charsets.ISO_8859_1) + piece + crlf

/** Writes [pieces] and flushes once. */
internal suspend fun ByteWriteChannel.writeAll(vararg pieces: ByteArray) {
    pieces.forEach { if (it.isNotEmpty()) writeFully(it) }
    flush()
}

/** Ends a body in chunks. */
internal suspend fun ByteWriteChannel.writeLastChunk() = writeAll(lastChunk)

/** The text of [status] in a status line. */
internal fun reasonPhrase(status: Int): String = when (status) {
    200 -> "OK"
    400 -> "Bad Request"
    401 -> "Unauthorized"
    404 -> "Not Found"
    408 -> "Request Timeout"
    413 -> "Content Too Large"
    429 -> "Too Many Requests"
    431 -> "Request Header Fields Too Large"
    501 -> "Not Implemented"
    502 -> "Bad Gateway"
    503 -> "Service Unavailable"
    504 -> "Gateway Timeout"
    505 -> "HTTP Version Not Supported"
    else -> "Status"
}
