/*
 * Which seats are free to be claimed and which live VM should claim them: one with few seats of the team first, the
 * others a little later in case it does not.
 */
package io.daisybend.rates

import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

internal class SeatCandidates(private val self: HolderId, private val settings: RateSettings) {
    private val liveSinceMs = HashMap<VmId, Long>()
    private val firstReadMs = HashMap<HolderId, Long>()
    private val claimableSinceMs = HashMap<SeatId, Long>()

    var liveVms: List<VmId> = emptyList()
        private set

    fun noteLiveVms(vmIds: List<VmId>, nowMs: Long) {
        liveVms = vmIds
        liveSinceMs.keys.retainAll(vmIds.toSet())
        vmIds.forEach { liveSinceMs.putIfAbsent(it, nowMs) }
    }

    /** Notes when this process first read the latest record of [writer]. */
    fun noteRecordFrom(writer: HolderId, nowMs: Long) {
        firstReadMs[writer] = nowMs
    }

    /** The claims that this process should make now to seats of one team. */
    fun claims(seatIds: List<SeatId>, replayed: SeatTable, nowMs: Long): List<SeatClaim> {
        val claimable = seatIds.filter { isClaimable(replayed, it, nowMs) }
        if (claimable.isEmpty()) return emptyList()
        val ranked = rankForTeam(seatIds, replayed)
        val ownRank = ranked.indexOf(self.vmId)
        if (ownRank < 0) return emptyList()
        return claimable
            .filterIndexed { order, seatId ->
                val delayRank = Math.floorMod(ownRank - order, ranked.size)
                nowMs >= claimableSinceMs.getValue(seatId) + delayRank * settings.claimStaggerMs
            }.map { SeatClaim(it, replayed.versionOf(it), isOverdue = isOverdue(replayed, it, nowMs)) }
    }

    /** Whether the term of [holder] has ended unless its witnesses support it. */
    fun hasLapsed(holder: HolderId, nowMs: Long): Boolean =
        nowMs >= firstReadMsOf(holder, nowMs) + settings.termExpiryMs

    /** Whether a VM that has been live for a while holds none of [seatIds]. */
    fun hasSettledVmWithoutSeat(seatIds: List<SeatId>, replayed: SeatTable, nowMs: Long): Boolean {
        val holders = seatIds.mapNotNullTo(HashSet()) { replayed.seat(it)?.holder?.vmId }
        return liveVms.any { it !in holders && nowMs - liveSinceMs.getValue(it) >= settings.rebalanceIntervalMs }
    }

    /** The live VMs, those with the fewest seats of the team first. */
    private fun rankForTeam(seatIds: List<SeatId>, replayed: SeatTable): List<VmId> {
        val seatCounts = seatIds.mapNotNull { replayed.seat(it)?.holder?.vmId }.groupingBy { it }.eachCount()
        return rankByRendezvous(seatIds.first().teamId.value, liveVms).sortedBy { seatCounts[it] ?: 0 }
    }

    private fun isClaimable(replayed: SeatTable, seatId: SeatId, nowMs: Long): Boolean {
        val holder = replayed.seat(seatId)?.holder
        val isClaimable = holder == null ||
            isOverdue(replayed, seatId, nowMs) ||
            holder != self &&
            hasLapsed(holder, nowMs) &&
            replayed.isAbandoned(holder)
        if (isClaimable) claimableSinceMs.putIfAbsent(seatId, nowMs) else claimableSinceMs.remove(seatId)
        return isClaimable
    }

    private fun isOverdue(replayed: SeatTable, seatId: SeatId, nowMs: Long): Boolean {
        val holder = replayed.seat(seatId)?.holder ?: return false
        return holder != self && nowMs >= firstReadMsOf(holder, nowMs) + settings.extensionExpiryMs
    }

    /** A holder known only from a snapshot counts from the moment at which this process first met it. */
    private fun firstReadMsOf(holder: HolderId, nowMs: Long) = firstReadMs.getOrPut(holder) { nowMs }
}
