/*
 * The shares of one VM in the slots of brittle endpoints and in the requests that these may turn away. Rendezvous
 * hashing decides who gets what does not divide evenly, so that one VM more or less changes few shares.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.rendezvousRank

/** The part of one VM: [slots] of an endpoint, and [turnedAway] requests that it may turn away in a second. */
internal data class BrittleShare(val slots: Int, val turnedAway: Int) {
    /** What this VM may have turned away while it counts: a VM without a part has one for a longer time. */
    val mayBeTurnedAway: Int get() = turnedAway.coerceAtLeast(1)
}

/** The shares of one VM in the endpoints of a service. */
internal class BrittleShares private constructor(private val shares: Map<Incarnation, BrittleShare>) {
    /** Returns the share in [endpoint], or null if that was not listed. */
    fun of(endpoint: Incarnation): BrittleShare? = shares[endpoint]

    /** Returns these shares, but no more slots than in [other]. */
    fun atMost(other: BrittleShares): BrittleShares = BrittleShares(
        shares.mapValues { (endpoint, share) ->
            share.copy(slots = minOf(share.slots, other.of(endpoint)?.slots ?: share.slots))
        },
    )

    companion object {
        /** Returns the shares of [ownVm] among [vms] in [endpoints] that may turn [limit] requests away in a second. */
        fun of(endpoints: List<Endpoint>, vms: Set<String>, ownVm: String, limit: Int): BrittleShares {
            val count = vms.size
            val ranks = endpoints.associateWith { rendezvousRank(keyOf(it), ownVm, vms) }
            val slots = ranks.mapValues { (endpoint, rank) -> partOf(endpoint.entry.slots, count, rank) }
            // A VM without a slot anywhere has one where that makes no endpoint turn more away than it may.
            val hasNone = slots.values.all { it == 0 }
            return BrittleShares(
                ranks.entries.associate { (endpoint, rank) ->
                    val isExtra = hasNone && rank < endpoint.entry.slots + limit
                    val own = if (isExtra) 1 else slots.getValue(endpoint)
                    endpoint.incarnation to BrittleShare(own, partOf(limit, count, rank))
                },
            )
        }

        private fun keyOf(endpoint: Endpoint) = "${endpoint.incarnation.id}@${endpoint.incarnation.bornMs}"

        /** Returns the part of the VM at [rank] in [whole], of which the first of [count] VMs get the rest. */
        private fun partOf(whole: Int, count: Int, rank: Int): Int = whole / count + if (rank < whole % count) 1 else 0
    }
}
