package io.daisybend.serving.duty

import io.daisybend.serving.site.ClockReading
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val STEP_MS = 20L
private const val HANDOVER_GAP_MS = 3_000L

private data class SentOrder(val atMs: Long, val vm: Int, val epoch: Long)

private class PendingAppend(val vm: Int, val processNumber: Int, val record: DutyRecord, val sentAt: ClockReading)

/**
 * A log that accepts an append only at its end and may come back from an older copy; [DutySchedule] delays and loses
 * calls, and loses responses.
 */
private class SimulatedLog {
    private class Stored(val record: DutyRecord, val atMs: Long)

    private val stored = ArrayList<Stored>()
    var era = 1L
        private set
    val records: List<DutyRecord> get() = stored.map { it.record }
    val end: Long get() = stored.size.toLong()

    fun append(record: DutyRecord, nowMs: Long): Boolean {
        if (record.offset != end) return false
        stored.add(Stored(record, nowMs))
        return true
    }

    fun restoreCopyOf(copiedAtMs: Long) {
        stored.removeIf { it.atMs > copiedAtMs }
        era++
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
    var enginesCutUntilMs = 0L
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
private class DutySchedule(
    private val random: Random,
    settings: DutySettings,
    private val restoresStore: Boolean = false,
    /** A naive lease does not know that the store has eras. */
    private val knowsEras: Boolean = true,
    /** Whether VMs are cut off from the engines, and hand over. */
    private val cutsEngines: Boolean = false,
) {
    private val vms = List(random.nextInt(2, 6)) { SimulatedVm(it, settings, 0) }
    private val log = SimulatedLog()
    private val events = ArrayList<Pair<Long, () -> Unit>>()
    val orders = ArrayList<SentOrder>()
    var handovers = 0
        private set
    private var nowMs = 0L

    fun simulate(durationMs: Long): List<SentOrder> {
        vms.forEach { it.start(0) }
        while (nowMs < durationMs) {
            nowMs += STEP_MS
            // A holder that is hurt all the time has never held the duty long enough to hand it over.
            if (random.nextInt(if (cutsEngines) 200 else 25) == 0) injectFault(vms.random(random))
            if (cutsEngines && random.nextInt(50) == 0) {
                vms.random(random).enginesCutUntilMs = nowMs + random.nextLong(200, 9_000)
            }
            if (restoresStore && random.nextInt(300) == 0) restoreStore()
            val due = events.filter { it.first <= nowMs }
            events.removeAll(due)
            due.forEach { it.second() }
            vms.filter { it.stalledUntilMs <= nowMs }.forEach(::step)
            if (nowMs % 250 < STEP_MS) exchangeReports()
        }
        return orders
    }

    /** The store is away for a moment and comes back from a copy some seconds old; not all VMs learn it at once. */
    private fun restoreStore() {
        val backAtMs = nowMs + random.nextLong(50, 3_000)
        vms.forEach { it.storeCutUntilMs = maxOf(it.storeCutUntilMs, backAtMs) }
        events.add(backAtMs to { log.restoreCopyOf(nowMs - random.nextLong(500, 12_000)) })
    }

    private fun learnEra(vm: SimulatedVm, era: Long) {
        if (knowsEras) vm.lease.onStoreEra(era, vm.read(nowMs))
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
        if (vm.storeCutUntilMs <= nowMs && random.nextInt(20) == 0) learnEra(vm, log.era)
        val isCutOff = vm.enginesCutUntilMs > nowMs
        val mustLeaveDuty = isCutOff && vms.any { it.enginesCutUntilMs <= nowMs }
        if (mustLeaveDuty && vm.lease.handOver(clock)) handovers++
        if (vm.lease.mayOrder(clock) && !isCutOff && random.nextInt(4) == 0) {
            orders.add(SentOrder(nowMs, vm.index, vm.lease.ownEpoch!!))
        }
        if (mustLeaveDuty && !vm.lease.mayOrder(clock)) return
        when (val next = vm.lease.nextStep(clock, rank = vm.index)) {
            DutyStep.Wait -> Unit
            DutyStep.ReadLog -> readLog(vm)
            is DutyStep.Append -> {
                vm.lease.onAppendSent(next.atOffset, clock)
                val record = DutyRecord(vm.holder, vm.lease.epochFor(next.atOffset), next.atOffset)
                send(PendingAppend(vm.index, vm.processNumber, record, clock))
            }
        }
    }

    private fun readLog(vm: SimulatedVm) {
        val sentAtMs = nowMs
        val sentEra = log.era
        vm.lease.onReadSent(vm.read(nowMs))
        if (vm.storeCutUntilMs > nowMs || random.nextInt(8) == 0) {
            return respond(vm, sentAtMs + 700) { vm.lease.onCallFailed() }
        }
        events.add(
            nowMs + random.nextLong(2, 60) to {
                val records = log.records
                val era = log.era
                respond(vm, nowMs + 2) {
                    learnEra(vm, era)
                    vm.lease.onLogRead(records, records.size.toLong(), sentEra, vm.read(nowMs))
                }
            },
        )
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
            respond(vm, nowMs + 700) { vm.lease.onCallFailed() }
            return
        }
        events.add(
            takesEffectAtMs to {
                val isAppended = log.append(append.record, nowMs)
                val records = log.records
                val era = log.era
                if (!isResponseLost && takesEffectAtMs < append.sentAt.steadyMs + vm.suspendedMs + 700) {
                    respond(vm, append.processNumber, nowMs + 2) { onResponse(append, isAppended, records, era) }
                }
            },
        )
        if (isResponseLost || takesEffectAtMs > nowMs + 690) respond(vm, nowMs + 700) { vm.lease.onCallFailed() }
    }

    private fun onResponse(append: PendingAppend, isAppended: Boolean, records: List<DutyRecord>, era: Long) {
        val vm = vms[append.vm]
        learnEra(vm, era)
        if (isAppended) {
            vm.lease.onAppended(append.sentAt, append.record.offset, append.record.epoch)
        } else {
            val missed = records.drop(append.record.offset.toInt())
            vm.lease.onAppendConflict(missed, records.size.toLong(), vm.read(nowMs))
        }
    }

    /** Delivers a response to the VM that sent the call once it is running, if its process is still the same. */
    private fun respond(vm: SimulatedVm, atMs: Long, deliver: () -> Unit) =
        respond(vm, vm.processNumber, atMs, deliver)

    private fun respond(vm: SimulatedVm, processNumber: Int, atMs: Long, deliver: () -> Unit) {
        events.add(
            atMs to {
                if (vm.processNumber == processNumber) {
                    if (vm.stalledUntilMs > nowMs) respond(vm, processNumber, vm.stalledUntilMs, deliver) else deliver()
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
                val isAppended = log.append(renewal, nowMs)
                if (peer.processNumber == processNumber && peer.stalledUntilMs <= nowMs) {
                    learnEra(peer, log.era)
                    if (isAppended) peer.lease.onPeerRecord(renewal, peer.read(nowMs))
                }
            },
        )
    }

    /** Tells [to] after a while that the holder of [record] has given up the duty. */
    private fun reportRelease(record: DutyRecord, to: SimulatedVm) =
        respond(to, nowMs + random.nextLong(0, 1_500)) {
            to.lease.onPeerRecord(record, to.read(nowMs))
            to.lease.onReleased(record.epoch, to.read(nowMs))
        }

    private fun exchangeReports() {
        for (from in vms) {
            for (to in vms) {
                val isCut =
                    maxOf(from.peersCutUntilMs, to.peersCutUntilMs, from.stalledUntilMs, to.stalledUntilMs) > nowMs
                if (from !== to && !isCut && random.nextInt(5) > 0) {
                    from.lease.newestRecord?.let { to.lease.onPeerRecord(it, to.read(nowMs)) }
                    if (from.lease.mustReportRelease(from.read(nowMs))) reportRelease(from.lease.newestRecord!!, to)
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

    fun countViolationsWithRestorations(seeds: Int, knowsEras: Boolean) = (0 until seeds).count { seed ->
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        violatesHandover(DutySchedule(Random(seed), settings, restoresStore = true, knowsEras).simulate(60_000))
    }

    test("the handover gap holds and epochs increase in 3,000 runs in which the store comes back from older copies") {
        countViolationsWithRestorations(seeds = 3_000, knowsEras = true) shouldBe 0
    }

    test("the same check detects a naive lease that does not know that the store has eras") {
        countViolationsWithRestorations(seeds = 300, knowsEras = false) shouldBeGreaterThan 0
    }

    fun violationsWithHandovers(settings: DutySettings, seeds: Int, restoresStore: Boolean): Pair<Int, Int> {
        val schedules = List(seeds) {
            DutySchedule(Random(it), settings, restoresStore, knowsEras = true, cutsEngines = true)
        }
        val violations = schedules.count { violatesHandover(it.simulate(60_000)) }
        return violations to schedules.sumOf { it.handovers }
    }

    test("the handover gap holds in 3,000 runs in which holders are cut off from the engines and take the duty back") {
        listOf(false, true).forEach { restoresStore ->
            val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
            val (violations, handovers) = violationsWithHandovers(settings, seeds = 1_500, restoresStore)
            violations shouldBe 0
            println("handovers, the store comes back from older copies ($restoresStore): $handovers")
            handovers shouldBeGreaterThan 1_000
        }
    }

    test("the same check detects candidates that don't wait after the news of a release") {
        val naive = DutySettings(handoverGapMs = 0, clockMarginMs = 0)
        violationsWithHandovers(naive, seeds = 50, restoresStore = false).first shouldBeGreaterThan 0
    }

    test("the holder goes on as soon as the store is back from an older copy, and a VM that just watched waits") {
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        val own = DutyHolder("a", "10.0.0.1", 1)
        fun at(nowMs: Long) = ClockReading(nowMs, nowMs)
        val held = DutyRecord(own, DutyRecord.epochAt(era = 1, offset = 58), offset = 58)
        val old = DutyRecord(DutyHolder("c", "10.0.0.3", 1), DutyRecord.epochAt(era = 1, offset = 3), offset = 40)
        fun leaseAfterRestoration(vm: DutyHolder) = DutyLease(vm, settings, at(0)).apply {
            onStoreEra(1, at(0))
            if (vm == own) {
                onAppendSent(held.offset, at(15_000))
                onAppended(at(15_000), held.offset, held.epoch)
            } else {
                onPeerRecord(held, at(15_000))
            }
            onStoreEra(2, at(17_000))
            nextStep(at(17_000), rank = 0) shouldBe DutyStep.ReadLog
            onReadSent(at(17_000))
            onLogRead(listOf(old), end = 41, readEra = 2, at(17_010))
        }
        val holder = leaseAfterRestoration(own)
        holder.nextStep(at(17_010), rank = 0) shouldBe DutyStep.Append(41)
        holder.epochFor(41) shouldBe DutyRecord.epochAt(era = 2, offset = 41)
        val watcher = leaseAfterRestoration(DutyHolder("b", "10.0.0.2", 1))
        watcher.nextStep(at(21_900), rank = 0) shouldBe DutyStep.Wait
        watcher.nextStep(at(22_100), rank = 0) shouldBe DutyStep.Append(41)
    }

    test("epochs of the first era are those of builds that know no eras, and epochs of later eras are higher") {
        DutyRecord.epochAt(FIRST_STORE_ERA, offset = 7) shouldBe 8
        val holder = DutyHolder("a", "10.0.0.1", 1)
        DutyRecord(holder, epoch = 8, offset = 7).era shouldBe FIRST_STORE_ERA
        val next = DutyRecord(holder, DutyRecord.epochAt(FIRST_STORE_ERA + 1, offset = 0), offset = 0)
        next.era shouldBe FIRST_STORE_ERA + 1
        next.epoch shouldBeGreaterThan DutyRecord.epochAt(FIRST_STORE_ERA, offset = 4_000_000_000)
    }

    test("an append of an earlier era that succeeds in a newer one gives no right to order") {
        val lease = DutyLease(DutyHolder("a", "10.0.0.1", 1), DutySettings(), ClockReading(0, 0))
        lease.onStoreEra(1, ClockReading(0, 0))
        lease.onAppendSent(45, ClockReading(1_000, 1_000))
        val epoch = lease.epochFor(45)
        lease.onStoreEra(2, ClockReading(1_010, 1_010))
        lease.onAppended(ClockReading(1_000, 1_000), offset = 45, epoch) shouldBe false
        lease.mayOrder(ClockReading(1_010, 1_010)) shouldBe false
    }

    test("a holder whose appends fail asks its peers no more often than the renewal interval") {
        val settings = DutySettings(handoverGapMs = HANDOVER_GAP_MS)
        val lease = DutyLease(DutyHolder("a", "10.0.0.1", 1), settings, ClockReading(0, 0))
        lease.onAppendSent(0, ClockReading(1_000, 1_000))
        lease.onAppended(ClockReading(1_000, 1_000), offset = 0, epoch = 1)
        lease.onAppendSent(1, ClockReading(1_500, 1_500))
        lease.onCallFailed()
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
            lease.onAppendSent(0, start)
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
            lease.onAppendSent(8, ClockReading(dueMs, dueMs))
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
                lease.onAppendSent(step.atOffset, clock)
                lease.onAppended(clock, step.atOffset, lease.epochFor(step.atOffset))
            }
            if (lease.mayOrder(clock)) heldMs += STEP_MS
        }
        (heldMs > 19_000) shouldBe true
    }
})
