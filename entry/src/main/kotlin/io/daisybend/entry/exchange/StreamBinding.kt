/*
 * Binds the stream of one request to the version of the engines' software that began it, in this answer or in an
 * earlier one that the caller takes up.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.stream.Continuation
import io.daisybend.serving.stream.SoftwareVersion
import io.daisybend.serving.stream.StreamOrigins
import kotlinx.coroutines.delay

/** The binding of the stream of [admitted]; [listAgeMs] is the age of the list of endpoints in milliseconds. */
internal class StreamBinding(
    private val admitted: AdmittedRequest,
    private val origins: StreamOrigins,
    private val listAgeMs: () -> Long,
    private val steadyMs: () -> Long,
) {
    private val service = admitted.service.name

    /** The version whose events the caller has got in this answer, or null before the first event. */
    private var begunAt: SoftwareVersion? = null

    /** Returns where the next send may go; waits up to [ORIGIN_TIMEOUT_MS] for a peer to report an unknown origin. */
    suspend fun continuation(): Continuation {
        begunAt?.let { return Continuation.AtVersion(it) }
        if (!admitted.takesUpStream) return Continuation.Anywhere
        val waitEndsAtMs = minOf(steadyMs() + ORIGIN_TIMEOUT_MS, admitted.deadlineAtMs)
        while (true) {
            val known = knownContinuation()
            if (known != Continuation.Unknown || admitted.caller.resumedAttemptId == null) return known
            if (steadyMs() >= waitEndsAtMs) return known
            delay(ORIGIN_CHECK_INTERVAL_MS)
        }
    }

    private fun knownContinuation() =
        origins.continuationOf(admitted.caller.resumedAttemptId, service, listAgeMs(), steadyMs())

    /** Records that events of [endpoint] are about to be forwarded. */
    fun onEvents(endpoint: Endpoint) {
        if (begunAt != null || !admitted.isResumableStream) return
        begunAt = endpoint.entry.softwareVersion
        origins.onBegun(admitted.streamId, service, endpoint.entry.softwareVersion, steadyMs())
    }

    /** Records that the caller got only a part of the stream and may come back to any VM. */
    fun onInterrupted() {
        if (begunAt != null) origins.onInterrupted(admitted.streamId, service)
    }

    private companion object {
        /** How long a stream waits for the report of its origin, in milliseconds: a report that is due at once. */
        const val ORIGIN_TIMEOUT_MS = 300L
        const val ORIGIN_CHECK_INTERVAL_MS = 20L
    }
}
