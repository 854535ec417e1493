/*
 * Which endpoints may get a request at all: none of an evacuated failure domain, none outside of the home regions, and
 * cold or brittle ones only within the share of this VM. All ways to an endpoint pass here: first choices, retries,
 * second engines and the last check before a request is written.
 */
package io.daisybend.serving.endpoint

/** Decides which endpoints may get requests of this VM; thread-safe. */
public class EndpointEligibility(
    /** The cold endpoints and the share of this VM in their requests. */
    public val coldEngines: ColdEngines,
    /** The brittle engines and the share of this VM in their room. */
    public val brittleEngines: BrittleEngines,
    private val homeRegions: HomeRegions,
    private val evacuated: () -> EvacuatedDomains,
) {
    /** Returns those of [endpoints] that may serve a request with [homes], or with none if that is null. */
    public fun allowed(endpoints: List<Endpoint>, homes: Set<String>?): List<Endpoint> {
        val evacuated = evacuated()
        if (evacuated.isEmpty && homes == null) return endpoints
        return endpoints.filter {
            val domain = it.entry.failureDomain
            domain !in evacuated && homeRegions.allows(homes, domain)
        }
    }

    /** Returns whether operators have evacuated the failure domain of [endpoint]. */
    public fun isEvacuated(endpoint: Endpoint): Boolean = endpoint.entry.failureDomain in evacuated()

    /** Returns how much longer [endpoint] stays cold at [nowMs], in milliseconds. */
    public fun coldLeftMs(endpoint: Endpoint, nowMs: Long): Long = coldEngines.leftMs(endpoint, nowMs)

    /** Returns the time until [endpoint], which may be cold or brittle, may get a request at [nowMs]. */
    public fun waitMs(endpoint: Endpoint, nowMs: Long): Long =
        maxOf(coldEngines.waitMs(endpoint, nowMs), brittleEngines.waitMs(endpoint, nowMs))

    /** Returns [endpoints] without the cold ones at [nowMs]. */
    public fun withoutCold(endpoints: List<Endpoint>, nowMs: Long): List<Endpoint> =
        if (coldEngines.isInUse) endpoints.filter { coldEngines.leftMs(it, nowMs) == 0L } else endpoints

    /** Takes one request to [endpoint] at [nowMs]; returns false if it is cold or brittle and may not get one. */
    public fun take(endpoint: Endpoint, nowMs: Long): Boolean {
        if (!coldEngines.take(endpoint, nowMs)) return false
        if (brittleEngines.take(endpoint, nowMs)) return true
        coldEngines.giveBack(endpoint, nowMs)
        return false
    }

    /** Gives back a request to [endpoint] that was taken at [takenAtMs] and of which no byte was written. */
    public fun giveBack(endpoint: Endpoint, takenAtMs: Long) {
        coldEngines.giveBack(endpoint, takenAtMs)
        brittleEngines.giveBack(endpoint, takenAtMs)
    }

    /** Returns whether the request that was taken for [endpoint] at [takenAtMs] may still be written at [nowMs]. */
    public fun maySend(endpoint: Endpoint, takenAtMs: Long, nowMs: Long): Boolean =
        !isEvacuated(endpoint) &&
            coldEngines.maySend(endpoint, takenAtMs, nowMs) &&
            brittleEngines.maySend(endpoint, takenAtMs, nowMs)
}
