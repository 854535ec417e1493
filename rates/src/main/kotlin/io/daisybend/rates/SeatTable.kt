/*
 * Replays the seat stream. The outcome depends on nothing but the records and their offsets, so every VM knows the same
 * holder for each seat. The version of a seat is the offset of the last record that touched it or renewed its holder's
 * term; a claim that names another version is void, hence the first of several claims wins and a claim made before a
 * renewal came in has no effect. A claim to a seat with a silent holder also needs the suspicions of half of the
 * holder's witnesses. A record of a newer process on a VM ends the terms of its predecessors: a daemon binds
 * its VM's peer port before it writes, so no earlier process can be running.
 */
package io.daisybend.rates

import io.daisybend.kernel.VmId

/** How many of [witnessCount] witnesses have to support a holder's extension: more than half. */
internal fun supportNeeded(witnessCount: Int): Int = witnessCount / 2 + 1

/** How many of [witnessCount] witnesses have to be silent towards a holder before it can get no extension. */
internal fun suspicionsNeeded(witnessCount: Int): Int = witnessCount - witnessCount / 2

internal class SeatTable private constructor(var nextOffset: Long, val lostHistory: Boolean) {
    private val seats = HashMap<SeatId, SeatState>()
    private val leases = HashMap<HolderId, HolderLease>()
    private val newestIncarnations = HashMap<VmId, Long>()
    private var lastSnapshotOffset = nextOffset

    val recordsSinceSnapshot: Long get() = nextOffset - lastSnapshotOffset

    fun seat(seatId: SeatId): SeatState? = seats[seatId]

    fun seats(): Collection<SeatState> = seats.values

    /** The version that a valid claim to [seatId] has to name. */
    fun versionOf(seatId: SeatId): Long {
        val seat = seats[seatId] ?: return NEVER_CLAIMED
        return maxOf(seat.versionOffset, seat.holder?.let { leases[it]?.offset } ?: NEVER_CLAIMED)
    }

    /** Whether nobody can ever have spent from [seatId]. */
    fun isUnused(seatId: SeatId): Boolean = seatId !in seats && !lostHistory

    fun lease(holder: HolderId): HolderLease? = leases[holder]

    /** The newest known process on each of [vmIds]. */
    fun processesOn(vmIds: Collection<VmId>): List<HolderId> =
        vmIds.mapNotNull { vmId -> newestIncarnations[vmId]?.let { HolderId(vmId, it) } }

    /** Whether enough witnesses have withdrawn their support from [holder] that its term cannot be extended. */
    fun isAbandoned(holder: HolderId): Boolean {
        val lease = leases[holder] ?: return true
        return lease.suspectedBy.size >= suspicionsNeeded(lease.witnesses.size)
    }

    /** Applies the record at [offset]; records before the state's own offset are skipped. */
    fun apply(offset: Long, record: SeatRecord?) {
        if (offset < nextOffset) return
        nextOffset = offset + 1
        when (record) {
            is SeatRecord.Renewed -> applyRenewal(record, offset)
            is SeatRecord.Suspected -> applySuspicions(record, offset)
            is SeatRecord.Claimed -> applyClaims(record, offset)
            is SeatRecord.Released -> applyReleases(record, offset)
            is SeatRecord.Snapshot -> noteSnapshot(offset)
            is SeatRecord.HistoryLost, null -> Unit
        }
    }

    fun snapshot(): SeatRecord.Snapshot = SeatRecord.Snapshot(
        nextOffset = nextOffset,
        seats = seats.values.sortedWith(compareBy({ it.seatId.teamId.value }, { it.seatId.index })),
        leases = leases.values.sortedBy { it.offset },
        lostHistory = lostHistory,
    )

    private fun noteSnapshot(offset: Long) {
        lastSnapshotOffset = offset
        val holders = seats.values.mapNotNullTo(HashSet()) { it.holder }
        leases.values.removeIf { it.holder !in holders && it.offset < offset - KEPT_RECORDS }
    }

    private fun applyRenewal(record: SeatRecord.Renewed, offset: Long) {
        if (!renew(record.holder, offset)) return
        val lease = leases.getValue(record.holder)
        if (record.witnesses == null || record.sequence < lease.witnessesSequence) return
        leases[record.holder] =
            lease.copy(witnesses = record.witnesses.distinct(), witnessesSequence = record.sequence)
    }

    private fun applySuspicions(record: SeatRecord.Suspected, offset: Long) {
        if (!renew(record.holder, offset)) return
        record.suspicions.forEach { suspicion ->
            val lease = leases[suspicion.holder]
            if (lease?.offset == suspicion.leaseOffset && record.holder in lease.witnesses) {
                leases[suspicion.holder] = lease.copy(suspectedBy = lease.suspectedBy + record.holder)
            }
        }
    }

    private fun applyClaims(record: SeatRecord.Claimed, offset: Long) {
        if (isSuperseded(record.holder)) return
        val valid = record.claims.filter { isValid(it) }
        renew(record.holder, offset)
        valid.forEach { claim ->
            val carried = seats[claim.seatId]?.takeIf { it.holder == null }?.balanceMicroTokens ?: 0
            seats[claim.seatId] = SeatState(claim.seatId, record.holder, offset, carried)
        }
    }

    private fun isValid(claim: SeatClaim): Boolean {
        if (claim.expectedVersion != versionOf(claim.seatId)) return false
        val holder = seats[claim.seatId]?.holder ?: return true
        return claim.isOverdue || isAbandoned(holder)
    }

    private fun applyReleases(record: SeatRecord.Released, offset: Long) {
        if (!renew(record.holder, offset)) return
        record.releases.forEach { release ->
            val seat = seats[release.seatId]
            if (seat?.holder == record.holder && seat.versionOffset == release.claimOffset) {
                seats[release.seatId] = SeatState(release.seatId, null, offset, release.balanceMicroTokens)
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
        seats.values
            .filter { it.holder != null && it.holder.vmId == holder.vmId && it.holder != holder }
            .forEach { seats[it.seatId] = SeatState(it.seatId, null, offset) }
        leases.keys.removeIf { it.vmId == holder.vmId && it != holder }
    }

    companion object {
        const val NEVER_CLAIMED: Long = -1L
        private const val KEPT_RECORDS = 100_000L

        /** The state before the first record; [lostHistory] when older records existed and are no longer kept. */
        fun empty(nextOffset: Long, lostHistory: Boolean): SeatTable = SeatTable(nextOffset, lostHistory)

        fun restore(snapshot: SeatRecord.Snapshot): SeatTable {
            val table = SeatTable(snapshot.nextOffset, snapshot.lostHistory)
            snapshot.seats.forEach { table.seats[it.seatId] = it }
            snapshot.leases.forEach {
                table.leases[it.holder] = it
                table.newestIncarnations[it.holder.vmId] = it.holder.incarnation
            }
            return table
        }
    }
}
