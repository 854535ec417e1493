/*
 * The owners of this VM's endpoints, in shards by endpoint, each under its own lock.
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
    private class Shard {
        val owners = HashMap<EndpointId, EndpointOwner>()
    }

    private val shards = List(SHARDS) { Shard() }

    /** Starts an owner for [endpoint] if there is none yet. */
    fun add(endpoint: EndpointSpec) {
        val shard = shardOf(endpoint.endpointId)
        synchronized(shard) {
            shard.owners.getOrPut(endpoint.endpointId) {
                EndpointOwner(self, endpoint.endpointId, endpoint.capacity(), ledger)
            }
        }
    }

    fun endpointIds(): List<EndpointId> = shards.flatMap { synchronized(it) { it.owners.keys.toList() } }

    fun isReady(endpointId: EndpointId): Boolean {
        val shard = shardOf(endpointId)
        return synchronized(shard) { shard.owners[endpointId]?.isReady() ?: false }
    }

    /** Passes [event] to the owner of [endpointId] and performs what it asks for; ignores unknown endpoints. */
    fun handle(endpointId: EndpointId, event: OwnerEvent) {
        val shard = shardOf(endpointId)
        val actions = synchronized(shard) { shard.owners[endpointId]?.handle(event, clock.nowMs()) }.orEmpty()
        actions.forEach { perform(endpointId, it) }
    }

    private fun shardOf(endpointId: EndpointId) = shards[Math.floorMod(endpointId.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
    }
}
