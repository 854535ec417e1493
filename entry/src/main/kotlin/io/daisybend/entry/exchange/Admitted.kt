/*
 * A request that passed its checks, with the times in which it must be answered.
 */
package io.daisybend.entry.exchange

import io.daisybend.platform.CallerRequestHeaders
import io.daisybend.serving.site.Route
import io.daisybend.serving.site.Service
import io.daisybend.serving.site.Team

/** An admitted request on its way to an endpoint. */
internal class Admitted(
    val request: ReadyRequest,
    val caller: CallerRequestHeaders,
    val route: Route,
    val service: Service,
    val team: Team?,
    val configurationVersion: Long,
    /** When the request arrived, in milliseconds of the steady clock. */
    val arrivedAtMs: Long,
    /** When the caller or the route gives up, in the same milliseconds. */
    val endsAtMs: Long,
) {
    /** When a caller gives up that got no event of a stream, in the same milliseconds. */
    val firstEventByMs: Long
        get() = minOf(
            endsAtMs,
            arrivedAtMs + maxOf(FIRST_EVENT_PATIENCE_MS, FIRST_EVENT_PATIENCE_TARGETS * route.targetLatencyMs),
        )

    /** The priority that counts: the team's before the route's. */
    val priority: Int get() = team?.priority ?: route.priority
}

/** How long callers wait for a first event, in milliseconds and in targets of the route; set by the platform. */
private const val FIRST_EVENT_PATIENCE_MS = 2_000L
private const val FIRST_EVENT_PATIENCE_TARGETS = 4L
