package io.daisybend.serving.duty

import io.daisybend.serving.site.ClockReading
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val STEP_MS = 20L
private const val HANDOVER_GAP_MS = 3_000L

private data class SentOrder(val atMs: Long, val vm: Int, val epoch: Long)

private class PendingAppend(val vm: Int, val processNumber: Int, val record: DutyRecord, val sentAt: ClockReading)

/** A log that accepts an append only at its end; [DutySchedule] delays and loses calls, and loses responses. */
private class SimulatedLog {
    val records = ArrayList<DutyRecord>()

    fun append(record: DutyRecord): Boolean {
        if (record.offset != records.size.toLong()) return false
        records.add(record)
        return true
    }
}

/** A VM whose wall clock may jump, and which may restart, stall, be suspended or lose its connections. */
private class SimulatedVm(val index: Int, val settings: DutySettings, var startedAtMs: Long) {
    var processNumber = 0
    var wallOffsetMs = 0L
    var suspendedMs = 0L
    var stalledUntilMs = 0L
    var storeCutUntilMs = 0L
    var peersCutUntilMs = 0L
    lateinit var lease: DutyLease

    fun start(nowMs: Long) {
        processNumber++
        startedAtMs = nowMs
        lease = DutyLease(holder, settings, read(nowMs))
    }

    val holder get() = DutyHolder("vm-$index", "10.0.0.$index", processNumber.toLong())

    fun read(nowMs: Long) = ClockReading(nowMs - suspendedMs, nowMs + wallOffsetMs)
}

/**
 * Simulates VMs that take and hold the lease in one random schedule. Faults: restarts, stalls, suspensions, forward
 * jumps of the wall clock, cuts from the log or from the peers, lost and late appends, lost responses and lost reports.
 */
private class DutySchedule(private val random: Random, settings: DutySettings) {
    private val vms = List(random.nextInt(2, 6)) { SimulatedVm(it, settings, 0) }
    private val log = SimulatedLog()
    private val events = ArrayList<Pair<Long, () -> Unit>>()
    val orders = ArrayList<SentOrder>()
    private var nowMs = 0L

    fun simulate(durationMs: Long): List<SentOrder> {
        vms.forEach { it.start(0) }
        while (nowMs < durationMs) {
            nowMs += STEP_MS
            if (random.nextInt(25) == 0) injectFault(vms.random(random))
            val due = events.filter { it.first <= nowMs }
            events.removeAll(due)
            due.forEach { it.second() }
            vms.filter { it.stalledUntilMs <= nowMs }.forEach(::step)
            if (nowMs % 250 < STEP_MS) exchangeReports()
        }
        return orders
    }

    private fun injectFault(vm: SimulatedVm) {
        val durationMs = random.nextLong(200, 9_000)
        when (random.nextInt(7)) {
            0 -> vm.start(nowMs)
            1 -> vm.stalledUntilMs = nowMs + durationMs
            2 -> {
                vm.stalledUntilMs = nowMs + durationMs
                vm.suspendedMs += durationMs
            }
            3 -> vm.storeCutUntilMs = nowMs + durationMs
            4 -> vm.peersCutUntilMs = nowMs + durationMs
            5 -> vm.wallOffsetMs += random.nextLong(0, 3_000)
            else -> vms.forEach { if (random.nextBoolean()) it.storeCutUntilMs = nowMs + durationMs }
        }
    }

    private fun step(vm: SimulatedVm) {
        val clock = vm.read(nowMs)
        if (vm.lease.mayOrder(clock) &&
            random.nextInt(4) == 0
        ) {
            orders.add(SentOrder(nowMs, vm.index, vm.lease.ownEpoch!!))
        }
        val next = vm.lease.nextStep(clock, rank = vm.index)
        if (next !is DutyStep.Append) return
        vm.lease.onAppendSent(clock)
        val epoch = vm.lease.ownEpoch ?: (next.atOffset + 1)
        send(PendingAppend(vm.index, vm.processNumber, DutyRecord(vm.holder, epoch, next.atOffset), clock))
    }

    private fun send(append: PendingAppend) {
        val vm = vms[append.vm]
        val isCut = vm.storeCutUntilMs > nowMs
        val takesEffectAtMs = when {
            isCut && random.nextInt(3) > 0 -> null
            random.nextInt(8) == 0 -> nowMs + random.nextLong(1_000, 6_000)
            else -> nowMs + random.nextLong(2, 120)
        }
        val isResponseLost = isCut || random.nextInt(8) == 0
        if (takesEffectAtMs == null) {
            respond(append, nowMs + 700) { vm.lease.onAppendFailed() }
            return
        }
        events.add(
            takesEffectAtMs to {
                val isAppended = log.append(append.record)
                val end = log.records.size.toLong()
                if (!isResponseLost && takesEffectAtMs < append.sentAt.steadyMs + vm.suspendedMs + 700) {
                    respond(append, nowMs + 2) { onResponse(append, isAppended, end) }
                }
            },
        )
        if (isResponseLost || takesEffectAtMs > nowMs + 690) respond(append, nowMs + 700) { vm.lease.onAppendFailed() }
    }

    private fun onResponse(append: PendingAppend, isAppended: Boolean, end: Long) {
        val vm = vms[append.vm]
        if (isAppended) {
            vm.lease.onAppended(append.sentAt, append.record.offset, append.record.epoch)
        } else {
            vm.lease.onAppendConflict(
                log.records.subList(append.record.offset.toInt(), end.toInt()).toList(),
                end,
                vm.read(nowMs),
            )
        }
    }

    /** Delivers a response to the VM that sent the call once it is running, if its process is still the same. */
    private fun respond(append: PendingAppend, atMs: Long, deliver: () -> Unit) {
        val vm = vms[append.vm]
        events.add(
            atMs to {
                if (vm.processNumber == append.processNumber) {
                    if (vm.stalledUntilMs > nowMs) respond(append, vm.stalledUntilMs, deliver) else deliver()
                }
            },
        )
    }

    /** Lets [peer], when it can reach the store, append the renewal that [holder] requests. */
    private fun appendRenewal(holder: SimulatedVm, peer: SimulatedVm) {
        val renewal = holder.lease.renewalToDelegate(holder.read(nowMs)) ?: return
        if (!peer.lease.mayAppendFor(renewal) || peer.storeCutUntilMs > nowMs || random.nextInt(3) == 0) return
        val appendsAtMs = nowMs + if (random.nextInt(6) == 0) random.nextLong(500, 6_000) else random.nextLong(2, 100)
        val processNumber = peer.processNumber
        events.add(
            appendsAtMs to {
                val isAppended = log.append(renewal)
                if (isAppended &&
                    peer.processNumber == processNumber &&
                    peer.stalledUntilMs <= nowMs
                ) {
                    peer.lease.onPeerRecord(renewal, peer.read(nowMs))
                }
            },
        )
    }

    private fun exchangeReports() {
        for (from in vms) {
            for (to in vms) {
                val isCut =
                    maxOf(from.peersCutUntilMs, to.peersCutUntilMs, from.stalledUntilMs, to.stalledUntilMs) > nowMs
                if (from !== to && !isCut && random.nextInt(5) > 0) {
                    from.lease.newestRecord?.let { to.lease.onPeerRecord(it, to.read(nowMs)) }
                    appendRenewal(holder = from, peer = to)
                }
            }
        }
    }
}

/** Returns whether two VMs ordered within the handover gap, or an order followed one of a higher epoch. */
private fun violatesHandover(orders: List<SentOrder>): Boolean = orders.zipWithNext().any { (before, after) ->
    (before.vm != after.vm && after.atMs - before.atMs < HANDOVER_GAP_MS) || after.epoch < before.epoch
}

class DutyLeaseTest : FunSpec({
    fun countViolations(settings: DutySettings, seeds: Int) = (0 until seeds).count { seed ->
        violatesHandover(DutySchedule(Random(seed), settings).simulate(60_000))
    }

    test("the handover gap holds in 3,000 runs of restarts, stalls, suspends, clock jumps, cuts, lost or late calls") {
        countViolations(DutySettings(handoverGapMs = HANDOVER_GAP_MS), seeds = 3_000) shouldBe 0
    }

    test("the same check detects a naive lease that a successor takes as soon as it may have expired") {
        countViolations(DutySettings(handoverGapMs = 0, clockMarginMs = 0), seeds = 50) shouldBeGreaterThan 0
    }

    test("a holder whose appends fail asks its peers no more often than the renewal interval") {
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        val lease = DutyLease(DutyHolder("a", "10.0.0.1", 1), settings, ClockReading(0, 0))
        lease.onAppendSent(ClockReading(1_000, 1_000))
        lease.onAppended(ClockReading(1_000, 1_000), offset = 0, epoch = 1)
        lease.onAppendSent(ClockReading(1_500, 1_500))
        lease.onAppendFailed()
        var requestCount = 0
        for (nowMs in 1_500L..11_500L step 50) {
            val record = lease.renewalToDelegate(ClockReading(nowMs, nowMs)) ?: continue
            requestCount++
            lease.onPeerRecord(record, ClockReading(nowMs, nowMs))
            lease.mayOrder(ClockReading(nowMs + 400, nowMs + 400)) shouldBe true
        }
        (requestCount in 15..21) shouldBe true
    }

    test("the next process on the VM of the holder takes over at once, and a process on another VM waits") {
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        val start = ClockReading(0, 0)
        val previous = DutyRecord(DutyHolder("a", "10.0.0.1", 1), epoch = 4, offset = 7)
        val now = ClockReading(1_000, 1_000)
        fun stepOf(own: DutyHolder): DutyStep {
            val lease = DutyLease(own, settings, start)
            lease.onAppendSent(start)
            lease.onAppendConflict(listOf(previous), end = 8, ClockReading(400, 400))
            return lease.nextStep(now, rank = 0)
        }
        stepOf(DutyHolder("a", "10.0.0.1", 2)) shouldBe DutyStep.Append(8)
        stepOf(DutyHolder("b", "10.0.0.2", 2)) shouldBe DutyStep.Wait
        stepOf(DutyHolder("a", "10.0.0.9", 2)) shouldBe DutyStep.Wait
    }

    test("a lease that is checked when its next step is due appends at the same time as one that is always checked") {
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        val other = DutyRecord(DutyHolder("a", "10.0.0.1", 1), epoch = 4, offset = 7)
        listOf(0, 3).forEach { rank ->
            val lease = DutyLease(DutyHolder("b", "10.0.0.2", 1), settings, ClockReading(0, 0))
            lease.onPeerRecord(other, ClockReading(100, 100))
            val dueMs = 300 + lease.nextStepInMs(ClockReading(300, 300), rank)
            lease.nextStep(ClockReading(dueMs - 1, dueMs - 1), rank) shouldBe DutyStep.Wait
            lease.nextStep(ClockReading(dueMs, dueMs), rank) shouldBe DutyStep.Append(8)
            lease.onAppendSent(ClockReading(dueMs, dueMs))
            lease.onAppended(ClockReading(dueMs, dueMs), offset = 8, epoch = 9)
            val renewalMs = dueMs + lease.nextStepInMs(ClockReading(dueMs, dueMs), rank)
            lease.nextStep(ClockReading(renewalMs - 1, renewalMs - 1), rank) shouldBe DutyStep.Wait
            lease.nextStep(ClockReading(renewalMs, renewalMs), rank) shouldBe DutyStep.Append(9)
        }
    }

    test("a VM without disturbances holds the lease most of the time") {
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        val lease = DutyLease(DutyHolder("a", "10.0.0.1", 1), settings, ClockReading(0, 0))
        var heldMs = 0L
        for (nowMs in 0L until 20_000L step STEP_MS) {
            val clock = ClockReading(nowMs, nowMs)
            val step = lease.nextStep(clock, rank = 0)
            if (step is DutyStep.Append) {
                lease.onAppendSent(clock)
                lease.onAppended(clock, step.atOffset, lease.ownEpoch ?: (step.atOffset + 1))
            }
            if (lease.mayOrder(clock)) heldMs += STEP_MS
        }
        (heldMs > 19_000) shouldBe true
    }
})
