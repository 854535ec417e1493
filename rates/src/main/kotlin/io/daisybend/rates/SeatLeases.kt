/*
 * Decides which seats this process claims, keeps and gives back. Its own term counts from the moment before the record
 * that renews it was sent; every other process counts that term from the moment at which it first read the record, and
 * longer by the clocks' drift, so a successor starts only after the holder has stopped. A successor gets the balance
 * that a release record carries, otherwise an empty bucket, and in both cases refills it only after the predecessor's
 * last grants have expired. While the log does not answer, a holder asks its witnesses to support it for another term.
 */
package io.daisybend.rates

import io.daisybend.kernel.LogStream
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

/** A decoded record at its offset; [record] is null when its bytes were malformed. */
public data class OffsetRecord(val offset: Long, val record: SeatRecord?)

internal sealed interface SeatEvent {
    data class TeamsChanged(val teamIds: Set<TeamId>) : SeatEvent

    data class LiveVmsChanged(val vmIds: List<VmId>) : SeatEvent

    data class LogRead(val records: List<OffsetRecord>, val firstOffset: Long, val nextOffset: Long) : SeatEvent

    data class MessageReceived(val message: RateMessage) : SeatEvent

    data class SeatEmptied(val seatId: SeatId, val claimOffset: Long, val balanceMicroTokens: Long) : SeatEvent

    data object Drain : SeatEvent

    data object Tick : SeatEvent
}

internal sealed interface SeatAction {
    data class Append(val record: SeatRecord) : SeatAction

    data class Send(val toVmId: VmId, val message: RateMessage) : SeatAction

    /** Opens a bucket; a null balance means a full one. */
    data class Open(
        val seatId: SeatId,
        val balanceMicroTokens: Long?,
        val refillFromMs: Long,
        val termEndMs: Long,
    ) : SeatAction

    data class Extend(val seatId: SeatId, val termEndMs: Long) : SeatAction

    /** Closes a bucket; [emptyForRelease] asks for a [SeatEvent.SeatEmptied] in return. */
    data class Close(val seatId: SeatId, val claimOffset: Long, val emptyForRelease: Boolean) : SeatAction

    data class HoldersChanged(val teamId: TeamId, val holders: List<HolderId?>) : SeatAction
}

/** Names the seat stream of the cell [cellName]. */
public fun seatStream(cellName: String): LogStream = LogStream("seats-$cellName")

internal class SeatLeases(private val self: HolderId, private val settings: RateSettings) {
    private class HeldSeat(val claimOffset: Long, var isReleasing: Boolean = false)

    private class PendingRelease(val release: SeatRelease, var appendAfterMs: Long)

    private val replay = SeatReplay(settings)
    private val candidates = SeatCandidates(self, settings)
    private var teamIds: Set<TeamId> = emptySet()
    private val askMsBySequence = LinkedHashMap<Long, Long>()
    private var nextSequence = 0L
    private val held = HashMap<SeatId, HeldSeat>()
    private val pendingReleases = HashMap<SeatId, PendingRelease>()
    private var knownHolders: Map<TeamId, List<HolderId?>> = emptyMap()
    private var caughtUpAtMs = Long.MIN_VALUE / 2
    private var renewAfterMs = Long.MIN_VALUE
    private var claimAfterMs = Long.MIN_VALUE
    private var suspectAfterMs = Long.MIN_VALUE
    private var rebalanceAfterMs = Long.MIN_VALUE
    private var snapshotAfterMs = Long.MIN_VALUE
    private val extension = TermExtension(self, settings)
    private var isRegistered = false
    private var draining = false

    /** The offset from which the log has to be read next. */
    val readFromOffset: Long get() = replay.readFromOffset

    /** Whether this process holds no seat and owes no release. */
    val isDrained: Boolean get() = draining && held.isEmpty() && pendingReleases.isEmpty()

    fun handle(event: SeatEvent, nowMs: Long): List<SeatAction> = when (event) {
        is SeatEvent.TeamsChanged -> changeTeams(event.teamIds)
        is SeatEvent.LiveVmsChanged -> {
            candidates.noteLiveVms(event.vmIds, nowMs)
            emptyList()
        }
        is SeatEvent.LogRead -> readLog(event, nowMs)
        is SeatEvent.MessageReceived -> receive(event.message, nowMs)
        is SeatEvent.SeatEmptied -> release(event, nowMs)
        SeatEvent.Drain -> {
            draining = true
            keptSeats().map { closeForRelease(it) }
        }
        SeatEvent.Tick -> tick(nowMs)
    }

    private fun changeTeams(newTeamIds: Set<TeamId>): List<SeatAction> {
        teamIds = newTeamIds
        return keptSeats().filter { it.teamId !in newTeamIds }.map { closeForRelease(it) } + holderChanges()
    }

    private fun readLog(event: SeatEvent.LogRead, nowMs: Long): List<SeatAction> {
        val replayed = replay.table
        if (replayed == null) {
            val started = replay.scan(event, nowMs) ?: return emptyList()
            started.seats().filter { it.holder == self }.forEach { giveBack(it) }
            return if (replay.readFromOffset < event.firstOffset) emptyList() else readLog(event, nowMs)
        }
        if (event.firstOffset > replayed.nextOffset) return loseState()
        val actions = event.records.flatMap { apply(replayed, it, nowMs) }
        if (replayed.nextOffset >= event.nextOffset) caughtUpAtMs = nowMs
        return actions + holderChanges()
    }

    /** Releases a seat that the log assigns to this process but of whose term or balance it knows nothing. */
    private fun giveBack(state: SeatState) {
        held[state.seatId] = HeldSeat(state.versionOffset, isReleasing = true)
        val release = SeatRelease(state.seatId, state.versionOffset, balanceMicroTokens = 0)
        pendingReleases[state.seatId] = PendingRelease(release, appendAfterMs = Long.MIN_VALUE)
    }

    /** The log no longer keeps what this process has not read: it cannot know its seats any more. */
    private fun loseState(): List<SeatAction> {
        val closed = held.map { (seatId, seat) -> SeatAction.Close(seatId, seat.claimOffset, emptyForRelease = false) }
        held.clear()
        pendingReleases.clear()
        replay.restart()
        return closed
    }

    private fun apply(replayed: SeatTable, entry: OffsetRecord, nowMs: Long): List<SeatAction> {
        if (entry.offset < replayed.nextOffset) return emptyList()
        val unusedSeats = (entry.record as? SeatRecord.Claimed)?.claims.orEmpty()
            .map { it.seatId }
            .filterTo(HashSet()) { replayed.isUnused(it) }
        replayed.apply(entry.offset, entry.record)
        val writer = entry.record?.writer ?: return emptyList()
        candidates.noteRecordFrom(writer, nowMs)
        if (writer == self) isRegistered = true
        val ownTermEndMs = entry.record.takeIf { writer == self }?.let { ownTermEndMs(it, entry.offset) }
        return lostSeats(replayed) + gainedSeats(replayed, entry.offset, unusedSeats, ownTermEndMs, nowMs) +
            extendedSeats(ownTermEndMs)
    }

    private fun receive(message: RateMessage, nowMs: Long): List<SeatAction> = when (message) {
        is RateMessage.SupportAsk -> listOfNotNull(extension.answer(message, nowMs))
        is RateMessage.Support -> extendedSeats(extension.take(message))
        is RateMessage.OfTeam -> emptyList()
    }

    private fun ownTermEndMs(record: SeatRecord, offset: Long): Long? {
        val sequence = record.writtenSequence ?: return null
        val askedAtMs = askMsBySequence.remove(sequence) ?: return null
        extension.noteOwnRecord(sequence, offset, askedAtMs)
        return askedAtMs + settings.termMs
    }

    private fun lostSeats(replayed: SeatTable): List<SeatAction> = held
        .filter { (seatId, seat) ->
            val state = replayed.seat(seatId)
            state?.holder != self || state.versionOffset != seat.claimOffset
        }.map { (seatId, seat) ->
            held.remove(seatId)
            pendingReleases.remove(seatId)
            SeatAction.Close(seatId, seat.claimOffset, emptyForRelease = false)
        }

    private fun gainedSeats(
        replayed: SeatTable,
        offset: Long,
        unusedSeats: Set<SeatId>,
        termEndMs: Long?,
        nowMs: Long,
    ): List<SeatAction> {
        val gained = replayed.seats().filter { it.holder == self && it.versionOffset == offset }
        if (termEndMs == null) {
            gained.forEach { giveBack(it) }
            return emptyList()
        }
        return gained.map { state ->
            held[state.seatId] = HeldSeat(offset)
            val isUnused = state.seatId in unusedSeats
            SeatAction.Open(
                seatId = state.seatId,
                balanceMicroTokens = state.balanceMicroTokens.takeUnless { isUnused },
                refillFromMs = if (isUnused) nowMs else nowMs + settings.grantExpiryMs,
                termEndMs = termEndMs,
            )
        }
    }

    private fun extendedSeats(termEndMs: Long?): List<SeatAction> {
        if (termEndMs == null) return emptyList()
        return keptSeats().map { SeatAction.Extend(it, termEndMs) }
    }

    private fun holderChanges(): List<SeatAction> {
        val replayed = replay.table ?: return emptyList()
        val holders = teamIds.associateWith { teamId -> settings.seatIds(teamId).map { replayed.seat(it)?.holder } }
        val changes = holders.filter { (teamId, current) -> knownHolders[teamId] != current }
        knownHolders = holders
        return changes.map { (teamId, current) -> SeatAction.HoldersChanged(teamId, current) }
    }

    private fun release(event: SeatEvent.SeatEmptied, nowMs: Long): List<SeatAction> {
        val seat = held[event.seatId] ?: return emptyList()
        if (seat.claimOffset != event.claimOffset) return emptyList()
        pendingReleases[event.seatId] = PendingRelease(
            SeatRelease(event.seatId, event.claimOffset, event.balanceMicroTokens),
            appendAfterMs = nowMs,
        )
        return emptyList()
    }

    private fun keptSeats(): List<SeatId> = held.filterValues { !it.isReleasing }.keys.toList()

    private fun closeForRelease(seatId: SeatId): SeatAction {
        val seat = held.getValue(seatId)
        seat.isReleasing = true
        return SeatAction.Close(seatId, seat.claimOffset, emptyForRelease = true)
    }

    private fun tick(nowMs: Long): List<SeatAction> {
        val replayed = replay.table ?: return listOfNotNull(replay.lostHistory(nowMs)?.let { SeatAction.Append(it) })
        return renew(replayed, nowMs) + extension.askWitnesses(held.isNotEmpty(), nowMs) + suspect(replayed, nowMs) +
            appendReleases(nowMs) +
            writeSnapshot(replayed, nowMs) +
            claim(replayed, nowMs) +
            rebalance(replayed, nowMs)
    }

    private fun renew(replayed: SeatTable, nowMs: Long): List<SeatAction> {
        if (nowMs < renewAfterMs || (isRegistered && held.isEmpty())) return emptyList()
        renewAfterMs = nowMs + if (isRegistered) settings.renewIntervalMs else settings.claimRetryMs
        val sequence = newSequence(nowMs)
        val witnesses = replayed.processesOn(candidates.liveVms.filter { it != self.vmId })
        val isKnown = replayed.lease(self)?.witnesses == witnesses && !extension.hasUnconfirmedWitnesses
        if (!isKnown) extension.noteSentWitnesses(sequence, witnesses)
        return listOf(SeatAction.Append(SeatRecord.Renewed(self, sequence, witnesses.takeUnless { isKnown })))
    }

    private fun suspect(replayed: SeatTable, nowMs: Long): List<SeatAction> {
        if (nowMs < suspectAfterMs || !isFresh(nowMs)) return emptyList()
        suspectAfterMs = nowMs + settings.claimRetryMs
        val suspicions = replayed.seats()
            .mapNotNullTo(LinkedHashSet()) { it.holder }
            .mapNotNull { replayed.lease(it) }
            .filter { it.holder != self && self in it.witnesses && self !in it.suspectedBy }
            .filter { candidates.hasLapsed(it.holder, nowMs) && !extension.isSupported(it.holder, nowMs) }
            .map { Suspicion(it.holder, it.offset) }
        if (suspicions.isEmpty()) return emptyList()
        suspicions.forEach { extension.noteSuspicion(it) }
        return listOf(SeatAction.Append(SeatRecord.Suspected(self, newSequence(nowMs), suspicions)))
    }

    private fun isFresh(nowMs: Long) = nowMs - caughtUpAtMs <= settings.claimRetryMs

    private fun appendReleases(nowMs: Long): List<SeatAction> {
        val due = pendingReleases.values.filter { it.appendAfterMs <= nowMs }
        if (due.isEmpty()) return emptyList()
        due.forEach { it.appendAfterMs = nowMs + settings.claimRetryMs }
        return listOf(SeatAction.Append(SeatRecord.Released(self, newSequence(nowMs), due.map { it.release })))
    }

    private fun writeSnapshot(replayed: SeatTable, nowMs: Long): List<SeatAction> {
        val excessRecords = replayed.recordsSinceSnapshot - settings.snapshotIntervalRecords
        if (excessRecords < 0 || nowMs < snapshotAfterMs) return emptyList()
        val rank = rankByRendezvous("snapshot", candidates.liveVms).indexOf(self.vmId).coerceAtLeast(0)
        if (excessRecords < rank * SNAPSHOT_STAGGER_RECORDS) return emptyList()
        snapshotAfterMs = nowMs + settings.claimRetryMs
        return listOf(SeatAction.Append(replayed.snapshot()))
    }

    private fun claim(replayed: SeatTable, nowMs: Long): List<SeatAction> {
        if (draining || !isFresh(nowMs) || nowMs < claimAfterMs) return emptyList()
        val claims = teamIds.flatMap {
            candidates.claims(settings.seatIds(it), replayed, nowMs)
        }.take(MAX_CLAIMS_IN_RECORD)
        if (claims.isEmpty()) return emptyList()
        claimAfterMs = nowMs + settings.claimRetryMs
        return listOf(SeatAction.Append(SeatRecord.Claimed(self, newSequence(nowMs), claims)))
    }

    /** Gives one seat back when another VM has none of a team of which this one holds several. */
    private fun rebalance(replayed: SeatTable, nowMs: Long): List<SeatAction> {
        if (draining || nowMs < rebalanceAfterMs || !isFresh(nowMs)) return emptyList()
        rebalanceAfterMs = nowMs + settings.rebalanceIntervalMs
        val surplus = keptSeats()
            .groupBy { it.teamId }
            .filter { (teamId, seats) ->
                seats.size > 1 &&
                    candidates.hasSettledVmWithoutSeat(settings.seatIds(teamId), replayed, nowMs)
            }
        val seatId = surplus.values.firstOrNull()?.maxByOrNull { it.index } ?: return emptyList()
        return listOf(closeForRelease(seatId))
    }

    private fun newSequence(nowMs: Long): Long {
        val sequence = nextSequence++
        askMsBySequence[sequence] = nowMs
        if (askMsBySequence.size > MAX_OPEN_APPENDS) askMsBySequence.remove(askMsBySequence.keys.first())
        return sequence
    }

    private companion object {
        const val MAX_CLAIMS_IN_RECORD = 200
        const val MAX_OPEN_APPENDS = 1_000
        const val SNAPSHOT_STAGGER_RECORDS = 50L
    }
}

private val SeatRecord.writer: HolderId?
    get() = when (this) {
        is SeatRecord.Renewed -> holder
        is SeatRecord.Claimed -> holder
        is SeatRecord.Released -> holder
        is SeatRecord.Suspected -> holder
        is SeatRecord.Snapshot, is SeatRecord.HistoryLost -> null
    }

private val SeatRecord.writtenSequence: Long?
    get() = when (this) {
        is SeatRecord.Renewed -> sequence
        is SeatRecord.Claimed -> sequence
        is SeatRecord.Released -> sequence
        is SeatRecord.Suspected -> sequence
        is SeatRecord.Snapshot, is SeatRecord.HistoryLost -> null
    }
