/*
 * Statuses of HTTP/1.1 that the entry VM answers with or heeds.
 */
package io.daisybend.entry.http

/** Status codes by name. */
internal object Status {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val UNAUTHENTICATED = 401
    const val NOT_FOUND = 404
    const val REQUEST_TIMEOUT = 408
    const val BODY_TOO_LARGE = 413
    const val OVER_RATE = 429
    const val HEAD_TOO_LARGE = 431
    const val NOT_IMPLEMENTED = 501
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val TIMEOUT = 504
    const val UNSUPPORTED_VERSION = 505

    /** Whether [status] tells of success. */
    fun isSuccess(status: Int): Boolean = status in 200..299

    /** Whether [status] tells that the server failed. */
    fun isServerError(status: Int): Boolean = status >= 500
}

/** The text of [status] in a status line. */
internal fun reasonOf(status: Int): String = when (status) {
    Status.OK -> "OK"
    Status.BAD_REQUEST -> "Bad Request"
    Status.UNAUTHENTICATED -> "Unauthorized"
    Status.NOT_FOUND -> "Not Found"
    Status.REQUEST_TIMEOUT -> "Request Timeout"
    Status.BODY_TOO_LARGE -> "Content Too Large"
    Status.OVER_RATE -> "Too Many Requests"
    Status.HEAD_TOO_LARGE -> "Request Header Fields Too Large"
    Status.NOT_IMPLEMENTED -> "Not Implemented"
    Status.BAD_GATEWAY -> "Bad Gateway"
    Status.UNAVAILABLE -> "Service Unavailable"
    Status.TIMEOUT -> "Gateway Timeout"
    Status.UNSUPPORTED_VERSION -> "HTTP Version Not Supported"
    else -> "Status"
}
