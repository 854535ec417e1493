/*
 * Turns of requests at endpoints: an endpoint may have named a limit or a pause, and a cold one takes few requests from
 * all VMs together. A turn is taken at once with the reservation of the endpoint, so that two requests don't share one.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointChoice
import io.daisybend.serving.endpoint.EndpointEligibility
import io.daisybend.serving.endpoint.EndpointPauses
import io.daisybend.serving.rates.EndpointRateLimiter

/** Takes turns at endpoints and prefers warm endpoints. */
internal class EndpointTurns(
    private val rateLimiter: EndpointRateLimiter,
    private val pauses: EndpointPauses,
    private val eligibility: EndpointEligibility,
    private val steadyMs: () -> Long,
) {
    /** Takes a turn at [endpoint], or returns null if there is none now. */
    fun take(endpoint: Endpoint): EndpointSelection.Selected? {
        val now = steadyMs()
        if (!rateLimiter.admit(endpoint.incarnation, now)) return null
        if (eligibility.take(endpoint, now)) return EndpointSelection.Selected(endpoint, now)
        rateLimiter.refund(endpoint.incarnation)
        return null
    }

    /** Returns the time from [now] until [endpoint] takes a request of this VM, in milliseconds. */
    fun waitMs(endpoint: Endpoint, now: Long): Long =
        maxOf(pauses.leftMs(endpoint.incarnation, now), eligibility.waitMs(endpoint, now))

    /** Returns whether the endpoints of [service] are brittle. */
    fun isBrittle(service: String): Boolean = eligibility.brittleEngines.isBrittle(service)

    /** Counts [admitted] as held back if it was not sent at once and the endpoints of its service are brittle. */
    fun countHeldBack(admitted: AdmittedRequest, isSent: Boolean) {
        if (!isSent && isBrittle(admitted.service.name)) eligibility.brittleEngines.onHeldBack()
    }

    /** Returns [endpoints] without brittle ones that would turn [admitted] away because it exceeds their memory. */
    inline fun withFittingMemory(
        endpoints: List<Endpoint>,
        admitted: AdmittedRequest,
        kvTotalOf: (Endpoint) -> Long?,
    ): List<Endpoint> {
        val engine = admitted.service.engine ?: return endpoints
        val demand = admitted.caller.demand ?: return endpoints
        if (!isBrittle(admitted.service.name)) return endpoints
        val tokens = demand.promptTokens.toLong() + demand.maxOutputTokens
        return endpoints.filter { tokens <= (kvTotalOf(it) ?: engine.kvCapacityTokens.toLong()) }
    }

    /** Returns the wait for endpoints of [service] that take no request for [leftMs]: at brittle ones for each turn. */
    fun waitFor(service: String, leftMs: Long, now: Long): EndpointChoice = if (isBrittle(service)) {
        EndpointChoice.Limited(maxOf(leftMs, eligibility.brittleEngines.turnMs(service, now)))
    } else {
        EndpointChoice.Paused(leftMs)
    }

    /** Returns what [choose] chooses among [open]: a cold endpoint only if no warm one can take the request now. */
    inline fun chooseWarmFirst(
        open: List<Endpoint>,
        now: Long,
        choose: (List<Endpoint>) -> EndpointChoice,
    ): EndpointChoice {
        val warm = warmOf(open, now)
        if (warm.size == open.size) return choose(open)
        return choose(warm.filterNot { it.isEjected(now) }) as? EndpointChoice.Send ?: choose(open)
    }

    /** Returns [open] without the cold endpoints at [now]. */
    fun warmOf(open: List<Endpoint>, now: Long): List<Endpoint> = eligibility.withoutCold(open, now)
}
