/*
 * Runs the rate limiters of several VMs in one thread and in virtual time, with fakes for the log and the messages.
 * Every VM has its own clock offset and drift; events for a paused VM are deferred until it resumes.
 */
package io.daisybend.rates

import io.daisybend.kernel.LogStream
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** The part of a limiter that the harness uses; the naive limiters implement it too. */
internal interface TestedLimiter {
    val readFromOffset: Long

    fun handle(event: RateEvent, nowMs: Long): List<RateAction>
}

internal class ProductionLimiter(self: HolderId, settings: RateSettings) : TestedLimiter {
    val limiter = RateLimiter(self, LogStream("seats-test"), settings)

    override val readFromOffset: Long get() = limiter.readFromOffset

    override fun handle(event: RateEvent, nowMs: Long): List<RateAction> = limiter.handle(event, nowMs)
}

/** The probabilities and times of failures; by default only messages are delayed, by 1 to 2 ms. */
internal data class Faults(
    val lossChance: Double = 0.0,
    val duplicateChance: Double = 0.0,
    val longDelayChance: Double = 0.0,
    val longDelayMs: Long = 0,
    val maxDelayMs: Long = 2,
    val maxClockOffsetMs: Long = 0,
    val maxDriftPerMille: Double = 0.0,
)

internal class RateHarness(
    val vmCount: Int,
    private val random: Random,
    private val faults: Faults,
    private val periods: List<LimitsPeriod>,
    private val limitsDelayMs: Long = 0,
    private val tickMs: Long = 50,
    private val pollMs: Long = 200,
    private val keptRecords: Int = Int.MAX_VALUE,
    private val createLimiter: (HolderId) -> TestedLimiter,
) {
    inner class Vm(val index: Int) {
        val vmId = VmId("vm-$index")
        var incarnation = 0L
        var isAlive = false
        var isPaused = false
        var isCutOffFromLog = false
        lateinit var limiter: TestedLimiter
        var clockOffsetMs = 0L
        var drift = 1.0
        val deferred = ArrayDeque<() -> Unit>()

        fun localMs(): Long = clockOffsetMs + (nowMs * drift).toLong()
    }

    private class ScheduledTask(val atMs: Long, val order: Long, val run: () -> Unit)

    private class OfferedRequest(val teamId: TeamId, val tokens: Long, val usedTokens: Long, val holdMs: Long)

    val teamId = TeamId("team")
    val vms = List(vmCount) { Vm(it) }
    val checker = OvershootChecker(periods, limitsDelayMs)
    var nowMs = 0L
        private set
    var isLogUp = true
    var grantDelayMs = 0L
    val partitionedPairs = HashSet<Set<Int>>()
    var refusedRequests = 0
        private set
    var admittedRequests = 0
        private set
    val refusedIds = HashSet<RequestId>()

    private val queue = PriorityQueue<ScheduledTask>(compareBy<ScheduledTask> { it.atMs }.thenBy { it.order })
    private var order = 0L
    private var lastIncarnation = 0L
    private val log = ArrayList<ShardRecord>()
    private val offered = HashMap<RequestId, OfferedRequest>()
    private var nextRequestNumber = 0

    fun start(vm: Vm) {
        vm.incarnation = ++lastIncarnation
        vm.isAlive = true
        vm.isPaused = false
        vm.deferred.clear()
        vm.clockOffsetMs = random.nextLong(faults.maxClockOffsetMs + 1)
        vm.drift = 1 + (random.nextDouble() * 2 - 1) * faults.maxDriftPerMille / 1000
        vm.limiter = createLimiter(HolderId(vm.vmId, vm.incarnation))
        deliver(vm) { RateEvent.LiveVmsChanged(vms.filter { it.isAlive }.map { it.vmId }) }
        val current = periods.last { it.fromMs <= nowMs }.limits
        deliver(vm) { RateEvent.LimitsChanged(mapOf(teamId to current)) }
        periods.filter { it.fromMs > nowMs }.forEach { period ->
            schedule(period.fromMs - nowMs + random.nextLong(limitsDelayMs + 1)) {
                deliverIfRunning(vm, vm.incarnation) { RateEvent.LimitsChanged(mapOf(teamId to period.limits)) }
            }
        }
        repeatTick(vm, vm.incarnation)
        repeatPoll(vm, vm.incarnation)
    }

    fun kill(vm: Vm) {
        vm.isAlive = false
    }

    fun pause(vm: Vm) {
        vm.isPaused = true
    }

    fun resume(vm: Vm) {
        vm.isPaused = false
        while (vm.deferred.isNotEmpty() && !vm.isPaused) vm.deferred.removeFirst()()
    }

    fun announceLiveVms() {
        val live = vms.filter { it.isAlive }.map { it.vmId }
        vms.filter { it.isAlive }.forEach { vm -> deliver(vm) { RateEvent.LiveVmsChanged(live) } }
    }

    /** Offers a request to [vm] and returns its id. */
    fun offer(vm: Vm, tokens: Long, usedTokens: Long, holdMs: Long): RequestId {
        val requestId = RequestId("r${nextRequestNumber++}")
        offered[requestId] = OfferedRequest(teamId, tokens, usedTokens, holdMs)
        deliver(vm) { RateEvent.Reserve(requestId, teamId, tokens) }
        return requestId
    }

    fun drain(vm: Vm) = deliver(vm) { RateEvent.Drain }

    fun schedule(delayMs: Long, run: () -> Unit) {
        queue += ScheduledTask(nowMs + delayMs, order++, run)
    }

    fun runUntil(endMs: Long) {
        while (queue.isNotEmpty() && queue.peek().atMs <= endMs) {
            val task = queue.poll()
            nowMs = task.atMs
            task.run()
        }
        nowMs = endMs
    }

    private fun repeatTick(vm: Vm, incarnation: Long) {
        if (!vm.isAlive || vm.incarnation != incarnation) return
        deliver(vm) { RateEvent.Tick }
        schedule(tickMs) { repeatTick(vm, incarnation) }
    }

    private fun repeatPoll(vm: Vm, incarnation: Long) {
        if (!vm.isAlive || vm.incarnation != incarnation) return
        if (isLogUp && !vm.isCutOffFromLog && !vm.isPaused) {
            val event = readLog(vm.limiter.readFromOffset)
            schedule(delayMs()) { deliverIfRunning(vm, incarnation) { event } }
        }
        schedule(pollMs) { repeatPoll(vm, incarnation) }
    }

    private fun readLog(fromOffset: Long): RateEvent.LogRead {
        val firstOffset = maxOf(0, log.size - keptRecords)
        val from = maxOf(fromOffset.toInt(), firstOffset)
        val records = (from until minOf(log.size, from + READ_BATCH)).map { OffsetRecord(it.toLong(), log[it]) }
        return RateEvent.LogRead(records, firstOffset.toLong(), log.size.toLong())
    }

    private fun deliverIfRunning(vm: Vm, incarnation: Long, event: () -> RateEvent) {
        if (vm.isAlive && vm.incarnation == incarnation) deliver(vm, event)
    }

    private fun deliver(vm: Vm, event: () -> RateEvent) {
        if (!vm.isAlive) return
        if (vm.isPaused) {
            vm.deferred += { deliver(vm, event) }
            return
        }
        vm.limiter.handle(event(), vm.localMs()).forEach { perform(vm, it) }
    }

    private fun perform(vm: Vm, action: RateAction) = when (action) {
        is RateAction.Admitted -> admit(vm, action.requestId)
        is RateAction.Refused -> {
            refusedRequests++
            refusedIds += action.requestId
            Unit
        }
        is RateAction.Send -> send(vm, action)
        is RateAction.Append -> append(vm, action.record)
    }

    private fun admit(vm: Vm, requestId: RequestId) {
        val request = offered.getValue(requestId)
        admittedRequests++
        checker.admit(requestId, request.tokens, nowMs)
        val incarnation = vm.incarnation
        schedule(request.holdMs) {
            if (vm.isAlive && vm.incarnation == incarnation) {
                checker.settle(requestId, request.usedTokens)
                deliver(vm) { RateEvent.Settle(requestId, request.teamId, request.usedTokens) }
            }
        }
    }

    private fun send(from: Vm, action: RateAction.Send) {
        val to = vms.first { it.vmId == action.toVmId }
        if (setOf(from.index, to.index) in partitionedPairs || random.nextDouble() < faults.lossChance) return
        val extraDelayMs = if (action.message is RateMessage.Grant) grantDelayMs else 0
        repeat(copies()) {
            schedule(extraDelayMs + delayMs()) { deliver(to) { RateEvent.MessageReceived(action.message) } }
        }
    }

    private fun append(vm: Vm, record: ShardRecord) {
        if (!isLogUp || vm.isCutOffFromLog || random.nextDouble() < faults.lossChance) return
        repeat(copies()) { schedule(delayMs()) { log += record } }
    }

    private fun copies() = if (random.nextDouble() < faults.duplicateChance) 2 else 1

    private fun delayMs(): Long = when {
        random.nextDouble() < faults.longDelayChance -> random.nextLong(faults.longDelayMs + 1)
        else -> 1 + random.nextLong(faults.maxDelayMs)
    }

    private companion object {
        const val READ_BATCH = 100
    }
}
