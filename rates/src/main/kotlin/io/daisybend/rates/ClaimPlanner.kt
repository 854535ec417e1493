/*
 * Which shards are free to be claimed and which live VM should claim them: one with few shards of the team first, the
 * others a little later in case it does not.
 */
package io.daisybend.rates

import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

internal class ClaimPlanner(private val self: HolderId, private val settings: RateSettings) {
    private val liveSinceMs = HashMap<VmId, Long>()
    private val firstReadMs = HashMap<HolderId, Long>()
    private val claimableSinceMs = HashMap<ShardId, Long>()

    var liveVms: List<VmId> = emptyList()
        private set

    fun updateLiveVms(vmIds: List<VmId>, nowMs: Long) {
        liveVms = vmIds
        liveSinceMs.keys.retainAll(vmIds.toSet())
        vmIds.forEach { liveSinceMs.putIfAbsent(it, nowMs) }
    }

    /** Notes when this process first read the latest record of [writer]. */
    fun recordRead(writer: HolderId, nowMs: Long) {
        firstReadMs[writer] = nowMs
    }

    /** The claims that this process should make now to shards of one team. */
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

    /** Whether the term of [holder] has ended unless its witnesses support it. */
    fun isLeaseExpired(holder: HolderId, nowMs: Long): Boolean =
        nowMs >= firstReadMsOf(holder, nowMs) + settings.leaseExpiryMs

    /** Whether a VM that has been live for a while holds none of [shardIds]. */
    fun hasStableVmWithoutShard(shardIds: List<ShardId>, table: ShardTable, nowMs: Long): Boolean {
        val holders = shardIds.mapNotNullTo(HashSet()) { table.shard(it)?.holder?.vmId }
        return liveVms.any { it !in holders && nowMs - liveSinceMs.getValue(it) >= settings.rebalanceIntervalMs }
    }

    /** The live VMs, those with the fewest shards of the team first. */
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
        return holder != self && nowMs >= firstReadMsOf(holder, nowMs) + settings.extensionExpiryMs
    }

    /** A holder known only from a snapshot counts from the moment at which this process first met it. */
    private fun firstReadMsOf(holder: HolderId, nowMs: Long) = firstReadMs.getOrPut(holder) { nowMs }
}
