/*
 * The use of endpoints by the peers as running sums, so that a choice does not add up the reports of all peers. A
 * report replaces what its sender reported before; a peer that is not heard any more is removed.
 */
package io.daisybend.serving.endpoint

import java.util.concurrent.ConcurrentHashMap

/** Sums of the peers' uses by endpoint id; thread-safe, and reads take no lock. */
public class PeerUseIndex {
    private val sums = ConcurrentHashMap<String, EndpointLoad>()
    private val usesByPeer = HashMap<String, Map<String, EndpointLoad>>()

    /** Replaces the uses of [peer] by [uses], by endpoint id; negative figures count as 0. */
    @Synchronized
    public fun onReport(peer: String, uses: Map<String, EndpointLoad>) {
        val valid = uses.mapValues { (_, use) ->
            EndpointLoad(
                use.inFlight.coerceIn(0, MAX_IN_FLIGHT),
                use.pendingPromptTokens.coerceIn(0, MAX_TOKENS),
                use.kvTokens.coerceIn(0, MAX_TOKENS),
            )
        }
        usesByPeer.put(peer, valid)?.forEach { (endpoint, use) -> add(endpoint, use, sign = -1) }
        valid.forEach { (endpoint, use) -> add(endpoint, use, sign = 1) }
    }

    /** Removes the uses of all peers except [alive]. */
    @Synchronized
    public fun retain(alive: Set<String>) {
        (usesByPeer.keys - alive).forEach { lost ->
            usesByPeer.remove(lost)?.forEach { (endpoint, use) -> add(endpoint, use, sign = -1) }
        }
    }

    /** Returns the use of [endpoint] by all peers. */
    public fun useOf(endpoint: String): EndpointLoad = sums[endpoint] ?: NONE

    private fun add(endpoint: String, use: EndpointLoad, sign: Int) {
        val known = sums[endpoint] ?: NONE
        val sum = EndpointLoad(
            known.inFlight + sign * use.inFlight,
            known.pendingPromptTokens + sign * use.pendingPromptTokens,
            known.kvTokens + sign * use.kvTokens,
        )
        if (sum == NONE) sums.remove(endpoint) else sums[endpoint] = sum
    }

    private companion object {
        val NONE = EndpointLoad(0, 0, 0)

        /** Greatest use that one report may claim: far above what an engine takes, and sums don't overflow. */
        const val MAX_IN_FLIGHT = 100_000
        const val MAX_TOKENS = 1_000_000_000L
    }
}
