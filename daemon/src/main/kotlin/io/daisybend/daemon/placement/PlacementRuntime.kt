/*
 * Runs the placement decisions of one daemon: follows the ledger, plans ownership from the list of VMs, feeds the
 * endpoint owners, and carries out what they ask for. All waiting happens here; the decisions themselves do no I/O.
 */
package io.daisybend.daemon.placement

import com.github.michaelbull.result.mapBoth
import io.daisybend.configuration.EndpointKind
import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.daisybend.kernel.firstByRendezvous
import io.daisybend.placement.AppendAnswer
import io.daisybend.placement.AppliedRecord
import io.daisybend.placement.Artifact
import io.daisybend.placement.EngineOrder
import io.daisybend.placement.FollowerRead
import io.daisybend.placement.LedgerFollower
import io.daisybend.placement.OrderAnswer
import io.daisybend.placement.OrderKind
import io.daisybend.placement.OwnerAction
import io.daisybend.placement.OwnerEvent
import io.daisybend.placement.OwnerId
import io.daisybend.placement.OwnershipPlanner
import io.daisybend.placement.PLACEMENT_SNAPSHOT_STREAM
import io.daisybend.placement.PLACEMENT_STREAM
import io.daisybend.placement.PlacementLedger
import io.daisybend.placement.PlacementRecord
import io.daisybend.placement.RecordId
import io.daisybend.placement.StateAnswer
import io.daisybend.placement.snapshot
import io.daisybend.placement.toPayload
import io.daisybend.placement.toPayloads
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Gives the VMs that are live as far as this VM knows; the same list object as long as nothing has changed. */
internal fun interface LiveVms {
    fun current(): List<VmId>
}

internal class PlacementRuntime(
    private val self: OwnerId,
    private val log: PlatformLog,
    engineClient: EngineClient,
    private val configuration: ConfigurationView,
    private val liveVms: LiveVms,
    private val usage: ReplicaUsage,
    private val idleUnloads: IdleUnloads,
    private val clock: MillisClock,
    private val timeline: Timeline,
    private val scope: CoroutineScope,
) {
    private val follower = LedgerFollower()
    private val engines = PlacementEngines(engineClient, configuration, follower.ledger, idleUnloads)
    private val owners = EndpointOwners(self, follower.ledger, clock, ::perform)
    private val planner = OwnershipPlanner(self)
    private val readNow = Channel<Unit>(Channel.CONFLATED)
    private val offset = MutableStateFlow(0L)
    private var snapshotOffset = 0L

    val ledger: PlacementLedger get() = follower.ledger

    /** The offset of the next record; changes with every applied record. */
    val nextOffset: StateFlow<Long> get() = offset

    val isCaughtUp: Boolean get() = follower.isCaughtUp

    fun isReady(endpointId: EndpointId): Boolean = owners.isReady(endpointId)

    fun handle(endpointId: EndpointId, event: OwnerEvent): Unit = owners.handle(endpointId, event)

    /** Follows the ledger until it is cancelled. */
    suspend fun follow() {
        while (true) {
            while (readOnce()) Unit
            withTimeoutOrNull(READ_INTERVAL_MS) { readNow.receive() }
        }
    }

    /** Plans ownership until it is cancelled. */
    suspend fun plan() {
        while (true) {
            if (follower.isCaughtUp) planOwnership()
            delay(PLAN_INTERVAL_MS)
        }
    }

    /** Gives the owners their ticks until it is cancelled. */
    suspend fun tick() {
        while (true) {
            owners.endpointIds().forEach { owners.handle(it, OwnerEvent.Tick) }
            delay(TICK_INTERVAL_MS)
        }
    }

    /** Unloads the replicas of idle endpoints until it is cancelled. */
    suspend fun unloadIdle() {
        while (true) {
            delay(IDLE_CHECK_INTERVAL_MS)
            owners.endpointIds().filter { owners.isReady(it) }.forEach { endpointId ->
                idleUnloads.due(endpointId, ledger, usage).forEach { owners.handle(endpointId, it) }
            }
        }
    }

    private fun planOwnership() {
        val vms = liveVms.current()
        val endpoints = configuration.current()?.manifest?.endpoints.orEmpty()
        endpoints.filter { it.kind == EndpointKind.ENGINE }.forEach { endpoint ->
            planner.plan(endpoint.endpointId, ledger.endpoint(endpoint.endpointId), vms, clock.nowMs())?.let {
                owners.add(endpoint)
                owners.handle(endpoint.endpointId, it)
            }
        }
    }

    /** Reads once and returns whether there is more to read. */
    private suspend fun readOnce(): Boolean {
        val read = follower.nextRead()
        val startedAtMs = clock.nowMs()
        return log.read(read.stream, read.fromOffset, MAX_RECORDS).mapBoth(
            success = { take(read, it, startedAtMs) },
            failure = { failed(read, it) },
        )
    }

    private suspend fun take(read: FollowerRead, batch: LogBatch, startedAtMs: Long): Boolean {
        val applied = follower.handleBatch(read, batch)
        applied.forEach { note(it) }
        offset.value = ledger.nextOffset
        val atEnd = follower.isCaughtUp && ledger.nextOffset >= batch.nextOffset
        val byEndpoint = applied.groupBy { it.record.endpointId }
        owners.endpointIds().forEach { endpointId ->
            val concerned = byEndpoint[endpointId].orEmpty()
            owners.handle(endpointId, OwnerEvent.LedgerAdvanced(concerned, startedAtMs.takeIf { atEnd }))
        }
        if (atEnd) writeSnapshotIfDue()
        return read.stream != PLACEMENT_STREAM &&
            follower.nextRead().stream == PLACEMENT_STREAM ||
            batch.records.isNotEmpty() &&
            !atEnd
    }

    private fun failed(read: FollowerRead, failure: LogFailure): Boolean {
        follower.handleReadFailure(read, failure)
        return failure is LogFailure.Expired
    }

    private suspend fun writeSnapshotIfDue() {
        if (ledger.nextOffset - snapshotOffset < SNAPSHOT_INTERVAL_RECORDS) return
        snapshotOffset = ledger.nextOffset
        if (firstByRendezvous(PLACEMENT_SNAPSHOT_STREAM.name, liveVms.current()) != self.vmId) return
        val id = RecordId("${self.vmId}/${self.incarnation}/$snapshotOffset")
        ledger.snapshot().toPayloads(id).forEach { log.append(PLACEMENT_SNAPSHOT_STREAM, it) }
        timeline.record("placement-snapshot", detail = "offset $snapshotOffset")
    }

    private fun perform(endpointId: EndpointId, action: OwnerAction) {
        when (action) {
            is OwnerAction.Append -> scope.launch { append(endpointId, action.record) }
            is OwnerAction.ReadState -> scope.launch { readState(endpointId, action) }
            is OwnerAction.SendOrder -> scope.launch { send(endpointId, action.order) }
            is OwnerAction.RefuseRequest -> Unit
        }
    }

    /** Asks the engine; an endpoint that has left the configuration does not answer. */
    private suspend fun readState(endpointId: EndpointId, action: OwnerAction.ReadState) {
        val endpoint = configuration.current()?.endpoint(endpointId)
        val answer = endpoint?.let { engines.state(it, action.raiseFence) } ?: StateAnswer.NoAnswer
        owners.handle(endpointId, OwnerEvent.StateAnswered(action.callNumber, answer))
    }

    private suspend fun append(endpointId: EndpointId, record: PlacementRecord) {
        val answer = log.append(PLACEMENT_STREAM, record.toPayload()).mapBoth(
            success = { AppendAnswer.APPENDED },
            failure = { if (it is LogFailure.OutcomeUnknown) AppendAnswer.UNKNOWN else AppendAnswer.NOT_APPENDED },
        )
        owners.handle(endpointId, OwnerEvent.AppendAnswered(record.recordId, answer))
        readNow.trySend(Unit)
    }

    private suspend fun send(endpointId: EndpointId, order: EngineOrder) {
        val kind = order.kind.name.lowercase()
        noteArtifact("$kind-ordered", endpointId, order.artifact, "fencing number ${order.fencingNumber}")
        val endpoint = configuration.current()?.endpoint(endpointId)
        val sentAtMs = clock.nowMs()
        val answer = endpoint?.let { engines.order(it, order) } ?: OrderAnswer.NotSent
        if (order.kind == OrderKind.LOAD && answer is OrderAnswer.Accepted) {
            idleUnloads.loaded(order.artifact, clock.nowMs() - sentAtMs)
        }
        noteArtifact("$kind-answered", endpointId, order.artifact, "$answer")
        owners.handle(endpointId, OwnerEvent.OrderAnswered(order.orderId, answer))
    }

    /** Notes loads of all VMs in the usage, and records of this VM in the time line. */
    private fun note(applied: AppliedRecord) {
        if (applied.refusal == null) (applied.record as? PlacementRecord.Observed)?.loaded?.forEach { usage.loaded(it) }
        if (applied.owner != self) return
        val refused = applied.refusal?.let { " refused: ${it.message}" }.orEmpty()
        val endpointId = applied.record.endpointId
        when (val record = applied.record) {
            is PlacementRecord.Claim ->
                timeline.record("endpoint-claimed", endpointId = endpointId, detail = "fence ${applied.offset}$refused")
            is PlacementRecord.DecideLoad ->
                noteArtifact("load-decided", endpointId, record.artifact, "offset ${applied.offset}$refused")
            is PlacementRecord.DecideUnload ->
                noteArtifact("unload-decided", endpointId, record.artifact, "offset ${applied.offset}$refused")
            is PlacementRecord.Observed -> {
                record.loaded.forEach { noteArtifact("replica-loaded", endpointId, it, "offset ${applied.offset}") }
                record.absent.forEach { noteArtifact("replica-absent", endpointId, it, "offset ${applied.offset}") }
            }
            is PlacementRecord.Relinquish, is PlacementRecord.Withdrawn -> Unit
        }
    }

    private fun noteArtifact(
        kind: String,
        endpointId: EndpointId,
        artifact: Artifact,
        detail: String,
    ) = timeline.record(
        kind,
        modelId = artifact.modelId,
        endpointId = endpointId,
        detail = "${artifact.itemId} $detail",
    )

    private companion object {
        const val READ_INTERVAL_MS = 500L
        const val PLAN_INTERVAL_MS = 500L
        const val TICK_INTERVAL_MS = 100L
        const val IDLE_CHECK_INTERVAL_MS = 1_000L
        const val MAX_RECORDS = 500
        const val SNAPSHOT_INTERVAL_RECORDS = 5_000L
    }
}
