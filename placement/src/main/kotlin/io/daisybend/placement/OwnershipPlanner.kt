/*
 * Which VM should own which endpoint: the first by rendezvous hash over the live VMs. A planner acts only for its own
 * VM. It takes an endpoint over when that has no owner or the owner has been missing from the list for a while, and
 * hands one over when another live VM has come to rank first. What a former run of its own VM owned it takes over
 * whatever its rank, since to the other VMs that owner still looks live. Two VMs whose lists differ may both try; the
 * ledger accepts one claim, and the other VM does not try again while the winner is listed.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.VmId
import io.daisybend.kernel.firstByRendezvous

/** How long a change must stand before a planner acts on it. */
public data class OwnershipSettings(val takeoverDelayMs: Long = 2_000, val handOverDelayMs: Long = 10_000)

/** Returns the VM that should own [endpointId], or null when [liveVms] is empty. */
public fun preferredOwner(endpointId: EndpointId, liveVms: Collection<VmId>): VmId? =
    firstByRendezvous(endpointId.value, liveVms)

/** Decides for [self] when to claim and when to hand over endpoints. Not thread-safe. */
public class OwnershipPlanner(
    private val self: OwnerId,
    private val settings: OwnershipSettings = OwnershipSettings(),
) {
    private enum class Wish { TAKE_OVER, HAND_OVER }

    private class Pending(val wish: Wish, val sinceMs: Long)

    private val pending = HashMap<EndpointId, Pending>()
    private val preferredOwners = HashMap<EndpointId, VmId?>()
    private var rankedVms: Collection<VmId> = emptyList()

    /**
     * Returns what the owner of [endpointId] should be told now, or null; [liveVms] excludes leaving VMs and is never
     * changed after it was passed.
     */
    public fun plan(
        endpointId: EndpointId,
        entry: EndpointEntry?,
        liveVms: Collection<VmId>,
        nowMs: Long,
    ): OwnerEvent? {
        val wish = wish(endpointId, entry, liveVms)
        if (wish == null) {
            pending.remove(endpointId)
            return null
        }
        val since = pending[endpointId]?.takeIf { it.wish == wish } ?: Pending(wish, nowMs)
        pending[endpointId] = since
        if (nowMs - since.sinceMs < delayMs(wish, entry, liveVms)) return null
        return when (wish) {
            Wish.TAKE_OVER -> OwnerEvent.TakeOver(entry?.fence ?: NO_FENCE)
            Wish.HAND_OVER -> OwnerEvent.HandOver
        }
    }

    private fun wish(endpointId: EndpointId, entry: EndpointEntry?, liveVms: Collection<VmId>): Wish? {
        val preferred = rankedFirst(endpointId, liveVms)
        val owner = entry?.owner
        return when {
            owner == self -> Wish.HAND_OVER.takeIf { preferred != null && preferred != self.vmId }
            owner?.vmId == self.vmId -> Wish.TAKE_OVER
            preferred != self.vmId -> null
            owner == null || owner.vmId !in liveVms -> Wish.TAKE_OVER
            else -> null
        }
    }

    /** Ranks again only when another list comes, since each ranking hashes every VM. */
    private fun rankedFirst(endpointId: EndpointId, liveVms: Collection<VmId>): VmId? {
        if (liveVms !== rankedVms) preferredOwners.clear()
        rankedVms = liveVms
        return preferredOwners.getOrPut(endpointId) { preferredOwner(endpointId, liveVms) }
    }

    private fun delayMs(wish: Wish, entry: EndpointEntry?, liveVms: Collection<VmId>): Long =
        when (wish) {
            Wish.TAKE_OVER ->
                if (entry?.owner == null || entry.owner.vmId == self.vmId) 0 else settings.takeoverDelayMs
            Wish.HAND_OVER -> if (self.vmId in liveVms) settings.handOverDelayMs else 0
        }
}
