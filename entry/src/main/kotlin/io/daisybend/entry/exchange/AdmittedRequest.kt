/*
 * A request that passed the admission checks, with its deadlines.
 */
package io.daisybend.entry.exchange

import io.daisybend.platform.CallerRequestHeaders
import io.daisybend.serving.site.Route
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
    /** When the request arrived, in milliseconds of the steady clock. */
    val arrivedAtMs: Long,
    /** Time at which the caller or the route times out, in milliseconds of the steady clock. */
    val deadlineAtMs: Long,
) {
    /**
     * Time at which a caller gives up if it has received no event of a stream, in milliseconds of the steady clock.
     */
    val firstEventDeadlineAtMs: Long
        get() = minOf(
            deadlineAtMs,
            arrivedAtMs + maxOf(MIN_FIRST_EVENT_TIMEOUT_MS, FIRST_EVENT_TIMEOUT_FACTOR * route.targetLatencyMs),
        )

    /** Priority of the request: the team's if it has one, otherwise the route's. */
    val priority: Int get() = team?.priority ?: route.priority
}

/**
 * How long callers wait for the first event: at least this many milliseconds, and at least this multiple of the route's
 * target latency. Both are set by the platform.
 */
private const val MIN_FIRST_EVENT_TIMEOUT_MS = 2_000L
private const val FIRST_EVENT_TIMEOUT_FACTOR = 4L
