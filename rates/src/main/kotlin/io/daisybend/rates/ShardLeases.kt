/*
 * Decides which shards this process claims, keeps and releases. A holder counts its lease from the time at which it
 * sent the record that renews it. Other processes count the lease from their first read of that record and add a margin
 * for clock drift, so that a successor starts only after the holder has stopped.
 */
package io.daisybend.rates

import io.daisybend.kernel.LogStream
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

/** A decoded record of the shard stream with its log offset; [record] is null if its bytes were malformed. */
public data class OffsetRecord(val offset: Long, val record: ShardRecord?)

internal sealed interface ShardEvent {
    data class TeamsChanged(val teamIds: Set<TeamId>) : ShardEvent

    data class LiveVmsChanged(val vmIds: List<VmId>) : ShardEvent

    data class LogRead(val records: List<OffsetRecord>, val firstOffset: Long, val nextOffset: Long) : ShardEvent

    data class MessageReceived(val message: RateMessage) : ShardEvent

    data class ShardEmptied(val shardId: ShardId, val claimOffset: Long, val balanceMicroTokens: Long) : ShardEvent

    data object Drain : ShardEvent

    data object Tick : ShardEvent
}

internal sealed interface ShardAction {
    data class Append(val record: ShardRecord) : ShardAction

    data class Send(val toVmId: VmId, val message: RateMessage) : ShardAction

    /** Opens the bucket of a shard; a null [balanceMicroTokens] opens it full. */
    data class Open(
        val shardId: ShardId,
        val balanceMicroTokens: Long?,
        val refillFromMs: Long,
        val leaseEndMs: Long,
    ) : ShardAction

    data class Extend(val shardId: ShardId, val leaseEndMs: Long) : ShardAction

    /** Closes the bucket of a shard; if [isForRelease], its balance is reported by a [ShardEvent.ShardEmptied]. */
    data class Close(val shardId: ShardId, val claimOffset: Long, val isForRelease: Boolean) : ShardAction

    data class HoldersChanged(val teamId: TeamId, val holders: List<HolderId?>) : ShardAction
}

/** Returns the log stream that records the shard leases of the cell [cellName]. */
public fun shardStream(cellName: String): LogStream = LogStream("seats-$cellName")

internal class ShardLeases(private val self: HolderId, private val settings: RateSettings) {
    private class HeldShard(val claimOffset: Long, var isReleasing: Boolean = false)

    private class PendingRelease(val release: ShardRelease, var appendAfterMs: Long)

    private val replay = ShardReplay(settings)
    private val claimPlanner = ClaimPlanner(self, settings)
    private var teamIds: Set<TeamId> = emptySet()
    private val sentAtMsBySequence = LinkedHashMap<Long, Long>()
    private var nextSequence = 0L
    private val held = HashMap<ShardId, HeldShard>()
    private val pendingReleases = HashMap<ShardId, PendingRelease>()
    private var publishedHolders: Map<TeamId, List<HolderId?>> = emptyMap()
    private var caughtUpAtMs = Long.MIN_VALUE / 2
    private var renewAfterMs = Long.MIN_VALUE
    private var claimAfterMs = Long.MIN_VALUE
    private var suspectAfterMs = Long.MIN_VALUE
    private var rebalanceAfterMs = Long.MIN_VALUE
    private var snapshotAfterMs = Long.MIN_VALUE
    private val extension = LeaseExtension(self, settings)
    private var isRegistered = false
    private var isDraining = false

    /** The offset from which the next log read has to start. */
    val readFromOffset: Long get() = replay.readFromOffset

    /** Whether this process is draining, holds no shard and has no release record left to append. */
    val isDrained: Boolean get() = isDraining && held.isEmpty() && pendingReleases.isEmpty()

    fun handle(event: ShardEvent, nowMs: Long): List<ShardAction> = when (event) {
        is ShardEvent.TeamsChanged -> changeTeams(event.teamIds)
        is ShardEvent.LiveVmsChanged -> {
            claimPlanner.updateLiveVms(event.vmIds, nowMs)
            emptyList()
        }
        is ShardEvent.LogRead -> readLog(event, nowMs)
        is ShardEvent.MessageReceived -> receive(event.message, nowMs)
        is ShardEvent.ShardEmptied -> release(event, nowMs)
        ShardEvent.Drain -> {
            isDraining = true
            activeShards().map { closeForRelease(it) }
        }
        ShardEvent.Tick -> tick(nowMs)
    }

    private fun changeTeams(newTeamIds: Set<TeamId>): List<ShardAction> {
        teamIds = newTeamIds
        return activeShards().filter { it.teamId !in newTeamIds }.map { closeForRelease(it) } + holderChanges()
    }

    private fun readLog(event: ShardEvent.LogRead, nowMs: Long): List<ShardAction> {
        val table = replay.table
        if (table == null) {
            val initial = replay.scan(event, nowMs) ?: return emptyList()
            initial.shards().filter { it.holder == self }.forEach { releaseWithoutBalance(it) }
            return if (replay.readFromOffset < event.firstOffset) emptyList() else readLog(event, nowMs)
        }
        if (event.firstOffset > table.nextOffset) return resetState()
        val actions = event.records.flatMap { apply(table, it, nowMs) }
        if (table.nextOffset >= event.nextOffset) caughtUpAtMs = nowMs
        return actions + holderChanges()
    }

    /** Releases a shard that the log assigns to this process, but whose lease end and balance are unknown here. */
    private fun releaseWithoutBalance(state: ShardState) {
        held[state.shardId] = HeldShard(state.versionOffset, isReleasing = true)
        val release = ShardRelease(state.shardId, state.versionOffset, balanceMicroTokens = 0)
        pendingReleases[state.shardId] = PendingRelease(release, appendAfterMs = Long.MIN_VALUE)
    }

    /** Drops all shards and restarts the replay because the log has deleted records that this process has not read. */
    private fun resetState(): List<ShardAction> {
        val closed =
            held.map { (shardId, shard) -> ShardAction.Close(shardId, shard.claimOffset, isForRelease = false) }
        held.clear()
        pendingReleases.clear()
        replay.restart()
        return closed
    }

    private fun apply(table: ShardTable, entry: OffsetRecord, nowMs: Long): List<ShardAction> {
        if (entry.offset < table.nextOffset) return emptyList()
        val unusedShards = (entry.record as? ShardRecord.Claimed)?.claims.orEmpty()
            .map { it.shardId }
            .filterTo(HashSet()) { table.isUnused(it) }
        table.apply(entry.offset, entry.record)
        val writer = entry.record?.writer ?: return emptyList()
        claimPlanner.markRecordRead(writer, nowMs)
        if (writer == self) isRegistered = true
        val ownLeaseEndMs = entry.record.takeIf { writer == self }?.let { ownLeaseEndMs(it, entry.offset) }
        return lostShards(table) + gainedShards(table, entry.offset, unusedShards, ownLeaseEndMs, nowMs) +
            extendedShards(ownLeaseEndMs)
    }

    private fun receive(message: RateMessage, nowMs: Long): List<ShardAction> = when (message) {
        is RateMessage.SupportRequest -> listOfNotNull(extension.respond(message, nowMs))
        is RateMessage.Support -> extendedShards(extension.countSupport(message))
        is RateMessage.OfTeam -> emptyList()
    }

    private fun ownLeaseEndMs(record: ShardRecord, offset: Long): Long? {
        val sequence = record.writtenSequence ?: return null
        val sentAtMs = sentAtMsBySequence.remove(sequence) ?: return null
        extension.confirmOwnRecord(sequence, offset, sentAtMs)
        return sentAtMs + settings.leaseDurationMs
    }

    private fun lostShards(table: ShardTable): List<ShardAction> = held
        .filter { (shardId, shard) ->
            val state = table.shard(shardId)
            state?.holder != self || state.versionOffset != shard.claimOffset
        }.map { (shardId, shard) ->
            held.remove(shardId)
            pendingReleases.remove(shardId)
            ShardAction.Close(shardId, shard.claimOffset, isForRelease = false)
        }

    /**
     * Opens the shards that the record at [offset] assigns to this process. A shard that was never used starts full and
     * refills at once. Any other shard starts with the balance of its release record, or empty, and refills only after
     * the grants of its previous holder have expired.
     */
    private fun gainedShards(
        table: ShardTable,
        offset: Long,
        unusedShards: Set<ShardId>,
        leaseEndMs: Long?,
        nowMs: Long,
    ): List<ShardAction> {
        val gained = table.shards().filter { it.holder == self && it.versionOffset == offset }
        if (leaseEndMs == null) {
            gained.forEach { releaseWithoutBalance(it) }
            return emptyList()
        }
        return gained.map { state ->
            held[state.shardId] = HeldShard(offset)
            val isUnused = state.shardId in unusedShards
            ShardAction.Open(
                shardId = state.shardId,
                balanceMicroTokens = state.balanceMicroTokens.takeUnless { isUnused },
                refillFromMs = if (isUnused) nowMs else nowMs + settings.grantExpiryMs,
                leaseEndMs = leaseEndMs,
            )
        }
    }

    private fun extendedShards(leaseEndMs: Long?): List<ShardAction> {
        if (leaseEndMs == null) return emptyList()
        return activeShards().map { ShardAction.Extend(it, leaseEndMs) }
    }

    private fun holderChanges(): List<ShardAction> {
        val table = replay.table ?: return emptyList()
        val holders = teamIds.associateWith { teamId -> settings.shardIds(teamId).map { table.shard(it)?.holder } }
        val changes = holders.filter { (teamId, current) -> publishedHolders[teamId] != current }
        publishedHolders = holders
        return changes.map { (teamId, current) -> ShardAction.HoldersChanged(teamId, current) }
    }

    private fun release(event: ShardEvent.ShardEmptied, nowMs: Long): List<ShardAction> {
        val shard = held[event.shardId] ?: return emptyList()
        if (shard.claimOffset != event.claimOffset) return emptyList()
        pendingReleases[event.shardId] = PendingRelease(
            ShardRelease(event.shardId, event.claimOffset, event.balanceMicroTokens),
            appendAfterMs = nowMs,
        )
        return emptyList()
    }

    private fun activeShards(): List<ShardId> = held.filterValues { !it.isReleasing }.keys.toList()

    private fun closeForRelease(shardId: ShardId): ShardAction {
        val shard = held.getValue(shardId)
        shard.isReleasing = true
        return ShardAction.Close(shardId, shard.claimOffset, isForRelease = true)
    }

    private fun tick(nowMs: Long): List<ShardAction> {
        val table =
            replay.table ?: return listOfNotNull(replay.historyLostRecord(nowMs)?.let { ShardAction.Append(it) })
        return renew(table, nowMs) + extension.requestSupport(held.isNotEmpty(), nowMs) + suspect(table, nowMs) +
            appendReleases(nowMs) +
            writeSnapshot(table, nowMs) +
            claim(table, nowMs) +
            rebalance(table, nowMs)
    }

    private fun renew(table: ShardTable, nowMs: Long): List<ShardAction> {
        if (nowMs < renewAfterMs || (isRegistered && held.isEmpty())) return emptyList()
        renewAfterMs = nowMs + if (isRegistered) settings.renewIntervalMs else settings.claimRetryMs
        val sequence = newSequence(nowMs)
        val witnesses = table.processesOn(claimPlanner.liveVms.filter { it != self.vmId })
        val isKnown = table.lease(self)?.witnesses == witnesses && !extension.hasUnconfirmedWitnesses
        if (!isKnown) extension.addSentWitnesses(sequence, witnesses)
        return listOf(ShardAction.Append(ShardRecord.Renewed(self, sequence, witnesses.takeUnless { isKnown })))
    }

    private fun suspect(table: ShardTable, nowMs: Long): List<ShardAction> {
        if (nowMs < suspectAfterMs || !isCaughtUp(nowMs)) return emptyList()
        suspectAfterMs = nowMs + settings.claimRetryMs
        val suspicions = table.shards()
            .mapNotNullTo(LinkedHashSet()) { it.holder }
            .mapNotNull { table.lease(it) }
            .filter { it.holder != self && self in it.witnesses && self !in it.suspectedBy }
            .filter { claimPlanner.isLeaseExpired(it.holder, nowMs) && !extension.isSupported(it.holder, nowMs) }
            .map { Suspicion(it.holder, it.offset) }
        if (suspicions.isEmpty()) return emptyList()
        suspicions.forEach { extension.addSuspicion(it) }
        return listOf(ShardAction.Append(ShardRecord.Suspected(self, newSequence(nowMs), suspicions)))
    }

    private fun isCaughtUp(nowMs: Long) = nowMs - caughtUpAtMs <= settings.claimRetryMs

    private fun appendReleases(nowMs: Long): List<ShardAction> {
        val due = pendingReleases.values.filter { it.appendAfterMs <= nowMs }
        if (due.isEmpty()) return emptyList()
        due.forEach { it.appendAfterMs = nowMs + settings.claimRetryMs }
        return listOf(ShardAction.Append(ShardRecord.Released(self, newSequence(nowMs), due.map { it.release })))
    }

    private fun writeSnapshot(table: ShardTable, nowMs: Long): List<ShardAction> {
        val excessRecords = table.recordsSinceSnapshot - settings.snapshotIntervalRecords
        if (excessRecords < 0 || nowMs < snapshotAfterMs) return emptyList()
        val rank = rankByRendezvous("snapshot", claimPlanner.liveVms).indexOf(self.vmId).coerceAtLeast(0)
        if (excessRecords < rank * SNAPSHOT_STAGGER_RECORDS) return emptyList()
        snapshotAfterMs = nowMs + settings.claimRetryMs
        return listOf(ShardAction.Append(table.snapshot()))
    }

    private fun claim(table: ShardTable, nowMs: Long): List<ShardAction> {
        if (isDraining || !isCaughtUp(nowMs) || nowMs < claimAfterMs) return emptyList()
        val claims = teamIds.flatMap {
            claimPlanner.claims(settings.shardIds(it), table, nowMs)
        }.take(MAX_CLAIMS_IN_RECORD)
        if (claims.isEmpty()) return emptyList()
        claimAfterMs = nowMs + settings.claimRetryMs
        return listOf(ShardAction.Append(ShardRecord.Claimed(self, newSequence(nowMs), claims)))
    }

    /** Releases one shard of a team of which this VM holds several if another live VM holds none of it. */
    private fun rebalance(table: ShardTable, nowMs: Long): List<ShardAction> {
        if (isDraining || nowMs < rebalanceAfterMs || !isCaughtUp(nowMs)) return emptyList()
        rebalanceAfterMs = nowMs + settings.rebalanceIntervalMs
        val surplus = activeShards()
            .groupBy { it.teamId }
            .filter { (teamId, shards) ->
                shards.size > 1 &&
                    claimPlanner.hasStableVmWithoutShard(settings.shardIds(teamId), table, nowMs)
            }
        val shardId = surplus.values.firstOrNull()?.maxByOrNull { it.index } ?: return emptyList()
        return listOf(closeForRelease(shardId))
    }

    private fun newSequence(nowMs: Long): Long {
        val sequence = nextSequence++
        sentAtMsBySequence[sequence] = nowMs
        if (sentAtMsBySequence.size > MAX_TRACKED_APPENDS) sentAtMsBySequence.remove(sentAtMsBySequence.keys.first())
        return sequence
    }

    private companion object {
        const val MAX_CLAIMS_IN_RECORD = 200
        const val MAX_TRACKED_APPENDS = 1_000
        const val SNAPSHOT_STAGGER_RECORDS = 50L
    }
}

private val ShardRecord.writer: HolderId?
    get() = when (this) {
        is ShardRecord.Renewed -> holder
        is ShardRecord.Claimed -> holder
        is ShardRecord.Released -> holder
        is ShardRecord.Suspected -> holder
        is ShardRecord.Snapshot, is ShardRecord.HistoryLost -> null
    }

private val ShardRecord.writtenSequence: Long?
    get() = when (this) {
        is ShardRecord.Renewed -> sequence
        is ShardRecord.Claimed -> sequence
        is ShardRecord.Released -> sequence
        is ShardRecord.Suspected -> sequence
        is ShardRecord.Snapshot, is ShardRecord.HistoryLost -> null
    }
