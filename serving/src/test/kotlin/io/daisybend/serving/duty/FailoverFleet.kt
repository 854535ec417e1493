package io.daisybend.serving.duty

import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.residency.AcceptedLoad
import io.daisybend.serving.residency.AnnouncedLoad
import io.daisybend.serving.residency.EngineOrder
import io.daisybend.serving.residency.EngineTracker
import io.daisybend.serving.residency.InheritedLoads
import io.daisybend.serving.residency.OrderAnswer
import io.daisybend.serving.residency.StoreLoads
import io.daisybend.serving.residency.WeightSource
import io.daisybend.serving.residency.engineSpec
import io.daisybend.serving.site.ClockReading

internal const val LEASE_GAP_MS = 3_000L
internal const val WINDOW_MS = 5_000L
internal const val LOADS_PER_S = 2.0
private const val STEP_MS = 10L
private const val START_MS = 5_000L
private const val CALL_MS = 30L
private const val REPORT_MS = 250L

/** A load order that arrived at an engine; one that a thawed sender had in hand is excused from rule ONE. */
internal data class ArrivedOrder(
    val atMs: Long,
    val engine: Int,
    val vm: Int,
    val epoch: Long,
    val model: String,
    val isExcused: Boolean,
    val isAccepted: Boolean,
)

/** An engine that refuses orders of lower epochs, other order counts, and orders while it loads. */
internal class FailoverEngine(val index: Int, private val loadMs: Long) {
    val incarnation = Incarnation("engine-$index", 1)
    private val held = HashMap<String, HeldModel>()
    private var orderCount = 0L
    private var epoch = 0L
    private var loading: String? = null
    private var loadedAtMs = 0L

    fun report(nowMs: Long): EngineHoldings {
        loading?.takeIf { nowMs >= loadedAtMs }?.let {
            held[it] = HeldModel(it, emptySet())
            loading = null
        }
        return EngineHoldings(orderCount, held.toMap(), busy = loading != null)
    }

    fun load(model: String, named: Long, orderEpoch: Long, nowMs: Long): Boolean {
        report(nowMs)
        if (orderEpoch < epoch || named != orderCount || loading != null) return false
        epoch = orderEpoch
        orderCount++
        loading = model
        loadedAtMs = nowMs + loadMs
        return true
    }
}

/** A VM with the decisions of the duty and the loads, which orders one load of the next model whenever it may. */
internal class FailoverVm(val index: Int, settings: DutySettings, engines: List<FailoverEngine>) {
    val holder = DutyHolder("vm-$index", "10.0.0.$index", 1)
    val lease = DutyLease(holder, settings, ClockReading(0, 0))
    val inherited = InheritedLoads(WINDOW_MS)
    val storeLoads = StoreLoads(WINDOW_MS)
    val trackers = engines.associateWith { tracker(it) }.toMutableMap()
    var turnEpoch: Long? = null
    var frozenUntilMs = 0L
    var storeCutUntilMs = 0L
    var enginesCutUntilMs = 0L
    var reportsLostUntilMs = 0L
    var wallOffsetMs = 0L
    var isDead = false
    val inherits = ArrayList<AnnouncedLoad>()

    fun tracker(engine: FailoverEngine) =
        EngineTracker(engine.incarnation, EngineHoldings(0, emptyMap()), engineSpec).apply { requireReport() }

    fun read(nowMs: Long) = ClockReading(nowMs, nowMs + wallOffsetMs)

    fun runs(nowMs: Long) = !isDead && nowMs >= frozenUntilMs
}

/**
 * Five VMs, a log of leases and ten engines, in steps of 10 ms; [ranks] gives the VMs' ranks as candidates. The first
 * model without a copy is requested at each [demandIntervalMs]. Without [inheritsLoads] a successor knows no load of its
 * predecessor.
 */
internal class FailoverFleet(
    private val loadMs: Long = 1_500,
    private val inheritsLoads: Boolean = true,
    private val demandIntervalMs: Long = 0,
    private val ranks: (Int) -> Int = { it },
) {
    private val settings = DutySettings(handoverGapMs = LEASE_GAP_MS)
    private val engines = List(10) { FailoverEngine(it, loadMs) }
    val vms = List(5) { FailoverVm(it, settings, engines) }
    val orders = ArrayList<ArrivedOrder>()
    private val log = ArrayList<DutyRecord>()
    private val events = ArrayList<Pair<Long, () -> Unit>>()
    private var unheldMs = 0L
    private var nextDemandAtMs = 0L
    var nowMs = 0L
        private set

    /** The longest time without a VM that may order, after the start of the fleet. */
    var longestUnheldMs = 0L
        private set

    /** The times from a takeover to the first order of the new holder. */
    val firstOrderDelaysMs = ArrayList<Long>()
    private var takenAtMs: Long? = null

    fun runUntil(endMs: Long) {
        while (nowMs < endMs) {
            nowMs += STEP_MS
            val due = events.filter { it.first <= nowMs }
            events.removeAll(due)
            due.forEach { it.second() }
            vms.filter { it.runs(nowMs) }.forEach(::step)
            unheldMs = if (holder() == null) unheldMs + STEP_MS else 0
            if (nowMs > START_MS) longestUnheldMs = maxOf(longestUnheldMs, unheldMs)
        }
    }

    /** Returns the VM that may order now and reaches the engines, or null. */
    fun holder(): FailoverVm? =
        vms.firstOrNull { it.runs(nowMs) && it.lease.mayOrder(it.read(nowMs)) && nowMs >= it.enginesCutUntilMs }

    private fun later(vm: FailoverVm, delayMs: Long, block: () -> Unit) {
        events.add(
            nowMs + delayMs to {
                when {
                    vm.runs(nowMs) -> block()
                    !vm.isDead -> later(vm, vm.frozenUntilMs - nowMs, block)
                }
            },
        )
    }

    private fun step(vm: FailoverVm) {
        val clock = vm.read(nowMs)
        val isCutOff = nowMs < vm.enginesCutUntilMs
        val mustLeaveDuty = isCutOff && vms.any { it.runs(nowMs) && nowMs >= it.enginesCutUntilMs }
        val hasHandedOver = mustLeaveDuty && vm.lease.handOver(clock)
        if (!mustLeaveDuty || vm.lease.mayOrder(clock)) {
            (vm.lease.nextStep(clock, ranks(vm.index)) as? DutyStep.Append)?.let { append(vm, it.atOffset, clock) }
        }
        if (hasHandedOver || (nowMs + vm.index * STEP_MS) % REPORT_MS < STEP_MS) report(vm)
        if (vm.lease.mayOrder(clock) && !isCutOff) order(vm, vm.lease.ownEpoch!!)
    }

    private fun append(vm: FailoverVm, offset: Long, sentAt: ClockReading) {
        vm.lease.onAppendSent(offset, sentAt)
        if (nowMs < vm.storeCutUntilMs) return later(vm, 700) { vm.lease.onCallFailed() }
        val record = DutyRecord(vm.holder, vm.lease.epochFor(offset), offset)
        val isAppended = offset == log.size.toLong() && log.add(record)
        val missed = log.drop(offset.toInt())
        later(vm, CALL_MS) {
            if (isAppended) {
                vm.lease.onAppended(sentAt, offset, record.epoch)
            } else {
                vm.lease.onAppendConflict(missed, offset + missed.size, vm.read(nowMs))
            }
        }
    }

    /** Sends the state of [vm] to the others, which arrives after a while. */
    private fun report(vm: FailoverVm) {
        if (nowMs < vm.reportsLostUntilMs) return
        val record = vm.lease.newestRecord
        val isReleased = vm.lease.mustReportRelease(vm.read(nowMs))
        val renewal = vm.lease.renewalToDelegate(vm.read(nowMs))
        val holdsDuty = vm.lease.mayOrder(vm.read(nowMs))
        val sentAtMs = nowMs
        val loads = if (holdsDuty) vm.trackers.mapValues { it.value.runningLoad } else emptyMap()
        vms.filter { it !== vm }.forEach { peer ->
            later(peer, CALL_MS) {
                record?.let { peer.lease.onPeerRecord(it, peer.read(nowMs)) }
                if (isReleased) peer.lease.onReleased(record!!.epoch, peer.read(nowMs))
                if (renewal != null && peer.lease.mayAppendFor(renewal) && nowMs >= peer.storeCutUntilMs) {
                    if (renewal.offset == log.size.toLong()) log.add(renewal)
                    peer.lease.onPeerRecord(renewal, peer.read(nowMs))
                }
                if (holdsDuty) peer.inherited.onHolderHeard(nowMs)
                loads.forEach { (engine, load) ->
                    val announced = load?.let {
                        val accepted = AcceptedLoad(
                            startedAtMs = nowMs - (sentAtMs - it.startedAtMs),
                            isFromStore = true,
                            concurrentStoreLoads = it.concurrentStoreLoads,
                            storeLoadLimit = vm.storeLoads.limit,
                        )
                        AnnouncedLoad(it.model, nowMs + it.expectedAtMs - sentAtMs, accepted)
                    }
                    peer.inherited.onAnnounced(engine.incarnation, announced, nowMs)
                }
            }
        }
    }

    private fun order(vm: FailoverVm, epoch: Long) {
        if (vm.turnEpoch != epoch) {
            takenAtMs = nowMs
            val isTakenBack = vm.turnEpoch != null && vm.lease.takenBackEpoch == vm.turnEpoch
            if (isTakenBack) vm.trackers.values.forEach { it.requireReport() } else takeOver(vm)
            vm.turnEpoch = epoch
        }
        vm.trackers.forEach { (engine, tracker) ->
            if (tracker.shouldReadReport(nowMs)) tracker.onReport(engine.report(nowMs), nowMs)
        }
        if (nowMs < nextDemandAtMs) return
        val reserved = vm.trackers.values.flatMapTo(HashSet()) { it.reservedModels() }
        val model = generateSequence(0) { it + 1 }.map { "model-$it" }.first { it !in reserved }
        val allowance = vm.storeLoads.allowance(emptyList(), LOADS_PER_S, nowMs)
        val underWay = vm.storeLoads.underWay(vm.trackers.values, nowMs)
        if (allowance.starts == 0 || underWay >= allowance.concurrent) return
        val (engine, tracker) = vm.trackers.entries.firstOrNull { it.value.acceptsOrders(nowMs) } ?: return
        val load = EngineOrder.LoadModel(model, WeightSource.STORE)
        val named = tracker.onSent(load, vm.storeLoads.onSent(vm.trackers.values, nowMs))
        nextDemandAtMs = nowMs + demandIntervalMs
        takenAtMs?.let { firstOrderDelaysMs.add(nowMs - it) }
        takenAtMs = null
        // A frozen sender's order reaches the engine as the sender is thawed.
        later(vm, STEP_MS) {
            val isAccepted = engine.load(model, named, epoch, nowMs)
            val isExcused = nowMs - vm.frozenUntilMs in 0L..300L
            orders.add(ArrivedOrder(nowMs, engine.index, vm.index, epoch, model, isExcused, isAccepted))
            later(vm, STEP_MS) {
                val answer = if (isAccepted) OrderAnswer.Accepted else OrderAnswer.Conflict
                tracker.onAnswer(answer, nowMs, nowMs + loadMs)
            }
        }
    }

    private fun takeOver(vm: FailoverVm) {
        vm.lease.predecessor?.let {
            vm.storeLoads.succeed(vm.inherited.predecessorLoads(it.rightEndedAtMs, loadMs))
        }
        engines.forEach { engine ->
            val tracker = vm.tracker(engine)
            vm.inherited.take(engine.incarnation, nowMs)?.takeIf { inheritsLoads }?.let {
                vm.inherits.add(it)
                tracker.inherit(it, nowMs)
            }
            vm.trackers[engine] = tracker
        }
    }
}
