/*
 * VMs as objects that share the rate of one team by reports, without a network: the contact of [PeerTable], the times
 * of [ReportSchedule] and the messages of the entry VM, with delays, losses, restarts, partitions and frozen VMs.
 */
package io.daisybend.entry.peers

import io.daisybend.platform.SocketAddress
import io.daisybend.serving.rates.BucketUse
import io.daisybend.serving.rates.FleetContact
import io.daisybend.serving.rates.RateDecision
import io.daisybend.serving.rates.TeamRateLimiter
import io.daisybend.serving.site.Team
import java.util.PriorityQueue
import kotlin.random.Random

private const val STEP_MS = 10L
private const val WINDOW_MS = 8_000L

/** A fleet under one team's load and the disturbances that the tests set. */
internal class LimiterFleet(
    seed: Int,
    private val vmCount: Int = 75,
    val rate: Double = 564_731.0,
    val burst: Double = 564_731.0,
    private val restartEveryMs: Long = 0,
    private val lossPercent: Int = 5,
    private val loadFactor: (Long) -> Double = { 0.9 },
    private val canReach: (Int, Int, Long) -> Boolean = { _, _, _ -> true },
    private val isFrozen: (Int, Long) -> Boolean = { _, _ -> false },
    private val restartsAll: (Long) -> Boolean = { false },
    private val adjustContact: (FleetContact) -> FleetContact = { it },
) {
    private val random = Random(seed)

    private class Message(val atMs: Long, val order: Long, val to: Int, val report: PeerReport)

    private inner class Vm(val index: Int) {
        var startedAtMs = 0L
        var awayUntilMs = 0L
        var sequence = 0L
        var reportedAtMs = 0L
        var wantsReport = false
        val frozenInbox = ArrayList<Message>()
        var peers = PeerTable("vm-$index", schedule)
        var limiter = newLimiter()

        private fun newLimiter() =
            TeamRateLimiter(Random(random.nextLong()), requestEarlyReport = { wantsReport = true })
                .also { it.configure(listOf(team), nowMs) }

        fun start() {
            startedAtMs = nowMs
            reportedAtMs = nowMs - random.nextLong(schedule.intervalMs(vmCount))
            peers = PeerTable("vm-$index", schedule)
            (0 until vmCount).forEach { peers.discover("vm-$it", SocketAddress("127.0.0.1", it + 1), nowMs) }
            limiter = newLimiter()
            limiter.setContact(adjustContact(peers.contact(nowMs)), nowMs)
        }
    }

    private var owedTokens = 0.0
    private val schedule = ReportSchedule(linkMbps = 70.0)
    private val team = Team("red", emptyList(), null, true, 1, rate, burst)
    private var nowMs = 0L
    private val messages = PriorityQueue<Message>(compareBy({ it.atMs }, { it.order }))
    private val vms = List(vmCount) { Vm(it) }
    private var sentCount = 0L

    /** Admitted requests as time and cost. */
    private val admitted = ArrayList<Pair<Long, Double>>()

    /** Level of a bucket that learns of every request at once, the truth that the copies estimate. */
    private var trueLevel = burst
    var requestCount = 0
        private set
    val rejectedByVm = IntArray(vmCount)
    val rejectedShare: Double get() = rejectedByVm.sum() / requestCount.toDouble()
    val retryAfterMs = ArrayList<Long>()

    /** Runs until [endMs]; counters start at [countFromMs]. */
    fun run(endMs: Long, countFromMs: Long = 0): LimiterFleet {
        if (nowMs == 0L) vms.forEach { it.start() }
        while (nowMs < endMs) {
            nowMs += STEP_MS
            trueLevel = (trueLevel + rate * STEP_MS / 1_000).coerceAtMost(burst)
            if (nowMs == countFromMs) resetCounters()
            restart()
            deliver()
            vms.filter { isRunning(it) }.forEach(::maintain)
            sendRequests()
        }
        return this
    }

    private fun resetCounters() {
        requestCount = 0
        rejectedByVm.fill(0)
    }

    private fun isRunning(vm: Vm) = vm.awayUntilMs <= nowMs && !isFrozen(vm.index, nowMs)

    private fun restart() {
        val due = when {
            restartsAll(nowMs) -> vms
            restartEveryMs > 0 && nowMs % restartEveryMs == 0L ->
                listOf(vms[(nowMs / restartEveryMs % vmCount).toInt()])
            else -> emptyList()
        }
        due.forEach { it.awayUntilMs = nowMs + AWAY_MS }
        vms.filter { it.awayUntilMs == nowMs && nowMs > 0 }.forEach { it.start() }
    }

    private fun deliver() {
        while (messages.isNotEmpty() && messages.peek().atMs <= nowMs) {
            val message = messages.poll()
            val vm = vms[message.to]
            if (isFrozen(vm.index, nowMs)) vm.frozenInbox.add(message) else receive(vm, message.report)
        }
        vms.filter { it.frozenInbox.isNotEmpty() && !isFrozen(it.index, nowMs) }.forEach { vm ->
            vm.frozenInbox.forEach { receive(vm, it.report) }
            vm.frozenInbox.clear()
        }
    }

    private fun receive(vm: Vm, report: PeerReport) {
        if (vm.awayUntilMs > nowMs) return
        when (vm.peers.onReport(report, nowMs)) {
            ReportEffect.OUTDATED -> return
            ReportEffect.UPDATED -> Unit
            ReportEffect.PROCESS_FOUND, ReportEffect.CONTACT_GAINED ->
                send(vm, listOf(vms[report.peerPort - 1]), vm.limiter.usage())
        }
        val isOlder = report.uptimeMs > nowMs - vm.startedAtMs + OLDER_PEER_MARGIN_MS
        val uses = report.teams.associate { it.team to BucketUse(it.admitted, it.level) }
        vm.limiter.onPeerUsage(report.vm, report.startedAtMs, uses, isOlder, nowMs, report.uptimeMs)
    }

    private fun maintain(vm: Vm) {
        val sinceReportMs = nowMs - vm.reportedAtMs
        val pauseMs = schedule.pauseMs(vmCount, REPORT_BYTES * vmCount, tookMs = vmCount / 2L)
        if (sinceReportMs >= schedule.intervalMs(vmCount) || (vm.wantsReport && sinceReportMs >= pauseMs)) {
            vm.reportedAtMs = nowMs
            vm.wantsReport = false
            send(vm, vms.filter { it !== vm }, vm.limiter.reportChanges())
        }
        if ((nowMs / STEP_MS + vm.index) % MAINTENANCE_STEPS == 0L) {
            vm.limiter.setContact(adjustContact(vm.peers.contact(nowMs)), nowMs)
        }
    }

    private fun send(from: Vm, to: List<Vm>, uses: Map<String, BucketUse>) = to.chunked(8).forEach { group ->
        val alive = group.map { "vm-${it.index}" }.filter { name ->
            from.peers.find(name)?.let { from.peers.isAlive(it, nowMs) } == true
        }
        val report = peerReport("vm-${from.index}", ++from.sequence, from.index + 1, alive).copy(
            startedAtMs = from.startedAtMs,
            uptimeMs = nowMs - from.startedAtMs,
            teams = uses.map { (team, use) -> TeamUseReport(team, use.admitted, use.level) },
        )
        group.filter { canReach(from.index, it.index, nowMs) && random.nextInt(100) >= lossPercent }.forEach {
            messages.add(Message(nowMs + random.nextLong(MAX_DELAY_MS), sentCount++, it.index, report))
        }
    }

    private fun sendRequests() {
        owedTokens += rate * loadFactor(nowMs) * STEP_MS / 1_000
        while (owedTokens > 0) {
            val cost = random.nextLong(1_000, 9_000)
            owedTokens -= cost
            val vm = vms.random(random)
            if (!isRunning(vm)) continue
            requestCount++
            when (val decision = vm.limiter.admit(team, cost, nowMs)) {
                is RateDecision.Admitted -> {
                    admitted.add(nowMs to cost.toDouble())
                    trueLevel -= cost
                }
                is RateDecision.OverRate -> {
                    rejectedByVm[vm.index]++
                    retryAfterMs.add(decision.retryAfterMs)
                }
            }
        }
    }

    /** Returns the levels of the copies that run, less the level of the bucket that knows everything. */
    fun errors(): List<Double> = vms.filter(::isRunning).map { vm ->
        vm.limiter.setContact(adjustContact(vm.peers.contact(nowMs)), nowMs)
        vm.limiter.usage().getValue("red").level - trueLevel
    }

    /** Returns the most tokens admitted in a window that ends after [fromMs], as a share of the rule's bound. */
    fun largestWindowShare(fromMs: Long = 0): Double {
        var sum = 0.0
        var first = 0
        var largest = 0.0
        admitted.forEach { (atMs, cost) ->
            sum += cost
            while (admitted[first].first <= atMs - WINDOW_MS) sum -= admitted[first++].second
            if (atMs >= fromMs) largest = maxOf(largest, sum)
        }
        return largest / ((rate * WINDOW_MS / 1_000 + burst) * 1.1 + 110_000)
    }

    private companion object {
        const val AWAY_MS = 1_000L
        const val MAX_DELAY_MS = 300L
        const val OLDER_PEER_MARGIN_MS = 1_000L
        const val MAINTENANCE_STEPS = 20L
        const val REPORT_BYTES = 1_000L
    }
}
