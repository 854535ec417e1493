/*
 * Strict parser for HTTP/1.1 message heads. Messages that two parsers could interpret differently are rejected, which
 * prevents request smuggling.
 */
package io.daisybend.entry.http

import io.daisybend.platform.Header

/** Reason why a message is rejected, with the status for the caller. */
internal enum class MalformedMessage(val status: Int, val reason: String) {
    BAD_REQUEST(400, "malformed request"),
    HEAD_TOO_LARGE(431, "request head too large"),
    BODY_TOO_LARGE(413, "request body too large"),
    NO_BODY_MEMORY(503, "no room for the request's body"),
    UNSUPPORTED_CODING(501, "unsupported transfer coding"),
    UNSUPPORTED_VERSION(505, "unsupported protocol version"),
}

/** A message was rejected because of [problem]. */
internal class MalformedMessageException(val problem: MalformedMessage) : Exception(problem.reason)

/** How the end of a body is determined. */
internal sealed interface BodyFraming {
    data class Length(val bytes: Long) : BodyFraming
    data object Chunked : BodyFraming
    data object UntilClose : BodyFraming
}

/** Head of a request. */
internal data class RequestHead(
    val method: String,
    val target: String,
    val host: String,
    val headers: List<Header>,
    val framing: BodyFraming,
    val keepAlive: Boolean,
    val expectsContinue: Boolean,
) {
    /** The request target without its query. */
    val path: String get() = target.substringBefore('?')
}

/** Head of a response. */
internal data class ResponseHead(
    val status: Int,
    val reason: String,
    val headers: List<Header>,
    val framing: BodyFraming,
    val keepAlive: Boolean,
    /** The peer's keep-alive timeout in milliseconds, or null if it states none. */
    val keepAliveMs: Long?,
) {
    /** Whether the head of the response itself is still to come. */
    val isInterim: Boolean get() = status < FIRST_FINAL_STATUS

    private companion object {
        const val FIRST_FINAL_STATUS = 200
    }
}

/** Reads the lines of a head of at most [maxBytes]; returns null if the connection ends before the first byte. */
internal suspend fun ByteSource.readHeadLines(maxBytes: Int): List<String>? {
    val lines = ArrayList<String>()
    var consumedBytes = 0
    var emptyLines = 0
    while (true) {
        val line = readLine(maxBytes - consumedBytes, allowEof = lines.isEmpty()) ?: return null
        consumedBytes += line.length + LINE_END_BYTES
        if (line.isNotEmpty()) {
            lines.add(line)
        } else if (lines.isNotEmpty()) {
            return lines
        } else if (++emptyLines > MAX_EMPTY_LINES) {
            throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
        }
    }
}

/**
 * Reads a line that ends with CR LF and has at most [maxBytes]; returns null if the connection ends before its first
 * byte and [allowEof] is true.
 */
internal suspend fun ByteSource.readLine(maxBytes: Int, allowEof: Boolean = false): String? {
    var searchedBytes = 0
    while (true) {
        val lineFeed = indexOf(LINE_FEED, searchedBytes)
        val lineBytes = (if (lineFeed >= 0) lineFeed else buffered) - 1
        if (lineBytes > maxBytes) throw MalformedMessageException(MalformedMessage.HEAD_TOO_LARGE)
        if (lineFeed >= 0) return takeLine(lineFeed)
        searchedBytes = buffered
        if (fill()) continue
        if (allowEof && buffered == 0) return null
        throw ConnectionBrokenException(null)
    }
}

private fun ByteSource.takeLine(lineFeed: Int): String {
    requireWellFormed(lineFeed > 0 && get(lineFeed - 1) == CARRIAGE_RETURN)
    val line = takeText(lineFeed - 1)
    skip(LINE_END_BYTES)
    requireWellFormed(line.indexOf('\r') < 0)
    return line
}

/** Parses a request head from its [lines]; throws [MalformedMessageException]. */
internal fun parseRequestHead(lines: List<String>): RequestHead {
    val parts = lines.first().split(' ')
    requireWellFormed(
        parts.size == 3 && parts[0].isToken() && parts[1].startsWith("/") && parts[1].all { it in '!'..'~' },
    )
    if (!parts[2].startsWith("HTTP/")) throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
    if (parts[2] != "HTTP/1.1") throw MalformedMessageException(MalformedMessage.UNSUPPORTED_VERSION)
    val headers = parseHeaders(lines)
    val hosts = headers.valuesOf("host")
    requireWellFormed(hosts.size == 1 && hosts[0].isNotEmpty())
    val connection = headers.tokensOf("connection")
    return RequestHead(
        method = parts[0],
        target = parts[1],
        host = hosts[0].substringBefore(':'),
        headers = headers,
        framing = requestFraming(headers),
        keepAlive = "close" !in connection,
        expectsContinue = headers.tokensOf("expect").contains("100-continue"),
    )
}

/** Parses the head of a response to a request with [method] from its [lines]; throws [MalformedMessageException]. */
internal fun parseResponseHead(lines: List<String>, method: String): ResponseHead {
    // A head that was cut within a line would lend its status to the one that follows it.
    requireWellFormed(lines.none(embeddedStatusLine::containsMatchIn))
    val parts = lines.first().split(' ', limit = 3)
    val status = parts.getOrNull(1)?.takeIf { it.length == 3 }?.toIntOrNull()
    requireWellFormed(parts[0] == "HTTP/1.1" && status != null && status in 100..599)
    val headers = parseHeaders(lines)
    val timeoutS = headers.tokensOf("keep-alive").firstNotNullOfOrNull { it.removePrefix("timeout=").toDoubleOrNull() }
    val framing = responseFraming(headers, status, method)
    return ResponseHead(
        status = status,
        reason = parts.getOrElse(2) { "" },
        headers = headers,
        framing = framing,
        keepAlive = framing != BodyFraming.UntilClose && "close" !in headers.tokensOf("connection"),
        keepAliveMs = timeoutS?.let { (it * MILLIS_PER_SECOND).toLong() },
    )
}

private fun parseHeaders(lines: List<String>): List<Header> = lines.drop(1).map { line ->
    val colon = line.indexOf(':')
    requireWellFormed(colon > 0 && line.substring(0, colon).isToken())
    val value = line.substring(colon + 1).trim(' ', '\t')
    requireWellFormed(value.all { it == '\t' || (it >= ' ' && it != DELETE_CHARACTER) })
    Header(line.substring(0, colon), value)
}

private fun requestFraming(headers: List<Header>): BodyFraming {
    val codings = headers.valuesOf("transfer-encoding")
    val length = contentLength(headers)
    if (codings.isEmpty()) return BodyFraming.Length(length ?: 0L)
    requireWellFormed(length == null && codings.size == 1)
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
    requireWellFormed(length == null && codings.size == 1 && codings[0].equals("chunked", ignoreCase = true))
    return BodyFraming.Chunked
}

private fun contentLength(headers: List<Header>): Long? {
    val lengths = headers.valuesOf("content-length").toSet()
    if (lengths.isEmpty()) return null
    val length = lengths.singleOrNull()?.takeIf { text ->
        text.length in 1..MAX_CONTENT_LENGTH_DIGITS &&
            text.all { it in '0'..'9' }
    }
    requireWellFormed(length != null)
    return length.toLong()
}

internal fun List<Header>.valuesOf(name: String): List<String> =
    filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

private fun List<Header>.tokensOf(name: String): List<String> =
    valuesOf(name).flatMap { it.split(',') }.map { it.trim().lowercase() }

private fun String.isToken() =
    isNotEmpty() && all { it in '0'..'9' || it in 'a'..'z' || it in 'A'..'Z' || it in TOKEN_PUNCTUATION }

@OptIn(kotlin.contracts.ExperimentalContracts::class)
private fun requireWellFormed(condition: Boolean) {
    kotlin.contracts.contract { returns() implies condition }
    if (!condition) throw MalformedMessageException(MalformedMessage.BAD_REQUEST)
}

private val embeddedStatusLine = Regex(".HTTP/1\\.1 [1-5][0-9]{2}")
private const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val LINE_END_BYTES = 2
private const val DELETE_CHARACTER = '\u007f'
private const val MAX_EMPTY_LINES = 2
private const val FIRST_STATUS_WITH_BODY = 200
private val statusesWithoutBody = setOf(204, 304)
private const val MAX_CONTENT_LENGTH_DIGITS = 15
private const val MILLIS_PER_SECOND = 1000
