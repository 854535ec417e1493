/*
 * Decides which shards are claimable and which live VM should claim them. VMs with few shards of the team claim first;
 * the others wait a little longer, in case those do not claim.
 */
package io.daisybend.rates

import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

internal class ClaimPlanner(private val self: HolderId, private val settings: RateSettings) {
    private val liveSinceMs = HashMap<VmId, Long>()
    private val recordReadMs = HashMap<HolderId, Long>()
    private val claimableSinceMs = HashMap<ShardId, Long>()

    var liveVms: List<VmId> = emptyList()
        private set

    fun updateLiveVms(vmIds: List<VmId>, nowMs: Long) {
        liveVms = vmIds
        liveSinceMs.keys.retainAll(vmIds.toSet())
        vmIds.forEach { liveSinceMs.putIfAbsent(it, nowMs) }
    }

    /** Records that this process read a new record of [writer] at [nowMs]. */
    fun markRecordRead(writer: HolderId, nowMs: Long) {
        recordReadMs[writer] = nowMs
    }

    /** Returns the claims that this process should append now for the shards of one team. */
    fun claims(shardIds: List<ShardId>, table: ShardTable, nowMs: Long): List<ShardClaim> {
        val claimable = shardIds.filter { isClaimable(table, it, nowMs) }
        if (claimable.isEmpty()) return emptyList()
        val ranked = rankForTeam(shardIds, table)
        val ownRank = ranked.indexOf(self.vmId)
        if (ownRank < 0) return emptyList()
        return claimable
            .filterIndexed { order, shardId ->
                val delayRank = Math.floorMod(ownRank - order, ranked.size)
                nowMs >= claimableSinceMs.getValue(shardId) + delayRank * settings.claimStaggerMs
            }.map { ShardClaim(it, table.versionOf(it), isOverdue = isOverdue(table, it, nowMs)) }
    }

    /** Returns whether the lease of [holder] has expired; its witnesses may have extended it. */
    fun isLeaseExpired(holder: HolderId, nowMs: Long): Boolean =
        nowMs >= recordReadMsOf(holder, nowMs) + settings.leaseExpiryMs

    /** Returns whether a VM that has been live for a rebalance interval holds none of [shardIds]. */
    fun hasStableVmWithoutShard(shardIds: List<ShardId>, table: ShardTable, nowMs: Long): Boolean {
        val holders = shardIds.mapNotNullTo(HashSet()) { table.shard(it)?.holder?.vmId }
        return liveVms.any { it !in holders && nowMs - liveSinceMs.getValue(it) >= settings.rebalanceIntervalMs }
    }

    /** Returns the live VMs, those with the fewest shards of the team first. */
    private fun rankForTeam(shardIds: List<ShardId>, table: ShardTable): List<VmId> {
        val shardCounts = shardIds.mapNotNull { table.shard(it)?.holder?.vmId }.groupingBy { it }.eachCount()
        return rankByRendezvous(shardIds.first().teamId.value, liveVms).sortedBy { shardCounts[it] ?: 0 }
    }

    private fun isClaimable(table: ShardTable, shardId: ShardId, nowMs: Long): Boolean {
        val holder = table.shard(shardId)?.holder
        val isClaimable = holder == null ||
            isOverdue(table, shardId, nowMs) ||
            holder != self &&
            isLeaseExpired(holder, nowMs) &&
            table.hasLostSupport(holder)
        if (isClaimable) claimableSinceMs.putIfAbsent(shardId, nowMs) else claimableSinceMs.remove(shardId)
        return isClaimable
    }

    private fun isOverdue(table: ShardTable, shardId: ShardId, nowMs: Long): Boolean {
        val holder = table.shard(shardId)?.holder ?: return false
        return holder != self && nowMs >= recordReadMsOf(holder, nowMs) + settings.extensionExpiryMs
    }

    /** Returns when the latest record of [holder] was read, or if none was read, the time of the first call. */
    private fun recordReadMsOf(holder: HolderId, nowMs: Long) = recordReadMs.getOrPut(holder) { nowMs }
}
