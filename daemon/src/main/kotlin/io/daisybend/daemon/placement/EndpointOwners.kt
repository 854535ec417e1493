/*
 * Holds the state machines of the endpoint owners on this VM, striped by endpoint id with one lock per stripe.
 */
package io.daisybend.daemon.placement

import io.daisybend.configuration.EndpointSpec
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.placement.EndpointOwner
import io.daisybend.placement.OwnerAction
import io.daisybend.placement.OwnerEvent
import io.daisybend.placement.OwnerId
import io.daisybend.placement.PlacementLedger

internal class EndpointOwners(
    private val self: OwnerId,
    private val ledger: PlacementLedger,
    private val clock: MillisClock,
    private val perform: (EndpointId, OwnerAction) -> Unit,
) {
    private class Stripe {
        val owners = HashMap<EndpointId, EndpointOwner>()
    }

    private val stripes = List(STRIPE_COUNT) { Stripe() }

    /** Adds an owner for [endpoint] unless one exists. */
    fun add(endpoint: EndpointSpec) {
        val stripe = stripeOf(endpoint.endpointId)
        synchronized(stripe) {
            stripe.owners.getOrPut(endpoint.endpointId) {
                EndpointOwner(self, endpoint.endpointId, endpoint.capacity(), ledger)
            }
        }
    }

    fun endpointIds(): List<EndpointId> = stripes.flatMap { synchronized(it) { it.owners.keys.toList() } }

    fun isReady(endpointId: EndpointId): Boolean {
        val stripe = stripeOf(endpointId)
        return synchronized(stripe) { stripe.owners[endpointId]?.isReady() ?: false }
    }

    /** Passes [event] to the owner of [endpointId] and performs the resulting actions; ignores unknown endpoints. */
    fun handle(endpointId: EndpointId, event: OwnerEvent) {
        val stripe = stripeOf(endpointId)
        val actions = synchronized(stripe) { stripe.owners[endpointId]?.handle(event, clock.nowMs()) }.orEmpty()
        actions.forEach { perform(endpointId, it) }
    }

    private fun stripeOf(endpointId: EndpointId) = stripes[Math.floorMod(endpointId.hashCode(), STRIPE_COUNT)]

    private companion object {
        const val STRIPE_COUNT = 16
    }
}
