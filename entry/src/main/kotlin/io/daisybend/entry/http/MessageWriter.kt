/*
 * Encodes and writes the heads and bodies of HTTP/1.1 messages.
 */
package io.daisybend.entry.http

import io.daisybend.platform.Header
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

private val crlf = "\r\n".toByteArray(Charsets.ISO_8859_1)
private val lastChunk = "0\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

/** Returns an encoded message head with [startLine] and [headers]. */
internal fun encodeHead(startLine: String, headers: List<Header>): ByteArray = buildString {
    append(startLine).append("\r\n")
    headers.forEach { append(it.name).append(": ").append(it.value).append("\r\n") }
    append("\r\n")
}.toByteArray(Charsets.ISO_8859_1)

/** Returns [piece] encoded as one chunk. */
internal fun encodeChunk(piece: ByteArray): ByteArray =
    (Integer.toHexString(piece.size) + "\r\n").toByteArray(Charsets.ISO_8859_1) + piece + crlf

/** Writes all [pieces], then flushes once. */
internal suspend fun ByteWriteChannel.writeAll(vararg pieces: ByteArray) {
    pieces.forEach { if (it.isNotEmpty()) writeFully(it) }
    flush()
}

/** Writes the last chunk of a chunked body. */
internal suspend fun ByteWriteChannel.writeLastChunk() = writeAll(lastChunk)

/** Returns the reason phrase for [status]. */
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
