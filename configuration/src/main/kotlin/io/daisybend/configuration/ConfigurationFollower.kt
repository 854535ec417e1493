/*
 * Follows the configuration on one VM: from the log, from other VMs while the log is out of reach, and from a snapshot
 * when records are gone. The revision never goes back. Requests are served only while the configuration is confirmed to
 * be the newest. Not safe for use by several threads: the runtime feeds it under one lock.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.getOrElse
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.VmId
import kotlin.random.Random

/** Follows the configuration; [random] orders the peers that are asked. */
public class ConfigurationFollower(
    private val settings: FollowerSettings = FollowerSettings(),
    random: Random = Random.Default,
) : FollowerView {
    private val contacts = PeerContacts(random)
    private val freshness = FreshnessTracker(settings, contacts)
    private val tail = RecordTail()
    private val snapshots = PeerSnapshots(settings.peerSnapshotTimeoutMs)
    private var current: ConfigurationState? = null
    private var halted = false
    private var replayedAtMs = Long.MIN_VALUE
    private var firstKeptOffset = 0L
    private var needsSnapshot = true
    private var readOpenSinceMs: Long? = null
    private var nextReadAtMs = Long.MIN_VALUE
    private var nextProbeAtMs = Long.MIN_VALUE
    private var lastCatchUpAtMs = Long.MIN_VALUE
    private var lastAlarm: FollowerAlarm? = null
    private val actions = mutableListOf<FollowerAction>()

    override val state: ConfigurationState? get() = current

    override val confirmedUntilMs: Long? get() = freshness.confirmedAtMs

    /** Takes [event] and returns what to do now. */
    public fun handle(event: FollowerEvent, nowMs: Long): List<FollowerAction> {
        when (event) {
            FollowerEvent.Tick -> tick(nowMs)
            is FollowerEvent.PeersListed -> contacts.list(event.peers)
            is FollowerEvent.LogRead -> logRead(event, nowMs)
            is FollowerEvent.LogReadFailed -> logReadFailed(event, nowMs)
            is FollowerEvent.SnapshotRead -> snapshotRead(event.state, nowMs)
            FollowerEvent.SnapshotReadFailed -> readLater(nowMs)
            is FollowerEvent.PeerMessage -> peerMessage(event.from, event.message, nowMs)
            FollowerEvent.Refresh -> hasten(nowMs)
        }
        actions += freshness.update(nowMs, current?.nextOffset)
        val result = actions.toList()
        actions.clear()
        return result
    }

    override fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean =
        (current?.nextOffset ?: 0) >= nextOffset && freshness.isReplayedByMajority(nextOffset, nowMs)

    /** Tells whether requests may be served at [nowMs]; asked for each request, since a VM may have been paused. */
    public fun freshnessAt(nowMs: Long): Freshness = freshness.at(nowMs, current?.nextOffset)

    private fun tick(nowMs: Long) {
        val timeoutMs = if (needsSnapshot) settings.snapshotReadTimeoutMs else settings.readTimeoutMs
        val openSince = readOpenSinceMs
        if (openSince != null && nowMs - openSince > timeoutMs) readOpenSinceMs = null
        if (readOpenSinceMs == null && nowMs >= nextReadAtMs) read(nowMs)
        if (nowMs >= nextProbeAtMs) probeSome(nowMs)
        snapshots.dropStalled(nowMs)
    }

    private fun hasten(nowMs: Long) {
        if (readOpenSinceMs == null) read(nowMs)
        contacts.next(settings.probesPerRoundWithoutLog).forEach { probe(it, nowMs) }
    }

    private fun read(nowMs: Long) {
        if (halted) return
        readOpenSinceMs = nowMs
        nextReadAtMs = nowMs + readIntervalMs()
        val fromOffset = current?.nextOffset ?: 0
        actions += if (needsSnapshot) {
            FollowerAction.ReadSnapshot
        } else {
            FollowerAction.ReadLog(nowMs, fromOffset, settings.maxBatchRecords)
        }
    }

    private fun readIntervalMs(): Long =
        (contacts.size * settings.readIntervalPerVmMs).coerceIn(settings.minReadIntervalMs, settings.maxReadIntervalMs)

    private fun readLater(nowMs: Long) {
        readOpenSinceMs = null
        nextReadAtMs = nowMs + readIntervalMs()
    }

    private fun logRead(event: FollowerEvent.LogRead, nowMs: Long) {
        readOpenSinceMs = null
        val batch = event.batch
        if (current == null) {
            if (event.fromOffset != 0L || batch.firstOffset != 0L) return
            adopt(ConfigurationState.INITIAL)
        }
        replayAll(event.fromOffset, batch.records, nowMs)
        val nextOffset = current?.nextOffset ?: return
        when {
            nextOffset < batch.nextOffset -> if (batch.records.isNotEmpty()) read(nowMs)
            nextOffset > batch.nextOffset && event.requestedAtMs > replayedAtMs ->
                alarm(FollowerAlarm.LogBehind(nextOffset, batch.nextOffset))
            else -> freshness.confirm(event.requestedAtMs)
        }
    }

    private fun logReadFailed(event: FollowerEvent.LogReadFailed, nowMs: Long) {
        readLater(nowMs)
        val failure = event.failure
        val nextOffset = current?.nextOffset ?: 0
        if (failure !is LogFailure.Expired || failure.firstOffset <= nextOffset) return
        needsSnapshot = true
        firstKeptOffset = failure.firstOffset
        freshness.know(failure.firstOffset)
    }

    private fun snapshotRead(state: ConfigurationState?, nowMs: Long) {
        readOpenSinceMs = null
        val nextOffset = current?.nextOffset ?: 0
        when {
            state != null && (current == null || state.nextOffset > nextOffset) -> adopt(state)
            firstKeptOffset > nextOffset ->
                alarm(FollowerAlarm.RecordsLost(nextOffset, firstKeptOffset))
        }
        needsSnapshot = false
        read(nowMs)
    }

    /** Replays the records of a run that starts at [fromOffset]; a run that starts beyond the next offset is left. */
    private fun replayAll(fromOffset: Long, records: List<LogRecord>, nowMs: Long) {
        val before = current ?: return
        if (halted || fromOffset > before.nextOffset) return
        val state = records.dropWhile { it.offset < before.nextOffset }.fold(before) { state, record ->
            if (halted) state else replayOne(state, record)
        }
        if (state !== before) {
            replayedAtMs = nowMs
            publish(before, state)
        }
    }

    private fun replayOne(state: ConfigurationState, record: LogRecord): ConfigurationState {
        val next = state.replay(record.offset, record.payload).getOrElse {
            halt(record.offset, it)
            return state
        }
        tail.add(record)
        return next
    }

    private fun halt(offset: Long, failure: CodecFailure.NewerFormat) {
        halted = true
        freshness.halt()
        alarm(FollowerAlarm.NewerFormat(offset, failure.format))
    }

    private fun alarm(alarm: FollowerAlarm) {
        if (alarm == lastAlarm) return
        lastAlarm = alarm
        actions += FollowerAction.Alarm(alarm)
    }

    private fun adopt(state: ConfigurationState) {
        val before = current
        tail.restart(state.nextOffset)
        needsSnapshot = false
        publish(before, state)
    }

    private fun publish(before: ConfigurationState?, state: ConfigurationState) {
        current = state
        freshness.know(state.nextOffset)
        actions += FollowerAction.Publish(state)
        val ended = before?.let { endedKeyIds(it, state) }.orEmpty()
        if (ended.isNotEmpty()) actions += FollowerAction.CancelRequests(ended)
    }

    private fun probeSome(nowMs: Long) {
        nextProbeAtMs = nowMs + settings.probeIntervalMs
        val hasLog = freshness.isConfirmedByLog(nowMs)
        val count = if (hasLog) settings.probesPerRound else settings.probesPerRoundWithoutLog
        contacts.next(count).forEach { probe(it, nowMs) }
    }

    private fun probe(peer: VmId, nowMs: Long) {
        val sequence = contacts.openProbe(peer, nowMs)
        actions += FollowerAction.Send(peer, GossipMessage.Probe(sequence, current?.nextOffset ?: 0))
    }

    private fun peerMessage(from: VmId, message: GossipMessage, nowMs: Long) {
        when (message) {
            is GossipMessage.Probe -> answerProbe(from, message, nowMs)
            is GossipMessage.ProbeResponse -> takeAnswer(from, message, nowMs)
            is GossipMessage.SnapshotRequest -> answerSnapshotRequest(from, message, nowMs)
            is GossipMessage.SnapshotResponse -> takeSnapshotPart(from, message.chunk, nowMs)
        }
    }

    private fun answerProbe(from: VmId, probe: GossipMessage.Probe, nowMs: Long) {
        val state = current ?: return
        val passed = if (probe.nextOffset < state.nextOffset) tail.from(probe.nextOffset) else null
        val answer = GossipMessage.ProbeResponse(
            sequence = probe.sequence,
            nextOffset = state.nextOffset,
            counts = freshness.counts,
            confirmedAgeMs = freshness.confirmedAtMs?.let { (nowMs - it).coerceAtLeast(0) },
            passedFrom = if (passed == null) 0 else probe.nextOffset,
            passedTo = passed?.passedTo ?: 0,
            records = passed?.records.orEmpty(),
        )
        actions += FollowerAction.Send(from, answer)
        val isNews = probe.nextOffset > state.nextOffset
        if (isNews && nowMs - CATCH_UP_INTERVAL_MS >= lastCatchUpAtMs) {
            lastCatchUpAtMs = nowMs
            probe(from, nowMs)
        }
    }

    private fun takeAnswer(from: VmId, answer: GossipMessage.ProbeResponse, nowMs: Long) {
        val requestedAtMs = contacts.closeProbe(from, answer.sequence) ?: return
        contacts.heard(from, requestedAtMs, answer)
        freshness.know(answer.nextOffset)
        val before = current?.nextOffset ?: -1
        if (before >= 0 && answer.records.isNotEmpty()) {
            replayAll(answer.passedFrom, answer.records.map { LogRecord(it.offset, it.payload) }, nowMs)
        }
        val after = current?.nextOffset ?: -1
        when {
            after >= answer.nextOffset -> answer.confirmedAgeMs?.let { freshness.confirm(requestedAtMs - it) }
            after > before -> probe(from, nowMs)
            !halted -> snapshots.start(from, nowMs)?.let { actions += FollowerAction.Send(from, it) }
        }
    }

    private fun answerSnapshotRequest(from: VmId, request: GossipMessage.SnapshotRequest, nowMs: Long) {
        val state = current ?: return
        val chunk = snapshots.chunkFor(request, state, nowMs) ?: return
        actions += FollowerAction.Send(from, GossipMessage.SnapshotResponse(chunk))
    }

    private fun takeSnapshotPart(from: VmId, chunk: SnapshotChunk, nowMs: Long) {
        when (val progress = snapshots.take(from, chunk, nowMs)) {
            is SnapshotProgress.Next -> actions += FollowerAction.Send(from, progress.request)
            is SnapshotProgress.Whole -> {
                if (progress.state.nextOffset > (current?.nextOffset ?: -1)) adopt(progress.state)
                probe(from, nowMs)
            }
            SnapshotProgress.None -> Unit
        }
    }

    private companion object {
        const val CATCH_UP_INTERVAL_MS = 50L
    }
}
