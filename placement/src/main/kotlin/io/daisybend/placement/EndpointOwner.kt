/*
 * The state machine of a VM that owns, or wants to own, one endpoint. It works from the ledger and from the engine's
 * reported state, never from time: an owner stays owner until another claim is accepted.
 *
 * An order is sent only when its decision has been read back from the log as accepted under the present fence, and
 * once per decision. A decision that was read back too late is withdrawn instead. What the engine holds is compared
 * with the ledger only when the state was read after the endpoint's last record was applied; the comparison goes to
 * the log as one record that names that offset, so it is refused if anything came between.
 *
 * A checking engine settles doubt: once it has seen a higher number, a late or second copy of an order is refused. An
 * answer alone settles nothing there, since a copy would be obeyed after a restart of the engine. When the numbers do
 * not suffice, the owner claims its own endpoint again to get a higher one. At an engine that ignores numbers an order
 * goes out once, so its answer or its visible effect settles it; one that nobody has seen keeps its memory reserved.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.placement.PlacementRecord.Claim
import io.daisybend.placement.PlacementRecord.DecideLoad
import io.daisybend.placement.PlacementRecord.DecideUnload
import io.daisybend.placement.PlacementRecord.Relinquish
import io.daisybend.placement.PlacementRecord.Withdrawn

/** How long an owner waits before it asks the log or the engine again, and how often it reads the engine's state. */
public data class OwnerSettings(val retryDelayMs: Long = 200, val stateReadIntervalMs: Long = 1_000)

/** Claims one endpoint for [self], reconciles it with the ledger, and carries out decisions. Not thread-safe. */
public class EndpointOwner(
    private val self: OwnerId,
    private val endpointId: EndpointId,
    private val capacity: EndpointCapacity,
    private val ledger: PlacementLedger,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    private class PendingRead(
        val callNumber: Long,
        val entryOffset: Long,
        val settledOrders: Set<RecordId>,
    )

    private class ReadState(val state: EngineState, val read: PendingRead, val atMs: Long)

    private var claimAtFence: Long? = null
    private var handOver = false
    private var pendingRead: PendingRead? = null
    private var lastState: ReadState? = null
    private var raisedFence = NO_FENCE
    private var nextCallNumber = 0L
    private var retryReadAtMs = 0L
    private val requests = LinkedHashMap<Artifact, OwnerEvent>()
    private val orders = OrderTracker()
    private val appends = AppendSlot("${self.vmId}/${self.incarnation}/$endpointId", settings.retryDelayMs)
    private val actions = ArrayList<OwnerAction>()

    /** Takes [event] and returns what is to be done, in order; never throws on late, doubled or unknown answers. */
    public fun handle(event: OwnerEvent, nowMs: Long): List<OwnerAction> {
        when (event) {
            is OwnerEvent.TakeOver -> claimAtFence = event.expectedFence
            is OwnerEvent.HandOver -> handOver = true
            is OwnerEvent.LoadRequested -> requests[event.artifact] = event
            is OwnerEvent.UnloadRequested -> requests[event.artifact] = event
            is OwnerEvent.AppendAnswered -> appends.answered(event, nowMs)?.let { refuse(it, LOG_UNAVAILABLE) }
            is OwnerEvent.LedgerAdvanced -> ledgerAdvanced(event, nowMs)
            is OwnerEvent.StateAnswered -> stateAnswered(event, nowMs)
            is OwnerEvent.OrderAnswered -> if (orders.answered(event.orderId, event.answer)) discardState()
            is OwnerEvent.Tick -> Unit
        }
        advance(nowMs)
        return actions.toList().also { actions.clear() }
    }

    /** True when this VM owns the endpoint and has read the engine's state under its present fence. */
    public fun isReady(): Boolean = ownEntry()?.let { currentState(it) != null } ?: false

    private fun ownEntry(): EndpointEntry? = ledger.endpoint(endpointId)?.takeIf { it.owner == self }

    private fun refuse(record: PlacementRecord, refusal: RequestRefusal) {
        record.decidedArtifact?.let { actions += OwnerAction.RefuseRequest(it, refusal) }
    }

    private fun ledgerAdvanced(event: OwnerEvent.LedgerAdvanced, nowMs: Long) {
        event.applied.forEach { applied(it) }
        val givenUp = event.tailReadAtMs?.let { appends.tailRead(it, nowMs) } ?: return
        refuse(givenUp, LOG_UNAVAILABLE)
    }

    private fun applied(applied: AppliedRecord) {
        val own = appends.applied(applied.record.recordId)
        if (own && applied.refusal != null) refuse(applied.record, RequestRefusal.Refused(applied.refusal))
        if (applied.refusal != null || applied.owner != self) return
        when (val record = applied.record) {
            is DecideLoad -> sendOrWithdraw(record.fence, record.orderAt(applied.offset))
            is DecideUnload -> sendOrWithdraw(record.fence, record.orderAt(applied.offset))
            else -> Unit
        }
    }

    private fun sendOrWithdraw(fence: Long, order: EngineOrder) {
        val entry = ownEntry()
        val outdated = entry?.fence != fence || order.fencingNumber <= raisedFence
        if (outdated) return orders.withdraw(order.orderId)
        orders.send(order)
        discardState()
        actions += OwnerAction.SendOrder(order)
    }

    private fun discardState() {
        pendingRead = null
        lastState = null
    }

    private fun stateAnswered(event: OwnerEvent.StateAnswered, nowMs: Long) {
        val read = pendingRead?.takeIf { it.callNumber == event.callNumber } ?: return
        pendingRead = null
        when (val answer = event.answer) {
            is StateAnswer.Reported -> {
                raisedFence = if (capacity.checksFencing) answer.state.highestFence else NO_FENCE
                orders.seenAt(answer.state)
                lastState = ReadState(answer.state, read, nowMs)
            }
            is StateAnswer.FenceRefused, is StateAnswer.NoAnswer -> retryReadAtMs = nowMs + settings.retryDelayMs
        }
    }

    private fun advance(nowMs: Long) {
        val entry = ownEntry()
        if (entry == null) {
            handOver = false
            refuseRequests(RequestRefusal.NotOwner)
            withdrawUnsent(nowMs)
            claimIfAsked(nowMs)
            return
        }
        claimAtFence = null
        orders.forgetSettled(entry)
        if (handOver && !orders.hasInFlight()) relinquish(entry, nowMs)
        readStateIfOld(entry, nowMs)
        val state = currentState(entry) ?: return
        reconcile(entry, state, nowMs)
        decideNext(entry, nowMs)
    }

    private fun refuseRequests(refusal: RequestRefusal) {
        requests.keys.forEach { actions += OwnerAction.RefuseRequest(it, refusal) }
        requests.clear()
    }

    private fun withdrawUnsent(nowMs: Long) {
        if (!appends.isFree(nowMs)) return
        val unsent = orders.takeUnsent().ifEmpty { return }
        append(Withdrawn(appends.nextRecordId(), endpointId, unsent))
    }

    private fun claimIfAsked(nowMs: Long) {
        val expectedFence = claimAtFence ?: return
        if (expectedFence != (ledger.endpoint(endpointId)?.fence ?: NO_FENCE)) {
            claimAtFence = null
            return
        }
        if (appends.isFree(nowMs)) claim(expectedFence)
    }

    private fun claim(expectedFence: Long) =
        append(Claim(appends.nextRecordId(), endpointId, self, expectedFence, capacity))

    private fun relinquish(entry: EndpointEntry, nowMs: Long) {
        refuseRequests(RequestRefusal.NotOwner)
        if (!appends.isFree(nowMs)) return
        handOver = false
        append(Relinquish(appends.nextRecordId(), endpointId, entry.fence))
    }

    private fun readStateIfOld(entry: EndpointEntry, nowMs: Long) {
        if (pendingRead != null || nowMs < retryReadAtMs) return
        val state = currentState(entry)
        if (state != null && nowMs - state.atMs < settings.stateReadIntervalMs) return
        val raise = entry.fence.takeIf { entry.capacity.checksFencing && raisedFence < it }
        val read = PendingRead(nextCallNumber++, entry.lastOffset, orders.settledOrders)
        pendingRead = read
        actions += OwnerAction.ReadState(read.callNumber, raise)
    }

    private fun currentState(entry: EndpointEntry): ReadState? =
        lastState?.takeIf {
            it.read.entryOffset == entry.lastOffset && (!entry.capacity.checksFencing || raisedFence >= entry.fence)
        }

    private fun reconcile(entry: EndpointEntry, read: ReadState, nowMs: Long) {
        if (!appends.isFree(nowMs)) return
        val comparison = StateComparison(entry, read.state, read.read.settledOrders, orders::hasInFlight)
        if (comparison.needsHigherFence) return claim(entry.fence)
        comparison.observed(appends::nextRecordId)?.let { return append(it) }
        val stuck = comparison.stuckUnload() ?: return
        val request = OwnerEvent.UnloadRequested(stuck, ledger.replicaSet(stuck.replicaKey).revision)
        appendDecision(request.toDecision(appends.nextRecordId(), endpointId, entry.fence))
    }

    private fun decideNext(entry: EndpointEntry, nowMs: Long) {
        if (!appends.isFree(nowMs) || handOver) return
        val artifact = requests.keys.firstOrNull() ?: return
        when (val request = requests.remove(artifact)) {
            is OwnerEvent.LoadRequested ->
                appendDecision(request.toDecision(appends.nextRecordId(), endpointId, entry.fence))
            is OwnerEvent.UnloadRequested ->
                appendDecision(request.toDecision(appends.nextRecordId(), endpointId, entry.fence))
            else -> Unit
        }
    }

    private fun appendDecision(record: PlacementRecord) {
        val refusal = ledger.refusalOf(record) ?: return append(record)
        refuse(record, RequestRefusal.Refused(refusal))
    }

    private fun append(record: PlacementRecord) {
        appends.put(record)
        actions += OwnerAction.Append(record)
    }

    private companion object {
        val LOG_UNAVAILABLE = RequestRefusal.LogUnavailable
    }
}
