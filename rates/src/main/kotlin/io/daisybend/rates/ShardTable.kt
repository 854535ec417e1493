/*
 * Replays the shard stream deterministically, so that every VM derives the same holder for each shard. The version of a
 * shard is the offset of the last record that changed it or renewed the lease of its holder; a claim with another
 * expected version is ignored, so the first of several claims wins and a renewal invalidates earlier claims. Claiming a
 * held shard also needs suspicions from half of the witnesses of its holder, unless the claim is overdue. A record of a
 * newer process on a VM ends the leases of its predecessors: a daemon binds the peer port of its VM before it writes,
 * so no earlier process can be running.
 */
package io.daisybend.rates

import io.daisybend.kernel.VmId

/** Returns how many of [witnessCount] witnesses have to support a lease extension: more than half. */
internal fun supportQuorum(witnessCount: Int): Int = witnessCount / 2 + 1

/** Returns how many of [witnessCount] witnesses have to suspect a holder so that no extension can get a quorum. */
internal fun suspicionQuorum(witnessCount: Int): Int = witnessCount - witnessCount / 2

internal class ShardTable private constructor(var nextOffset: Long, val lostHistory: Boolean) {
    private val shards = HashMap<ShardId, ShardState>()
    private val leases = HashMap<HolderId, HolderLease>()
    private val newestIncarnations = HashMap<VmId, Long>()
    private var lastSnapshotOffset = nextOffset

    val recordsSinceSnapshot: Long get() = nextOffset - lastSnapshotOffset

    fun shard(shardId: ShardId): ShardState? = shards[shardId]

    fun shards(): Collection<ShardState> = shards.values

    /** Returns the version that a claim to [shardId] has to expect. */
    fun versionOf(shardId: ShardId): Long {
        val shard = shards[shardId] ?: return NEVER_CLAIMED
        return maxOf(shard.versionOffset, shard.holder?.let { leases[it]?.offset } ?: NEVER_CLAIMED)
    }

    /** Returns whether no process can have spent tokens of [shardId]. */
    fun isUnused(shardId: ShardId): Boolean = shardId !in shards && !lostHistory

    fun lease(holder: HolderId): HolderLease? = leases[holder]

    /** Returns the newest known process on each of [vmIds]. */
    fun processesOn(vmIds: Collection<VmId>): List<HolderId> =
        vmIds.mapNotNull { vmId -> newestIncarnations[vmId]?.let { HolderId(vmId, it) } }

    /** Returns whether [holder] has no lease, or enough witnesses suspect it that its lease cannot be extended. */
    fun hasLostSupport(holder: HolderId): Boolean {
        val lease = leases[holder] ?: return true
        return lease.suspectedBy.size >= suspicionQuorum(lease.witnesses.size)
    }

    /** Applies the record at [offset]; skips records before [nextOffset]. */
    fun apply(offset: Long, record: ShardRecord?) {
        if (offset < nextOffset) return
        nextOffset = offset + 1
        when (record) {
            is ShardRecord.Renewed -> applyRenewal(record, offset)
            is ShardRecord.Suspected -> applySuspicions(record, offset)
            is ShardRecord.Claimed -> applyClaims(record, offset)
            is ShardRecord.Released -> applyReleases(record, offset)
            is ShardRecord.Snapshot -> applySnapshot(offset)
            is ShardRecord.HistoryLost, null -> Unit
        }
    }

    fun snapshot(): ShardRecord.Snapshot = ShardRecord.Snapshot(
        nextOffset = nextOffset,
        shards = shards.values.sortedWith(compareBy({ it.shardId.teamId.value }, { it.shardId.index })),
        leases = leases.values.sortedBy { it.offset },
        lostHistory = lostHistory,
    )

    private fun applySnapshot(offset: Long) {
        lastSnapshotOffset = offset
        val holders = shards.values.mapNotNullTo(HashSet()) { it.holder }
        leases.values.removeIf { it.holder !in holders && it.offset < offset - LEASE_RETENTION_RECORDS }
    }

    private fun applyRenewal(record: ShardRecord.Renewed, offset: Long) {
        if (!renew(record.holder, offset)) return
        val lease = leases.getValue(record.holder)
        if (record.witnesses == null || record.sequence < lease.witnessesSequence) return
        leases[record.holder] =
            lease.copy(witnesses = record.witnesses.distinct(), witnessesSequence = record.sequence)
    }

    private fun applySuspicions(record: ShardRecord.Suspected, offset: Long) {
        if (!renew(record.holder, offset)) return
        record.suspicions.forEach { suspicion ->
            val lease = leases[suspicion.holder]
            if (lease?.offset == suspicion.leaseOffset && record.holder in lease.witnesses) {
                leases[suspicion.holder] = lease.copy(suspectedBy = lease.suspectedBy + record.holder)
            }
        }
    }

    private fun applyClaims(record: ShardRecord.Claimed, offset: Long) {
        if (isSuperseded(record.holder)) return
        val valid = record.claims.filter { isValid(it) }
        renew(record.holder, offset)
        valid.forEach { claim ->
            val carried = shards[claim.shardId]?.takeIf { it.holder == null }?.balanceMicroTokens ?: 0
            shards[claim.shardId] = ShardState(claim.shardId, record.holder, offset, carried)
        }
    }

    private fun isValid(claim: ShardClaim): Boolean {
        if (claim.expectedVersion != versionOf(claim.shardId)) return false
        val holder = shards[claim.shardId]?.holder ?: return true
        return claim.isOverdue || hasLostSupport(holder)
    }

    private fun applyReleases(record: ShardRecord.Released, offset: Long) {
        if (!renew(record.holder, offset)) return
        record.releases.forEach { release ->
            val shard = shards[release.shardId]
            if (shard?.holder == record.holder && shard.versionOffset == release.claimOffset) {
                shards[release.shardId] = ShardState(release.shardId, null, offset, release.balanceMicroTokens)
            }
        }
    }

    private fun isSuperseded(holder: HolderId) =
        holder.incarnation < (newestIncarnations[holder.vmId] ?: holder.incarnation)

    private fun renew(holder: HolderId, offset: Long): Boolean {
        if (isSuperseded(holder)) return false
        if (newestIncarnations.put(holder.vmId, holder.incarnation) != holder.incarnation) {
            endPredecessors(holder, offset)
        }
        val renewed = leases[holder]?.copy(offset = offset, suspectedBy = emptySet())
        leases[holder] = renewed ?: HolderLease(holder, offset)
        return true
    }

    private fun endPredecessors(holder: HolderId, offset: Long) {
        shards.values
            .filter { it.holder != null && it.holder.vmId == holder.vmId && it.holder != holder }
            .forEach { shards[it.shardId] = ShardState(it.shardId, null, offset) }
        leases.keys.removeIf { it.vmId == holder.vmId && it != holder }
    }

    companion object {
        const val NEVER_CLAIMED: Long = -1L
        private const val LEASE_RETENTION_RECORDS = 100_000L

        /** Returns an empty table at [nextOffset]; [lostHistory] if earlier records existed and were deleted. */
        fun empty(nextOffset: Long, lostHistory: Boolean): ShardTable = ShardTable(nextOffset, lostHistory)

        fun restore(snapshot: ShardRecord.Snapshot): ShardTable {
            val table = ShardTable(snapshot.nextOffset, snapshot.lostHistory)
            snapshot.shards.forEach { table.shards[it.shardId] = it }
            snapshot.leases.forEach {
                table.leases[it.holder] = it
                table.newestIncarnations[it.holder.vmId] = it.holder.incarnation
            }
            return table
        }
    }
}
