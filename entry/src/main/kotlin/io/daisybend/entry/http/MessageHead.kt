/*
 * The heads of HTTP/1.1 messages, read strictly: a message that two readers could take differently is refused, so no
 * request can hide inside another.
 */
package io.daisybend.entry.http

import io.daisybend.platform.Header

/** Why a message can't be read, with the status that tells a caller so. */
internal enum class MalformedMessage(val status: Int, val reason: String) {
    BAD_REQUEST(Status.BAD_REQUEST, "malformed request"),
    HEAD_TOO_LARGE(Status.HEAD_TOO_LARGE, "request head too large"),
    BODY_TOO_LARGE(Status.BODY_TOO_LARGE, "request body too large"),
    NO_ROOM(Status.UNAVAILABLE, "no room for the request's body"),
    UNSUPPORTED_CODING(Status.NOT_IMPLEMENTED, "unsupported transfer coding"),
    UNSUPPORTED_VERSION(Status.UNSUPPORTED_VERSION, "unsupported protocol version"),
}

/** A message that can't be read. */
internal class MalformedMessageException(val problem: MalformedMessage) : Exception(problem.reason)

/** How a body is delimited. */
internal sealed interface BodyFraming {
    data class Length(val bytes: Long) : BodyFraming
    data object Chunked : BodyFraming
    data object UntilClose : BodyFraming
}

/** The head of a request. */
internal data class RequestHead(
    val method: String,
    val target: String,
    val host: String,
    val headers: List<Header>,
    val framing: BodyFraming,
    val keepAlive: Boolean,
    val expectsContinue: Boolean,
) {
    /** The target without its query. */
    val path: String get() = target.substringBefore('?')
}

/** The head of an answer. */
internal data class ResponseHead(
    val status: Int,
    val reason: String,
    val headers: List<Header>,
    val framing: BodyFraming,
    val keepAlive: Boolean,
    /** How long the peer keeps the connection idle, in milliseconds; null when it did not say. */
    val keepAliveMs: Long?,
)

/** Reads a head of at most [maxBytes]; returns null at the connection's end before its first byte. */
internal suspend fun ByteSource.readHeadLines(maxBytes: Int): List<String>? {
    val lines = ArrayList<String>()
    var taken = 0
    var emptyLines = 0
    while (true) {
        val line = readLine(maxBytes - taken, atStart = lines.isEmpty()) ?: return null
        taken += line.length + LINE_END_BYTES
        if (line.isNotEmpty()) {
            lines.add(line)
        } else if (lines.isNotEmpty()) {
            return lines
        } else if (++emptyLines > MAX_EMPTY_LINES) {
            throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
        }
    }
}

/** Reads one line that ends with CR LF and is at most [maxBytes] long; null at the end of the connection [atStart]. */
internal suspend fun ByteSource.readLine(maxBytes: Int, atStart: Boolean = false): String? {
    var searched = 0
    while (true) {
        val lineFeed = indexOf(LINE_FEED, searched)
        val lineBytes = (if (lineFeed >= 0) lineFeed else buffered) - 1
        if (lineBytes > maxBytes) throw MalformedMessageException(MalformedMessage.HEAD_TOO_LARGE)
        if (lineFeed >= 0) return takeLine(lineFeed)
        searched = buffered
        if (fill()) continue
        if (atStart && buffered == 0) return null
        throw ConnectionBroken(null)
    }
}

private fun ByteSource.takeLine(lineFeed: Int): String {
    require(lineFeed > 0 && get(lineFeed - 1) == CARRIAGE_RETURN)
    val line = takeText(lineFeed - 1)
    skip(LINE_END_BYTES)
    require(line.indexOf('\r') < 0)
    return line
}

/** Returns the request whose head has [lines]; throws [MalformedMessageException]. */
internal fun parseRequestHead(lines: List<String>): RequestHead {
    val words = lines.first().split(' ')
    require(words.size == 3 && words[0].isToken() && words[1].startsWith("/") && words[1].all { it in '!'..'~' })
    if (!words[2].startsWith("HTTP/")) throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
    if (words[2] != "HTTP/1.1") throw MalformedMessageException(MalformedMessage.UNSUPPORTED_VERSION)
    val headers = parseHeaders(lines)
    val hosts = headers.valuesOf("host")
    require(hosts.size == 1 && hosts[0].isNotEmpty())
    val connection = headers.listOf("connection")
    return RequestHead(
        method = words[0],
        target = words[1],
        host = hosts[0].substringBefore(':'),
        headers = headers,
        framing = requestFraming(headers),
        keepAlive = "close" !in connection,
        expectsContinue = headers.listOf("expect").contains("100-continue"),
    )
}

/** Returns the answer to a request of [method] whose head has [lines]; throws [MalformedMessageException]. */
internal fun parseResponseHead(lines: List<String>, method: String): ResponseHead {
    val words = lines.first().split(' ', limit = 3)
    val status = words.getOrNull(1)?.takeIf { it.length == 3 }?.toIntOrNull()
    require(words[0] == "HTTP/1.1" && status != null && status in 100..599)
    val headers = parseHeaders(lines)
    val timeoutS = headers.listOf("keep-alive").firstNotNullOfOrNull { it.removePrefix("timeout=").toDoubleOrNull() }
    val framing = responseFraming(headers, status, method)
    return ResponseHead(
        status = status,
        reason = words.getOrElse(2) { "" },
        headers = headers,
        framing = framing,
        keepAlive = framing != BodyFraming.UntilClose && "close" !in headers.listOf("connection"),
        keepAliveMs = timeoutS?.let { (it * MILLIS_PER_SECOND).toLong() },
    )
}

private fun parseHeaders(lines: List<String>): List<Header> = lines.drop(1).map { line ->
    val colon = line.indexOf(':')
    require(colon > 0 && line.substring(0, colon).isToken())
    val value = line.substring(colon + 1).trim(' ', '\t')
    require(value.all { it == '\t' || (it >= ' ' && it != DELETE) })
    Header(line.substring(0, colon), value)
}

private fun requestFraming(headers: List<Header>): BodyFraming {
    val codings = headers.valuesOf("transfer-encoding")
    val length = contentLength(headers)
    if (codings.isEmpty()) return BodyFraming.Length(length ?: 0L)
    require(length == null && codings.size == 1)
    if (!codings[0].equals("chunked", ignoreCase = true)) {
        throw MalformedMessageException(MalformedMessage.UNSUPPORTED_CODING)
    }
    return BodyFraming.Chunked
}

private fun responseFraming(headers: List<Header>, status: Int, method: String): BodyFraming {
    if (method == "HEAD" ||
        status < FIRST_STATUS_WITH_BODY ||
        status in statusesWithoutBody
    ) {
        return BodyFraming.Length(0)
    }
    val codings = headers.valuesOf("transfer-encoding")
    val length = contentLength(headers)
    if (codings.isEmpty()) return length?.let { BodyFraming.Length(it) } ?: BodyFraming.UntilClose
    require(length == null && codings.size == 1 && codings[0].equals("chunked", ignoreCase = true))
    return BodyFraming.Chunked
}

private fun contentLength(headers: List<Header>): Long? {
    val lengths = headers.valuesOf("content-length").toSet()
    if (lengths.isEmpty()) return null
    val length = lengths.singleOrNull()?.takeIf { text ->
        text.length in 1..MAX_LENGTH_DIGITS &&
            text.all { it in '0'..'9' }
    }
    require(length != null)
    return length.toLong()
}

internal fun List<Header>.valuesOf(name: String): List<String> =
    filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

private fun List<Header>.listOf(name: String): List<String> =
    valuesOf(name).flatMap { it.split(',') }.map { it.trim().lowercase() }

private fun String.isToken() =
    isNotEmpty() && all { it in '0'..'9' || it in 'a'..'z' || it in 'A'..'Z' || it in TOKEN_SIGNS }

@OptIn(kotlin.contracts.ExperimentalContracts::class)
private fun require(condition: Boolean) {
    kotlin.contracts.contract { returns() implies condition }
    if (!condition) throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
}

private const val TOKEN_SIGNS = "!#$%&'*+-.^_`|~"
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val LINE_END_BYTES = 2
private const val DELETE = '\u007f'
private const val MAX_EMPTY_LINES = 2
private const val FIRST_STATUS_WITH_BODY = 200
private val statusesWithoutBody = setOf(204, 304)
private const val MAX_LENGTH_DIGITS = 15
private const val MILLIS_PER_SECOND = 1000
