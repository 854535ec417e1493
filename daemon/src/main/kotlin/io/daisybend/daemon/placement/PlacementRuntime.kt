/*
 * Runs the placement state machines of one daemon: reads the ledger's log, plans endpoint ownership from the list of
 * VMs, passes events to the endpoint owners and performs their actions. The state machines themselves do no I/O.
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

/** Lists the VMs that this VM knows to be live; returns the same list object until the list changes. */
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
    private val idleUnloadPolicy: IdleUnloadPolicy,
    private val clock: MillisClock,
    private val timeline: Timeline,
    private val scope: CoroutineScope,
) {
    private val follower = LedgerFollower()
    private val engines = PlacementEngineClient(engineClient, configuration, follower.ledger, idleUnloadPolicy)
    private val owners = EndpointOwners(self, follower.ledger, clock, ::perform)
    private val planner = OwnershipPlanner(self)
    private val readSignal = Channel<Unit>(Channel.CONFLATED)
    private val nextOffsetState = MutableStateFlow(0L)
    private var lastSnapshotOffset = 0L

    val ledger: PlacementLedger get() = follower.ledger

    /** The offset of the next ledger record to read; advances when a batch of records is applied. */
    val nextOffset: StateFlow<Long> get() = nextOffsetState

    val isCaughtUp: Boolean get() = follower.isCaughtUp

    fun isReady(endpointId: EndpointId): Boolean = owners.isReady(endpointId)

    fun handle(endpointId: EndpointId, event: OwnerEvent): Unit = owners.handle(endpointId, event)

    /** Reads and applies ledger records until cancelled. */
    suspend fun followLedger() {
        while (true) {
            while (readOnce()) Unit
            withTimeoutOrNull(READ_INTERVAL_MS) { readSignal.receive() }
        }
    }

    /** Plans endpoint ownership periodically until cancelled. */
    suspend fun runOwnershipPlanning() {
        while (true) {
            if (follower.isCaughtUp) planOwnership()
            delay(PLAN_INTERVAL_MS)
        }
    }

    /** Sends periodic ticks to the endpoint owners until cancelled. */
    suspend fun runTicks() {
        while (true) {
            owners.endpointIds().forEach { owners.handle(it, OwnerEvent.Tick) }
            delay(TICK_INTERVAL_MS)
        }
    }

    /** Unloads the replicas of idle endpoints until cancelled. */
    suspend fun runIdleUnloading() {
        while (true) {
            delay(IDLE_CHECK_INTERVAL_MS)
            owners.endpointIds().filter { owners.isReady(it) }.forEach { endpointId ->
                idleUnloadPolicy.dueUnloads(endpointId, ledger, usage).forEach { owners.handle(endpointId, it) }
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

    /** Reads one batch; returns whether another read is due immediately. */
    private suspend fun readOnce(): Boolean {
        val read = follower.nextRead()
        val readStartedAtMs = clock.nowMs()
        return log.read(read.stream, read.fromOffset, MAX_RECORDS_PER_READ).mapBoth(
            success = { applyBatch(read, it, readStartedAtMs) },
            failure = { handleReadFailure(read, it) },
        )
    }

    private suspend fun applyBatch(read: FollowerRead, batch: LogBatch, readStartedAtMs: Long): Boolean {
        val applied = follower.handleBatch(read, batch)
        applied.forEach { recordApplied(it) }
        nextOffsetState.value = ledger.nextOffset
        val isAtEnd = follower.isCaughtUp && ledger.nextOffset >= batch.nextOffset
        val appliedByEndpoint = applied.groupBy { it.record.endpointId }
        owners.endpointIds().forEach { endpointId ->
            val endpointRecords = appliedByEndpoint[endpointId].orEmpty()
            owners.handle(endpointId, OwnerEvent.LedgerAdvanced(endpointRecords, readStartedAtMs.takeIf { isAtEnd }))
        }
        if (isAtEnd) writeSnapshotIfDue()
        return read.stream != PLACEMENT_STREAM &&
            follower.nextRead().stream == PLACEMENT_STREAM ||
            batch.records.isNotEmpty() &&
            !isAtEnd
    }

    private fun handleReadFailure(read: FollowerRead, failure: LogFailure): Boolean {
        follower.handleReadFailure(read, failure)
        return failure is LogFailure.Expired
    }

    private suspend fun writeSnapshotIfDue() {
        if (ledger.nextOffset - lastSnapshotOffset < SNAPSHOT_INTERVAL_RECORDS) return
        lastSnapshotOffset = ledger.nextOffset
        if (firstByRendezvous(PLACEMENT_SNAPSHOT_STREAM.name, liveVms.current()) != self.vmId) return
        val snapshotId = RecordId("${self.vmId}/${self.incarnation}/$lastSnapshotOffset")
        ledger.snapshot().toPayloads(snapshotId).forEach { log.append(PLACEMENT_SNAPSHOT_STREAM, it) }
        timeline.record("placement-snapshot", detail = "offset $lastSnapshotOffset")
    }

    private fun perform(endpointId: EndpointId, action: OwnerAction) {
        when (action) {
            is OwnerAction.Append -> scope.launch { append(endpointId, action.record) }
            is OwnerAction.ReadState -> scope.launch { readState(endpointId, action) }
            is OwnerAction.SendOrder -> scope.launch { sendOrder(endpointId, action.order) }
            is OwnerAction.RefuseRequest -> Unit
        }
    }

    /** Reads the engine's state; an endpoint that is not in the configuration counts as [StateAnswer.NoAnswer]. */
    private suspend fun readState(endpointId: EndpointId, action: OwnerAction.ReadState) {
        val endpoint = configuration.current()?.endpoint(endpointId)
        val answer = endpoint?.let { engines.readState(it, action.raiseFence) } ?: StateAnswer.NoAnswer
        owners.handle(endpointId, OwnerEvent.StateAnswered(action.callNumber, answer))
    }

    private suspend fun append(endpointId: EndpointId, record: PlacementRecord) {
        val answer = log.append(PLACEMENT_STREAM, record.toPayload()).mapBoth(
            success = { AppendAnswer.APPENDED },
            failure = { if (it is LogFailure.OutcomeUnknown) AppendAnswer.UNKNOWN else AppendAnswer.NOT_APPENDED },
        )
        owners.handle(endpointId, OwnerEvent.AppendAnswered(record.recordId, answer))
        readSignal.trySend(Unit)
    }

    private suspend fun sendOrder(endpointId: EndpointId, order: EngineOrder) {
        val kind = order.kind.name.lowercase()
        recordArtifactEvent("$kind-ordered", endpointId, order.artifact, "fencing number ${order.fencingNumber}")
        val endpoint = configuration.current()?.endpoint(endpointId)
        val sentAtMs = clock.nowMs()
        val answer = endpoint?.let { engines.sendOrder(it, order) } ?: OrderAnswer.NotSent
        if (order.kind == OrderKind.LOAD && answer is OrderAnswer.Accepted) {
            idleUnloadPolicy.recordLoadTime(order.artifact, clock.nowMs() - sentAtMs)
        }
        recordArtifactEvent("$kind-answered", endpointId, order.artifact, "$answer")
        owners.handle(endpointId, OwnerEvent.OrderAnswered(order.orderId, answer))
    }

    /** Adds observed loads of all VMs to the usage, and the records of this VM to the timeline. */
    private fun recordApplied(applied: AppliedRecord) {
        if (applied.refusal == null) (applied.record as? PlacementRecord.Observed)?.loaded?.forEach { usage.onLoad(it) }
        if (applied.owner != self) return
        val refused = applied.refusal?.let { " refused: ${it.message}" }.orEmpty()
        val endpointId = applied.record.endpointId
        when (val record = applied.record) {
            is PlacementRecord.Claim ->
                timeline.record("endpoint-claimed", endpointId = endpointId, detail = "fence ${applied.offset}$refused")
            is PlacementRecord.DecideLoad ->
                recordArtifactEvent("load-decided", endpointId, record.artifact, "offset ${applied.offset}$refused")
            is PlacementRecord.DecideUnload ->
                recordArtifactEvent("unload-decided", endpointId, record.artifact, "offset ${applied.offset}$refused")
            is PlacementRecord.Observed -> {
                record.loaded.forEach {
                    recordArtifactEvent("replica-loaded", endpointId, it, "offset ${applied.offset}")
                }
                record.absent.forEach {
                    recordArtifactEvent("replica-absent", endpointId, it, "offset ${applied.offset}")
                }
            }
            is PlacementRecord.Relinquish, is PlacementRecord.Withdrawn -> Unit
        }
    }

    private fun recordArtifactEvent(
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
        const val MAX_RECORDS_PER_READ = 500
        const val SNAPSHOT_INTERVAL_RECORDS = 5_000L
    }
}
