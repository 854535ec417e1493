/*
 * Runs one random schedule over the real ledger, followers and owners: three VMs, two engines and a fake log and
 * network. A VM may be paused between deciding on an action and performing it. After every step the invariants are
 * checked against a reference ledger that has applied the whole log. Without protection, all unsettled orders are
 * reported as settled and engines obey old fencing numbers.
 */
package io.daisybend.placement

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.VmId
import kotlin.random.Random

internal class InvariantViolation(message: String) : AssertionError(message)

internal data class SimulationCounters(
    var loads: Int = 0,
    var takeovers: Int = 0,
    var held: Int = 0,
    var adapters: Int = 0,
    var refused: Int = 0,
    var lateOrders: Int = 0,
)

private enum class LogMode { UP, DOWN, ANSWER_LOST, LATE }

private class FakeVm(val vmId: VmId, run: Int, engines: List<FakeEngine>) {
    val ownerId = OwnerId(vmId, "run-$run")
    val follower = LedgerFollower()
    val planner = OwnershipPlanner(ownerId)
    val owners = engines.associate {
        it.endpointId to EndpointOwner(ownerId, it.endpointId, it.capacity, follower.ledger)
    }
    val outbox = ArrayDeque<Outgoing>()
    val inbox = mutableListOf<Incoming>()
    var paused = false
}

private class Outgoing(val endpointId: EndpointId, val action: OwnerAction)

private class Incoming(val endpointId: EndpointId, val event: OwnerEvent)

private class InFlight(val engine: FakeEngine, val action: OwnerAction, val sender: FakeVm)

internal class PlacementSimulation(
    seed: Long,
    private val checksFencing: Boolean,
    private val counters: SimulationCounters = SimulationCounters(),
    private val isUnprotected: Boolean = false,
) {
    private val random = Random(seed)
    private val capacity = EndpointCapacity(memoryBytes = 100, kvCacheBytes = 20, checksFencing = checksFencing)
    private val engines = (1..2).map { FakeEngine(EndpointId("engine-$it"), capacity, obeysOldFences = isUnprotected) }
    private val candidates = engines.map { EndpointCandidate(it.endpointId, FailureDomainId("fd-${it.endpointId}")) }
    private val models = (1..5).map { Artifact(ModelId("model-$it")) }
    private val artifacts = models + (1..3).map { Artifact(ModelId("model-$it"), AdapterId("adapter-$it")) }
    private val wanted = artifacts.filterTo(HashSet()) { random.nextBoolean() }
    private val log = mutableListOf<ByteArray>()
    private val reference = PlacementLedger()
    private val referenceAt = mutableListOf(reference.snapshot())
    private val lateAppends = mutableListOf<ByteArray>()
    private val network = mutableListOf<InFlight>()
    private var logMode = LogMode.UP
    private var hasFaults = true
    private var runCount = 0
    private var nowMs = 0L
    private val vms = MutableList(3) { newVm(VmId("vm-$it")) }

    fun run(steps: Int) = repeat(steps) { step() }

    /** Ends all faults, wants one model and returns the steps until it is loaded, or null after [limit] steps. */
    fun stepsUntilLoaded(limit: Int): Int? {
        hasFaults = false
        logMode = LogMode.UP
        vms.forEach { it.paused = false }
        wanted.clear()
        wanted += models.first()
        return (1..limit).firstOrNull {
            step()
            engines.any { it.artifacts[models.first()]?.loading == false }
        }
    }

    private fun newVm(vmId: VmId) = FakeVm(vmId, runCount++, engines)

    private fun step() {
        nowMs += random.nextLong(20)
        if (hasFaults && random.nextInt(20) == 0) injectFault() else makeProgress()
        checkInvariants()
    }

    private fun injectFault() {
        val index = random.nextInt(vms.size)
        val vm = vms[index]
        when (random.nextInt(9)) {
            0, 1 -> vm.paused = !vm.paused
            2, 3 -> if (random.nextInt(4) == 0) vms[index] = newVm(vm.vmId)
            4 -> logMode = LogMode.entries.random(random)
            5 -> if (random.nextInt(4) == 0) engines.random(random).restart()
            6 -> if (random.nextInt(2) == 0) takeOver(vm)
            7 -> if (random.nextInt(3) == 0) vm.owners.keys.random(random).let { feed(vm, it, OwnerEvent.HandOver) }
            else -> toggleWanted()
        }
    }

    private fun makeProgress() {
        when (random.nextInt(12)) {
            0 -> logMode = LogMode.UP
            1, 2 -> network.randomOrNull(random)?.let { deliver(it) }
            3 -> engines.random(random).finishLoads()
            4 -> lateAppends.removeFirstOrNull()?.let { append(it) }
            else -> vms.filterNot { it.paused }.randomOrNull(random)?.let { makeProgress(it) }
        }
    }

    private fun makeProgress(vm: FakeVm) {
        val isBehind = vm.follower.ledger.nextOffset < log.size
        when (random.nextInt(6)) {
            0 -> plan(vm)
            1 -> vm.owners.keys.random(random).let { feed(vm, it, OwnerEvent.Tick) }
            2 -> if (vm.inbox.isNotEmpty()) handleIncoming(vm) else readLog(vm)
            3 -> if (vm.outbox.isNotEmpty()) perform(vm, vm.outbox.removeFirst()) else readLog(vm)
            else -> if (isBehind) {
                readLog(vm)
            } else if (vm.inbox.isNotEmpty()) {
                handleIncoming(vm)
            }
        }
    }

    private fun handleIncoming(vm: FakeVm) {
        val incoming = vm.inbox.removeAt(random.nextInt(vm.inbox.size))
        feed(vm, incoming.endpointId, incoming.event)
    }

    private fun feed(vm: FakeVm, endpointId: EndpointId, event: OwnerEvent) {
        vm.owners.getValue(endpointId).handle(event, nowMs).mapTo(vm.outbox) { Outgoing(endpointId, it) }
    }

    private fun perform(vm: FakeVm, outgoing: Outgoing) {
        val engine = engines.first { it.endpointId == outgoing.endpointId }
        when (val action = outgoing.action) {
            is OwnerAction.Append -> {
                val record = if (isUnprotected) action.record.settlingAllOrders() else action.record
                val answer = appendInMode(record.toPayload())
                val event = OwnerEvent.AppendAnswered(action.record.recordId, answer)
                vm.inbox += Incoming(outgoing.endpointId, event)
            }
            is OwnerAction.ReadState, is OwnerAction.SendOrder -> network += InFlight(engine, action, vm)
            is OwnerAction.RefuseRequest -> counters.refused++
        }
    }

    private fun PlacementRecord.settlingAllOrders(): PlacementRecord {
        if (this !is PlacementRecord.Observed) return this
        val reservations = reference.endpoint(endpointId)?.reservations.orEmpty()
        val orders = reservations.flatMap { it.unsettledOrders }.map { it.orderId }
        return copy(settledOrders = orders)
    }

    private fun appendInMode(payload: ByteArray): AppendAnswer =
        when (logMode) {
            LogMode.DOWN -> AppendAnswer.NOT_APPENDED
            LogMode.UP -> AppendAnswer.APPENDED.also { append(payload) }
            LogMode.ANSWER_LOST -> AppendAnswer.UNKNOWN.also { append(payload) }
            LogMode.LATE -> AppendAnswer.UNKNOWN.also { lateAppends += payload }
        }

    private fun append(payload: ByteArray) {
        val offset = log.size.toLong()
        log += payload
        val record = decodePlacementRecord(payload).value()
        val before = reference.endpoint(record.endpointId)?.owner
        val applied = reference.apply(offset, record)
        referenceAt += reference.snapshot()
        if (applied.owner != before && before != null) counters.takeovers++
        if (record is PlacementRecord.Observed && applied.refusal == null) countLoads(record)
    }

    private fun countLoads(record: PlacementRecord.Observed) {
        counters.loads += record.loaded.count { it.adapterId == null }
        counters.adapters += record.loaded.count { it.adapterId != null }
        val entry = reference.endpoint(record.endpointId)
        counters.held += record.absent.count { entry?.reservationOf(it) != null }
    }

    private fun deliver(message: InFlight) {
        val vm = message.sender
        val isLost = hasFaults && random.nextInt(8) == 0
        when (val action = message.action) {
            is OwnerAction.ReadState -> {
                network -= message
                val answer = if (isLost) StateAnswer.NoAnswer else message.engine.state(action.raiseFence)
                val event = OwnerEvent.StateAnswered(action.callNumber, answer)
                vm.inbox += Incoming(message.engine.endpointId, event)
            }
            is OwnerAction.SendOrder -> {
                val answer = deliverOrder(message, action.order, isLost)
                vm.inbox += Incoming(message.engine.endpointId, OwnerEvent.OrderAnswered(action.order.orderId, answer))
            }
            else -> error("expected a message to an engine, got $action")
        }
    }

    private fun deliverOrder(message: InFlight, order: EngineOrder, isLost: Boolean): OrderAnswer {
        val isDuplicated = hasFaults && checksFencing && random.nextInt(6) == 0
        val choice = if (isLost) random.nextInt(4) else 4
        if (choice != 0 && !isDuplicated) network -= message
        if (reference.endpoint(message.engine.endpointId)?.owner != message.sender.ownerId) counters.lateOrders++
        return when (choice) {
            0, 1 -> OrderAnswer.NoAnswer
            2 -> OrderAnswer.NotSent
            3 -> OrderAnswer.NoAnswer.also { message.engine.handle(order) }
            else -> message.engine.handle(order)
        }.let { if (it is OrderAnswer.NotSent && isDuplicated) OrderAnswer.NoAnswer else it }
    }

    private fun readLog(vm: FakeVm) {
        if (logMode == LogMode.DOWN) return
        val read = vm.follower.nextRead()
        val from = read.fromOffset.toInt()
        val to = minOf(log.size, from + 1 + random.nextInt(4))
        val records = (from until to).map { LogRecord(it.toLong(), log[it]) }
        val applied = vm.follower.handleBatch(read, LogBatch(records, firstOffset = 0, nextOffset = log.size.toLong()))
        if (to > from && vm.follower.ledger.snapshot() != referenceAt[to]) violated("${vm.vmId} differs at offset $to")
        vm.owners.keys.forEach { endpointId ->
            val ofEndpoint = applied.filter { it.record.endpointId == endpointId }
            feed(vm, endpointId, OwnerEvent.LedgerAdvanced(ofEndpoint, nowMs.takeIf { to == log.size }))
        }
    }

    private fun plan(vm: FakeVm) {
        planOwnership(vm)
        val ledger = vm.follower.ledger
        val artifact = artifacts.random(random)
        if (artifact !in wanted) return unloadUnwanted(ledger, artifact)
        val bytes = if (artifact.adapterId == null) 30L else 10L
        val cost = EvictionCost { _, it -> if (it in wanted) null else 1.0 }
        when (val choice = ledger.chooseEndpoint(artifact, bytes, candidates, evictionCost = cost)) {
            is PlacementChoice.Load ->
                request(ledger, choice.endpointId, OwnerEvent.LoadRequested(artifact, bytes, choice.expectedRevision))
            is PlacementChoice.Evict ->
                request(ledger, choice.endpointId, OwnerEvent.UnloadRequested(choice.victim, choice.expectedRevision))
            is PlacementChoice.EnoughReplicas, is PlacementChoice.NoCapacity -> Unit
        }
    }

    private fun unloadUnwanted(ledger: PlacementLedger, artifact: Artifact) {
        val endpointId = ledger.loadedAt(artifact).firstOrNull() ?: return
        val revision = ledger.replicaSet(artifact.replicaKey).revision
        request(ledger, endpointId, OwnerEvent.UnloadRequested(artifact, revision))
    }

    private fun request(ledger: PlacementLedger, endpointId: EndpointId, event: OwnerEvent) {
        val owner = ledger.endpoint(endpointId)?.owner ?: return
        vms.find { it.vmId == owner.vmId }?.inbox?.add(Incoming(endpointId, event))
    }

    private fun takeOver(vm: FakeVm) {
        val endpointId = vm.owners.keys.random(random)
        feed(vm, endpointId, OwnerEvent.TakeOver(vm.follower.ledger.endpoint(endpointId)?.fence ?: NO_FENCE))
    }

    private fun planOwnership(vm: FakeVm) {
        val listed = if (hasFaults) vms.filter { it == vm || random.nextInt(8) > 0 } else vms
        vm.owners.keys.forEach { endpointId ->
            val entry = vm.follower.ledger.endpoint(endpointId)
            vm.planner.plan(endpointId, entry, listed.map { it.vmId }, nowMs)?.let { feed(vm, endpointId, it) }
        }
    }

    private fun toggleWanted() {
        val artifact = artifacts.random(random)
        if (!wanted.remove(artifact)) wanted += artifact
    }

    private fun checkInvariants() {
        engines.forEach { engine ->
            val entry = reference.endpoint(engine.endpointId)
            engine.violationOf(entry?.reservations.orEmpty().map { it.artifact })?.let { violated(it) }
            if (entry != null && entry.freeBytes < 0) violated("${engine.endpointId} has more decided than fits")
        }
    }

    private fun violated(violation: String): Nothing =
        throw InvariantViolation("$violation at $nowMs ms after ${log.size} records")
}
