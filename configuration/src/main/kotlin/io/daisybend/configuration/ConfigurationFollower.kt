/*
 * Follows the configuration on one VM: from the log, from other VMs while the log is unreachable, and from a snapshot
 * if records have expired. The revision never decreases. Requests are served only while the configuration is confirmed
 * to be the newest. Not thread-safe: the runtime calls it under one lock.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.getOrElse
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.VmId
import kotlin.random.Random

/** Follows the configuration on one VM; [random] determines the order in which peers are probed. */
public class ConfigurationFollower(
    private val settings: FollowerSettings = FollowerSettings(),
    random: Random = Random.Default,
) : FollowerView {
    private val peerContacts = PeerContacts(random)
    private val freshness = FreshnessTracker(settings, peerContacts)
    private val recentRecords = RecentRecords()
    private val peerSnapshots = PeerSnapshots(settings.peerSnapshotTimeoutMs)
    private var current: ConfigurationState? = null
    private var isHalted = false
    private var lastReplayAtMs = Long.MIN_VALUE
    private var firstKeptOffset = 0L
    private var needsSnapshot = true
    private var readStartedAtMs: Long? = null
    private var nextReadAtMs = Long.MIN_VALUE
    private var nextProbeAtMs = Long.MIN_VALUE
    private var lastCatchUpProbeAtMs = Long.MIN_VALUE
    private var lastAlarm: FollowerAlarm? = null
    private val actions = mutableListOf<FollowerAction>()

    override val state: ConfigurationState? get() = current

    override val confirmedUntilMs: Long? get() = freshness.confirmedAtMs

    /** Handles [event] and returns the actions to perform now. */
    public fun handle(event: FollowerEvent, nowMs: Long): List<FollowerAction> {
        when (event) {
            FollowerEvent.Tick -> handleTick(nowMs)
            is FollowerEvent.PeersListed -> peerContacts.updatePeers(event.peers)
            is FollowerEvent.LogRead -> handleLogRead(event, nowMs)
            is FollowerEvent.LogReadFailed -> handleLogReadFailed(event, nowMs)
            is FollowerEvent.SnapshotRead -> handleSnapshotRead(event.state, nowMs)
            FollowerEvent.SnapshotReadFailed -> scheduleNextRead(nowMs)
            is FollowerEvent.PeerMessage -> handlePeerMessage(event.from, event.message, nowMs)
            FollowerEvent.Refresh -> refresh(nowMs)
        }
        actions += freshness.update(nowMs, current?.nextOffset)
        val result = actions.toList()
        actions.clear()
        return result
    }

    override fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean =
        (current?.nextOffset ?: 0) >= nextOffset && freshness.isReplayedByMajority(nextOffset, nowMs)

    /** Returns the freshness at [nowMs]; computed for each request, because the VM may have been paused. */
    public fun freshnessAt(nowMs: Long): Freshness = freshness.freshnessAt(nowMs, current?.nextOffset)

    private fun handleTick(nowMs: Long) {
        val timeoutMs = if (needsSnapshot) settings.snapshotReadTimeoutMs else settings.readTimeoutMs
        val startedAtMs = readStartedAtMs
        if (startedAtMs != null && nowMs - startedAtMs > timeoutMs) readStartedAtMs = null
        if (readStartedAtMs == null && nowMs >= nextReadAtMs) read(nowMs)
        if (nowMs >= nextProbeAtMs) probePeers(nowMs)
        peerSnapshots.dropStalledDownload(nowMs)
    }

    private fun refresh(nowMs: Long) {
        if (readStartedAtMs == null) read(nowMs)
        peerContacts.nextPeers(settings.probesPerRoundWithoutLog).forEach { probe(it, nowMs) }
    }

    private fun read(nowMs: Long) {
        if (isHalted) return
        readStartedAtMs = nowMs
        nextReadAtMs = nowMs + readIntervalMs()
        val fromOffset = current?.nextOffset ?: 0
        actions += if (needsSnapshot) {
            FollowerAction.ReadSnapshot
        } else {
            FollowerAction.ReadLog(nowMs, fromOffset, settings.maxBatchRecords)
        }
    }

    private fun readIntervalMs(): Long =
        (peerContacts.size * settings.readIntervalPerVmMs)
            .coerceIn(settings.minReadIntervalMs, settings.maxReadIntervalMs)

    private fun scheduleNextRead(nowMs: Long) {
        readStartedAtMs = null
        nextReadAtMs = nowMs + readIntervalMs()
    }

    private fun handleLogRead(event: FollowerEvent.LogRead, nowMs: Long) {
        readStartedAtMs = null
        val batch = event.batch
        if (current == null) {
            if (event.fromOffset != 0L || batch.firstOffset != 0L) return
            adopt(ConfigurationState.INITIAL)
        }
        replayAll(event.fromOffset, batch.records, nowMs)
        val nextOffset = current?.nextOffset ?: return
        when {
            nextOffset < batch.nextOffset -> if (batch.records.isNotEmpty()) read(nowMs)
            nextOffset > batch.nextOffset && event.requestedAtMs > lastReplayAtMs ->
                raiseAlarm(FollowerAlarm.LogBehind(nextOffset, batch.nextOffset))
            else -> freshness.confirm(event.requestedAtMs)
        }
    }

    private fun handleLogReadFailed(event: FollowerEvent.LogReadFailed, nowMs: Long) {
        scheduleNextRead(nowMs)
        val failure = event.failure
        val nextOffset = current?.nextOffset ?: 0
        if (failure !is LogFailure.Expired || failure.firstOffset <= nextOffset) return
        needsSnapshot = true
        firstKeptOffset = failure.firstOffset
        freshness.raiseKnownOffset(failure.firstOffset)
    }

    private fun handleSnapshotRead(state: ConfigurationState?, nowMs: Long) {
        readStartedAtMs = null
        val nextOffset = current?.nextOffset ?: 0
        when {
            state != null && (current == null || state.nextOffset > nextOffset) -> adopt(state)
            firstKeptOffset > nextOffset ->
                raiseAlarm(FollowerAlarm.RecordsLost(nextOffset, firstKeptOffset))
        }
        needsSnapshot = false
        read(nowMs)
    }

    /** Replays consecutive records from [fromOffset] on; ignores them if they start beyond the next offset. */
    private fun replayAll(fromOffset: Long, records: List<LogRecord>, nowMs: Long) {
        val before = current ?: return
        if (isHalted || fromOffset > before.nextOffset) return
        val state = records.dropWhile { it.offset < before.nextOffset }.fold(before) { state, record ->
            if (isHalted) state else replayRecord(state, record)
        }
        if (state !== before) {
            lastReplayAtMs = nowMs
            publish(before, state)
        }
    }

    private fun replayRecord(state: ConfigurationState, record: LogRecord): ConfigurationState {
        val next = state.replay(record.offset, record.payload).getOrElse {
            halt(record.offset, it)
            return state
        }
        recentRecords.add(record)
        return next
    }

    private fun halt(offset: Long, failure: CodecFailure.NewerFormat) {
        isHalted = true
        freshness.halt()
        raiseAlarm(FollowerAlarm.NewerFormat(offset, failure.format))
    }

    private fun raiseAlarm(alarm: FollowerAlarm) {
        if (alarm == lastAlarm) return
        lastAlarm = alarm
        actions += FollowerAction.Alarm(alarm)
    }

    private fun adopt(state: ConfigurationState) {
        val before = current
        recentRecords.resetTo(state.nextOffset)
        needsSnapshot = false
        publish(before, state)
    }

    private fun publish(before: ConfigurationState?, state: ConfigurationState) {
        current = state
        freshness.raiseKnownOffset(state.nextOffset)
        actions += FollowerAction.Publish(state)
        val invalidated = before?.let { invalidatedKeyIds(it, state) }.orEmpty()
        if (invalidated.isNotEmpty()) actions += FollowerAction.CancelRequests(invalidated)
    }

    private fun probePeers(nowMs: Long) {
        nextProbeAtMs = nowMs + settings.probeIntervalMs
        val isConfirmed = freshness.isConfirmedByLog(nowMs)
        val count = if (isConfirmed) settings.probesPerRound else settings.probesPerRoundWithoutLog
        peerContacts.nextPeers(count).forEach { probe(it, nowMs) }
    }

    private fun probe(peer: VmId, nowMs: Long) {
        val sequence = peerContacts.startProbe(peer, nowMs)
        actions += FollowerAction.Send(peer, GossipMessage.Probe(sequence, current?.nextOffset ?: 0))
    }

    private fun handlePeerMessage(from: VmId, message: GossipMessage, nowMs: Long) {
        when (message) {
            is GossipMessage.Probe -> respondToProbe(from, message, nowMs)
            is GossipMessage.ProbeResponse -> handleProbeResponse(from, message, nowMs)
            is GossipMessage.SnapshotRequest -> respondToSnapshotRequest(from, message, nowMs)
            is GossipMessage.SnapshotResponse -> handleSnapshotChunk(from, message.chunk, nowMs)
        }
    }

    private fun respondToProbe(from: VmId, probe: GossipMessage.Probe, nowMs: Long) {
        val state = current ?: return
        val passedRecords = if (probe.nextOffset < state.nextOffset) recentRecords.readFrom(probe.nextOffset) else null
        val response = GossipMessage.ProbeResponse(
            sequence = probe.sequence,
            nextOffset = state.nextOffset,
            isVoter = freshness.isVoter,
            confirmedAgeMs = freshness.confirmedAtMs?.let { (nowMs - it).coerceAtLeast(0) },
            passedFrom = if (passedRecords == null) 0 else probe.nextOffset,
            passedTo = passedRecords?.passedTo ?: 0,
            records = passedRecords?.records.orEmpty(),
        )
        actions += FollowerAction.Send(from, response)
        val isPeerAhead = probe.nextOffset > state.nextOffset
        if (isPeerAhead && nowMs - CATCH_UP_PROBE_INTERVAL_MS >= lastCatchUpProbeAtMs) {
            lastCatchUpProbeAtMs = nowMs
            probe(from, nowMs)
        }
    }

    private fun handleProbeResponse(from: VmId, response: GossipMessage.ProbeResponse, nowMs: Long) {
        val probedAtMs = peerContacts.finishProbe(from, response.sequence) ?: return
        peerContacts.recordResponse(from, probedAtMs, response)
        freshness.raiseKnownOffset(response.nextOffset)
        val before = current?.nextOffset ?: -1
        if (before >= 0 && response.records.isNotEmpty()) {
            replayAll(response.passedFrom, response.records.map { LogRecord(it.offset, it.payload) }, nowMs)
        }
        val after = current?.nextOffset ?: -1
        when {
            after >= response.nextOffset -> response.confirmedAgeMs?.let { freshness.confirm(probedAtMs - it) }
            after > before -> probe(from, nowMs)
            !isHalted -> peerSnapshots.startDownload(from, nowMs)?.let { actions += FollowerAction.Send(from, it) }
        }
    }

    private fun respondToSnapshotRequest(from: VmId, request: GossipMessage.SnapshotRequest, nowMs: Long) {
        val state = current ?: return
        val chunk = peerSnapshots.chunkFor(request, state, nowMs) ?: return
        actions += FollowerAction.Send(from, GossipMessage.SnapshotResponse(chunk))
    }

    private fun handleSnapshotChunk(from: VmId, chunk: SnapshotChunk, nowMs: Long) {
        when (val progress = peerSnapshots.handleChunk(from, chunk, nowMs)) {
            is DownloadProgress.RequestNext -> actions += FollowerAction.Send(from, progress.request)
            is DownloadProgress.Complete -> {
                if (progress.state.nextOffset > (current?.nextOffset ?: -1)) adopt(progress.state)
                probe(from, nowMs)
            }
            DownloadProgress.NoProgress -> Unit
        }
    }

    private companion object {
        const val CATCH_UP_PROBE_INTERVAL_MS = 50L
    }
}
