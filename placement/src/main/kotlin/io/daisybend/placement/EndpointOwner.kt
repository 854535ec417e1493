/*
 * The state machine of a VM that owns, or wants to own, one endpoint. It acts on the ledger and on the state that the
 * engine reports. Ownership does not depend on elapsed time: an owner stays owner until it relinquishes the endpoint or
 * another claim is accepted.
 *
 * An order is sent only after its decision has been read back from the log as accepted under the current fence, and
 * only once per decision. A decision that is read back too late is withdrawn instead. The engine's artifacts are
 * compared with the ledger only if the state was read after the endpoint's last record was applied. The differences go
 * to the log as one record that names the offset of that last record, so the ledger refuses it if another record was
 * appended in between.
 *
 * An engine that checks fencing numbers resolves unknown outcomes: once it has seen a higher number, it refuses a late
 * or duplicate copy of an order. An answer alone settles no order there, because the engine would obey a copy after a
 * restart. If the highest number that the engine has seen is too low, the owner claims its own endpoint again to get a
 * higher one. An order to an engine that ignores fencing numbers is sent once, so its answer or its visible effect
 * settles it. The memory for an order without either stays reserved.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.placement.PlacementRecord.Claim
import io.daisybend.placement.PlacementRecord.DecideLoad
import io.daisybend.placement.PlacementRecord.DecideUnload
import io.daisybend.placement.PlacementRecord.Relinquish
import io.daisybend.placement.PlacementRecord.Withdrawn

/** The delay before an owner retries a call to the log or the engine, and the interval at which it reads the state. */
public data class OwnerSettings(val retryDelayMs: Long = 200, val stateReadIntervalMs: Long = 1_000)

/** Claims one endpoint for [self], reconciles the engine with the ledger and executes decisions. Not thread-safe. */
public class EndpointOwner(
    private val self: OwnerId,
    private val endpointId: EndpointId,
    private val capacity: EndpointCapacity,
    private val ledger: PlacementLedger,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    private class PendingRead(
        val callNumber: Long,
        val lastOffset: Long,
        val settledOrders: Set<RecordId>,
    )

    private class ReportedState(val state: EngineState, val read: PendingRead, val receivedAtMs: Long)

    private var expectedClaimFence: Long? = null
    private var isHandOverRequested = false
    private var pendingRead: PendingRead? = null
    private var lastState: ReportedState? = null
    private var engineFence = NO_FENCE
    private var nextCallNumber = 0L
    private var retryReadAtMs = 0L
    private val pendingRequests = LinkedHashMap<Artifact, OwnerEvent>()
    private val orders = OrderTracker()
    private val appendSlot = AppendSlot("${self.vmId}/${self.incarnation}/$endpointId", settings.retryDelayMs)
    private val actions = ArrayList<OwnerAction>()

    /** Handles [event] and returns the actions to perform, in order; ignores late, duplicate and unknown answers. */
    public fun handle(event: OwnerEvent, nowMs: Long): List<OwnerAction> {
        when (event) {
            is OwnerEvent.TakeOver -> expectedClaimFence = event.expectedFence
            is OwnerEvent.HandOver -> isHandOverRequested = true
            is OwnerEvent.LoadRequested -> pendingRequests[event.artifact] = event
            is OwnerEvent.UnloadRequested -> pendingRequests[event.artifact] = event
            is OwnerEvent.AppendAnswered ->
                appendSlot.handleAnswer(event, nowMs)?.let { refuseRequest(it, LOG_UNAVAILABLE) }
            is OwnerEvent.LedgerAdvanced -> handleLedgerAdvanced(event, nowMs)
            is OwnerEvent.StateAnswered -> handleStateAnswer(event, nowMs)
            is OwnerEvent.OrderAnswered -> if (orders.handleAnswer(event.orderId, event.answer)) discardState()
            is OwnerEvent.Tick -> Unit
        }
        advance(nowMs)
        return actions.toList().also { actions.clear() }
    }

    /** Returns whether this VM owns the endpoint and has read the engine's state under the current fence. */
    public fun isReady(): Boolean = ownEntry()?.let { currentState(it) != null } ?: false

    private fun ownEntry(): EndpointEntry? = ledger.endpoint(endpointId)?.takeIf { it.owner == self }

    private fun refuseRequest(record: PlacementRecord, refusal: RequestRefusal) {
        record.decidedArtifact?.let { actions += OwnerAction.RefuseRequest(it, refusal) }
    }

    private fun handleLedgerAdvanced(event: OwnerEvent.LedgerAdvanced, nowMs: Long) {
        event.applied.forEach { handleApplied(it) }
        val abandoned = event.tailReadAtMs?.let { appendSlot.handleTailRead(it, nowMs) } ?: return
        refuseRequest(abandoned, LOG_UNAVAILABLE)
    }

    private fun handleApplied(applied: AppliedRecord) {
        val isOwn = appendSlot.handleApplied(applied.record.recordId)
        if (isOwn && applied.refusal != null) refuseRequest(applied.record, RequestRefusal.Refused(applied.refusal))
        if (applied.refusal != null || applied.owner != self) return
        when (val record = applied.record) {
            is DecideLoad -> sendOrWithdraw(record.fence, record.toOrder(applied.offset))
            is DecideUnload -> sendOrWithdraw(record.fence, record.toOrder(applied.offset))
            else -> Unit
        }
    }

    private fun sendOrWithdraw(fence: Long, order: EngineOrder) {
        val entry = ownEntry()
        val isOutdated = entry?.fence != fence || order.fencingNumber <= engineFence
        if (isOutdated) return orders.recordWithdrawn(order.orderId)
        orders.recordSent(order)
        discardState()
        actions += OwnerAction.SendOrder(order)
    }

    private fun discardState() {
        pendingRead = null
        lastState = null
    }

    private fun handleStateAnswer(event: OwnerEvent.StateAnswered, nowMs: Long) {
        val read = pendingRead?.takeIf { it.callNumber == event.callNumber } ?: return
        pendingRead = null
        when (val answer = event.answer) {
            is StateAnswer.Reported -> {
                engineFence = if (capacity.checksFencing) answer.state.highestFence else NO_FENCE
                orders.recordSeen(answer.state)
                lastState = ReportedState(answer.state, read, nowMs)
            }
            is StateAnswer.FenceRefused, is StateAnswer.NoAnswer -> retryReadAtMs = nowMs + settings.retryDelayMs
        }
    }

    private fun advance(nowMs: Long) {
        val entry = ownEntry()
        if (entry == null) {
            isHandOverRequested = false
            refuseRequests(RequestRefusal.NotOwner)
            appendWithdrawn(nowMs)
            claimIfRequested(nowMs)
            return
        }
        expectedClaimFence = null
        orders.forgetSettled(entry)
        if (isHandOverRequested && !orders.hasInFlight()) relinquish(entry, nowMs)
        readStateIfStale(entry, nowMs)
        val state = currentState(entry) ?: return
        reconcile(entry, state, nowMs)
        decideNextRequest(entry, nowMs)
    }

    private fun refuseRequests(refusal: RequestRefusal) {
        pendingRequests.keys.forEach { actions += OwnerAction.RefuseRequest(it, refusal) }
        pendingRequests.clear()
    }

    private fun appendWithdrawn(nowMs: Long) {
        if (!appendSlot.isFree(nowMs)) return
        val withdrawnOrders = orders.takeWithdrawn().ifEmpty { return }
        append(Withdrawn(appendSlot.nextRecordId(), endpointId, withdrawnOrders))
    }

    private fun claimIfRequested(nowMs: Long) {
        val expectedFence = expectedClaimFence ?: return
        if (expectedFence != (ledger.endpoint(endpointId)?.fence ?: NO_FENCE)) {
            expectedClaimFence = null
            return
        }
        if (appendSlot.isFree(nowMs)) claim(expectedFence)
    }

    private fun claim(expectedFence: Long) =
        append(Claim(appendSlot.nextRecordId(), endpointId, self, expectedFence, capacity))

    private fun relinquish(entry: EndpointEntry, nowMs: Long) {
        refuseRequests(RequestRefusal.NotOwner)
        if (!appendSlot.isFree(nowMs)) return
        isHandOverRequested = false
        append(Relinquish(appendSlot.nextRecordId(), endpointId, entry.fence))
    }

    private fun readStateIfStale(entry: EndpointEntry, nowMs: Long) {
        if (pendingRead != null || nowMs < retryReadAtMs) return
        val state = currentState(entry)
        if (state != null && nowMs - state.receivedAtMs < settings.stateReadIntervalMs) return
        val fenceToRaise = entry.fence.takeIf { entry.capacity.checksFencing && engineFence < it }
        val read = PendingRead(nextCallNumber++, entry.lastOffset, orders.settledOrders)
        pendingRead = read
        actions += OwnerAction.ReadState(read.callNumber, fenceToRaise)
    }

    private fun currentState(entry: EndpointEntry): ReportedState? =
        lastState?.takeIf {
            it.read.lastOffset == entry.lastOffset && (!entry.capacity.checksFencing || engineFence >= entry.fence)
        }

    private fun reconcile(entry: EndpointEntry, reported: ReportedState, nowMs: Long) {
        if (!appendSlot.isFree(nowMs)) return
        val comparison = StateComparison(entry, reported.state, reported.read.settledOrders, orders::hasInFlight)
        if (comparison.needsHigherFence) return claim(entry.fence)
        comparison.toObservedRecord(appendSlot::nextRecordId)?.let { return append(it) }
        val stuckArtifact = comparison.findStuckUnload() ?: return
        val request = OwnerEvent.UnloadRequested(stuckArtifact, ledger.replicaSet(stuckArtifact.replicaKey).revision)
        appendDecision(request.toDecision(appendSlot.nextRecordId(), endpointId, entry.fence))
    }

    private fun decideNextRequest(entry: EndpointEntry, nowMs: Long) {
        if (!appendSlot.isFree(nowMs) || isHandOverRequested) return
        val artifact = pendingRequests.keys.firstOrNull() ?: return
        when (val request = pendingRequests.remove(artifact)) {
            is OwnerEvent.LoadRequested ->
                appendDecision(request.toDecision(appendSlot.nextRecordId(), endpointId, entry.fence))
            is OwnerEvent.UnloadRequested ->
                appendDecision(request.toDecision(appendSlot.nextRecordId(), endpointId, entry.fence))
            else -> Unit
        }
    }

    private fun appendDecision(record: PlacementRecord) {
        val refusal = ledger.refusalOf(record) ?: return append(record)
        refuseRequest(record, RequestRefusal.Refused(refusal))
    }

    private fun append(record: PlacementRecord) {
        appendSlot.start(record)
        actions += OwnerAction.Append(record)
    }

    private companion object {
        val LOG_UNAVAILABLE = RequestRefusal.LogUnavailable
    }
}
