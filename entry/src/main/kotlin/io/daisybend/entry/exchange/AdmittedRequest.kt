/*
 * A request that passed the admission checks, with its deadlines.
 */
package io.daisybend.entry.exchange

import io.daisybend.platform.CallerRequestHeaders
import io.daisybend.serving.endpoint.homesOf
import io.daisybend.serving.quarantine.RequestFingerprint
import io.daisybend.serving.site.Route
import io.daisybend.serving.site.RouteKind
import io.daisybend.serving.site.Service
import io.daisybend.serving.site.Team

/** An admitted request on its way to an endpoint. */
internal class AdmittedRequest(
    val request: BufferedRequest,
    val caller: CallerRequestHeaders,
    val route: Route,
    val service: Service,
    val team: Team?,
    val configurationVersion: Long,
    /** When the request arrived, in milliseconds of the monotonic clock. */
    val arrivedAtMs: Long,
    /** Time at which the caller or the route times out, in milliseconds of the monotonic clock. */
    val deadlineAtMs: Long,
    /** Time from the beginning of this VM's stop to the arrival, in milliseconds, or null if it came before. */
    val sinceStopMs: Long? = null,
) {
    /** Time at which a caller without any event of a stream times out, in milliseconds of the monotonic clock. */
    val firstEventDeadlineAtMs: Long
        get() = minOf(
            deadlineAtMs,
            arrivedAtMs + eventGapTimeoutMs,
        )

    /** Gap after which a caller gives up a stream, also before its first event, in milliseconds. */
    val eventGapTimeoutMs: Long
        get() = maxOf(MIN_EVENT_GAP_TIMEOUT_MS, EVENT_GAP_TIMEOUT_FACTOR * route.targetLatencyMs)

    /** Ids of the prompt parts that other requests may share. */
    val sharedPartIds: List<String> =
        caller.demand?.sharedParts?.map { it.id }?.filter { it.length <= MAX_PART_ID_CHARS }.orEmpty()

    /** Identifies the stream over all attempts of the caller: the attempt that got its first event. */
    val streamId: String get() = caller.resumedAttemptId ?: request.attemptId

    @Volatile
    private var knownFingerprint: RequestFingerprint? = null

    /** Returns what identifies the request when it comes again, computed once by [fingerprinter]. */
    fun fingerprint(fingerprinter: RequestFingerprinter): RequestFingerprint =
        knownFingerprint ?: fingerprinter.fingerprintOf(this).also { knownFingerprint = it }

    /** Whether the response is a stream that another engine can resume. */
    val isResumableStream: Boolean get() = route.kind == RouteKind.STREAM && route.resumable

    /** Whether the caller takes up a stream of which it has events. */
    val takesUpStream: Boolean
        get() = isResumableStream && (caller.resumedAttemptId != null || caller.lastEventId != null)

    /** The regions whose endpoints may serve the request, or null for all. */
    val homes: Set<String>? = homesOf(route, team)

    /** Priority of the request: the team's if it has one, otherwise the route's. */
    val priority: Int get() = team?.priority ?: route.priority
}

/** Longer ids of parts are not compared: several times the length of a hash. */
private const val MAX_PART_ID_CHARS = 128

/** Minimum gap after which callers give up a stream, in milliseconds and in target latencies; set by the platform. */
private const val MIN_EVENT_GAP_TIMEOUT_MS = 2_000L
private const val EVENT_GAP_TIMEOUT_FACTOR = 4L
