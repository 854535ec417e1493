/*
 * Decides which VM should own which endpoint: the first by rendezvous hash among the live VMs. A planner acts only for
 * its own VM. It takes over an endpoint that has no owner or whose owner has been missing from the list for a while,
 * and hands over an endpoint for which another live VM has come to rank first. It takes over endpoints of a former run
 * of its own VM whatever its rank, because that VM still looks live to the others. Two VMs with different lists may
 * both try; the ledger accepts one claim, and the other VM does not try again while the winner is listed.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.VmId
import io.daisybend.kernel.firstByRendezvous

/** The time for which a reason to change the owner must persist before a planner acts on it. */
public data class OwnershipSettings(val takeoverDelayMs: Long = 2_000, val handOverDelayMs: Long = 10_000)

/** Returns the VM that should own [endpointId], or null if [liveVms] is empty. */
public fun preferredOwner(endpointId: EndpointId, liveVms: Collection<VmId>): VmId? =
    firstByRendezvous(endpointId.value, liveVms)

/** Decides when [self] claims and hands over endpoints. Not thread-safe. */
public class OwnershipPlanner(
    private val self: OwnerId,
    private val settings: OwnershipSettings = OwnershipSettings(),
) {
    private enum class OwnershipChange { TAKE_OVER, HAND_OVER }

    private class PendingChange(val change: OwnershipChange, val sinceMs: Long)

    private val pendingChanges = HashMap<EndpointId, PendingChange>()
    private val preferredOwners = HashMap<EndpointId, VmId?>()
    private var rankedList: Collection<VmId> = emptyList()

    /**
     * Returns the event to pass to this VM's [EndpointOwner] of [endpointId] now, or null; [liveVms] excludes leaving
     * VMs and must not be modified after the call.
     */
    public fun plan(
        endpointId: EndpointId,
        entry: EndpointEntry?,
        liveVms: Collection<VmId>,
        nowMs: Long,
    ): OwnerEvent? {
        val desiredChange = desiredChangeOf(endpointId, entry, liveVms)
        if (desiredChange == null) {
            pendingChanges.remove(endpointId)
            return null
        }
        val pendingChange =
            pendingChanges[endpointId]?.takeIf { it.change == desiredChange } ?: PendingChange(desiredChange, nowMs)
        pendingChanges[endpointId] = pendingChange
        if (nowMs - pendingChange.sinceMs < delayMs(desiredChange, entry, liveVms)) return null
        return when (desiredChange) {
            OwnershipChange.TAKE_OVER -> OwnerEvent.TakeOver(entry?.fence ?: NO_FENCE)
            OwnershipChange.HAND_OVER -> OwnerEvent.HandOver
        }
    }

    private fun desiredChangeOf(
        endpointId: EndpointId,
        entry: EndpointEntry?,
        liveVms: Collection<VmId>,
    ): OwnershipChange? {
        val preferred = cachedPreferredOwner(endpointId, liveVms)
        val owner = entry?.owner
        return when {
            owner == self -> OwnershipChange.HAND_OVER.takeIf { preferred != null && preferred != self.vmId }
            owner?.vmId == self.vmId -> OwnershipChange.TAKE_OVER
            preferred != self.vmId -> null
            owner == null || owner.vmId !in liveVms -> OwnershipChange.TAKE_OVER
            else -> null
        }
    }

    /** Ranks again only for another list instance, because each ranking hashes every VM. */
    private fun cachedPreferredOwner(endpointId: EndpointId, liveVms: Collection<VmId>): VmId? {
        if (liveVms !== rankedList) preferredOwners.clear()
        rankedList = liveVms
        return preferredOwners.getOrPut(endpointId) { preferredOwner(endpointId, liveVms) }
    }

    private fun delayMs(change: OwnershipChange, entry: EndpointEntry?, liveVms: Collection<VmId>): Long =
        when (change) {
            OwnershipChange.TAKE_OVER ->
                if (entry?.owner == null || entry.owner.vmId == self.vmId) 0 else settings.takeoverDelayMs
            OwnershipChange.HAND_OVER -> if (self.vmId in liveVms) settings.handOverDelayMs else 0
        }
}
