/*
 * A request that passed its checks, with the times in which it must be answered.
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
    /** When the caller or the route gives up, in the same milliseconds. */
    val deadlineAtMs: Long,
) {
    /** When a caller gives up that got no event of a stream, in the same milliseconds. */
    val firstEventDeadlineAtMs: Long
        get() = minOf(
            deadlineAtMs,
            arrivedAtMs + maxOf(MIN_FIRST_EVENT_TIMEOUT_MS, FIRST_EVENT_TIMEOUT_FACTOR * route.targetLatencyMs),
        )

    /** The priority that counts: the team's before the route's. */
    val priority: Int get() = team?.priority ?: route.priority
}

/** How long callers wait for a first event, in milliseconds and in targets of the route; set by the platform. */
private const val MIN_FIRST_EVENT_TIMEOUT_MS = 2_000L
private const val FIRST_EVENT_TIMEOUT_FACTOR = 4L
