/*
 * The VMs of one failure domain on a timeline, without a network: a store with a log, reports that are delayed, lost or
 * read late, and VMs that are killed, frozen or cut off. Checks at each step that no VM takes its list for newer than
 * it is.
 */
package io.daisybend.serving.endpoint

import io.daisybend.serving.site.ClockReading
import kotlin.random.Random

internal class SimulatedDomain(vmCount: Int, private val random: Random = Random(1)) {
    class Report(val sender: Vm, val uptimeMs: Long, val excerpt: ListExcerpt?, val arrivesAtMs: Long)

    inner class Vm(val name: String, private val clockOffsetMs: Long) {
        val relay = ListRelay()
        val buffer = RelayBuffer()
        val delays = SenderDelays()
        val inbox = ArrayList<Report>()
        var frozenUntilMs = 0L
        var hasStore = true
        var hears: (Vm) -> Boolean = { true }
        var calls = 0
        var worstLagMs = 0L
        private var nextTryMs = 0L
        private var rank: Int? = null
        private var read: PendingRead? = null

        fun clock() = ClockReading(nowMs + clockOffsetMs, nowMs)

        /** Returns the age of the oldest record that is not applied, in milliseconds. */
        fun lagMs(): Long {
            val applied = relay.position?.takeIf { it.era == era }?.nextOffset?.toInt() ?: 0
            return log.getOrNull(applied)?.let { nowMs - it } ?: 0
        }

        fun step() {
            if (nowMs < frozenUntilMs) return
            // Reports that waited are read before the loop notices a standstill, which is the worse order.
            val arrived = inbox.filter { it.arrivesAtMs <= nowMs }
            inbox.removeAll(arrived)
            arrived.forEach(::receive)
            if (nowMs % 100 == 0L) relay.onLoop(clock())
            read?.takeIf { it.endsAtMs <= nowMs }?.let(::endRead)
            if (nowMs % 100 == 0L) rank = rankOf(this)
            if (rank == null) buffer.skip()
            if (read == null && nowMs >= nextTryMs && relay.readDueInMs(rank, clock()) <= 0) startRead()
            check(isSound()) { "$name at $nowMs takes its list for newer than it is" }
            if (hasStore && isStoreUp) worstLagMs = maxOf(worstLagMs, lagMs())
        }

        private fun startRead() {
            calls++
            val tookMs = random.nextLong(20, 200)
            val isAnswered = hasStore && isStoreUp
            val answer = if (isAnswered) ListPosition(era, log.size.toLong()) else null
            read = PendingRead(clock(), nowMs + if (isAnswered) tookMs else 700, answer)
        }

        private fun endRead(ended: PendingRead) {
            read = null
            val answer = ended.answer
            if (answer == null || answer.era != era) {
                nextTryMs = nowMs + 300
                return
            }
            val applied = relay.position?.takeIf { it.era == answer.era }?.nextOffset
            val from = applied ?: answer.nextOffset
            val position = ListPosition(answer.era, maxOf(answer.nextOffset, from))
            buffer.add(List((position.nextOffset - from).toInt()) { RelayedRecord("e", "v") }, position)
            relay.onOwnRead(position, ended.sentAt, clock())
            if (rank == null) return
            buffer.take(maxBytes = 200, minBytes = 100).forEach { piece ->
                val readAgoMs = clock().ageOf(ended.sentAt)
                send(this, ListExcerpt(piece.era, piece.from, piece.records, position.nextOffset, readAgoMs))
            }
        }

        private fun receive(report: Report) {
            val delayMs = delays.onReport(report.sender.name, report.uptimeMs, clock().steadyMs)
            val excerpt = report.excerpt ?: return
            val use = relay.onExcerpt(excerpt, delayMs, clock())
            if (use is ExcerptUse.Apply) relay.position?.let { buffer.add(use.records, it) }
        }

        /** Whether all records that were acknowledged before the confirmed time are applied. */
        private fun isSound(): Boolean {
            val confirmedAt = relay.confirmedAt ?: return true
            // The delay of the fastest report of a process is not known and counts as none.
            if (relay.position?.era != era) return true
            return lagMs() <= clock().ageOf(confirmedAt) + USUAL_DELAY_MS
        }
    }

    class PendingRead(val sentAt: ClockReading, val endsAtMs: Long, val answer: ListPosition?)

    var nowMs = 0L
        private set
    var isStoreUp = true
    var era = 1L
    var lossShare = 0.0

    /** The times at which the records of the store were acknowledged. */
    var log = ArrayList<Long>()
    val vms = List(vmCount) { Vm("vm-$it", clockOffsetMs = it * 1_000_000L) }

    /** VMs that run, have the store and were heard lately; the others notice the loss of one after [LOSS_MS]. */
    private val lastSeenMs = HashMap<Vm, Long>()

    fun rankOf(vm: Vm): Int? {
        val others = vms.filter { it !== vm && vm.hears(it) && nowMs - (lastSeenMs[it] ?: 0) < LOSS_MS }
        return ListRelay.readerRank("north", vm.name, others.map { it.name })
    }

    /** Returns the readers in the order of their ranks. */
    fun readers(): List<Vm> = vms.filter { rankOf(it) != null }.sortedBy { rankOf(it) }

    private fun send(sender: Vm, excerpt: ListExcerpt?) = vms.filter { it !== sender && it.hears(sender) }.forEach {
        if (random.nextDouble() >= lossShare) {
            val delayMs = random.nextLong(0, if (random.nextInt(10) == 0) MAX_DELAY_MS else USUAL_DELAY_MS)
            it.inbox.add(Report(sender, sender.clock().steadyMs, excerpt, nowMs + delayMs))
        }
    }

    /** Lets [durationMs] pass, with a record of the list each 40 ms. */
    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            if (isStoreUp && nowMs % RECORD_INTERVAL_MS == 0L) log.add(nowMs)
            vms.filter { nowMs >= it.frozenUntilMs }.forEach {
                if (it.hasStore) lastSeenMs[it] = nowMs
                if (nowMs % REPORT_INTERVAL_MS == 0L) send(it, excerpt = null)
            }
            vms.forEach { it.step() }
        }
    }

    /** Forgets calls and lags so far. */
    fun resetCounts() = vms.forEach {
        it.calls = 0
        it.worstLagMs = 0
    }

    private companion object {
        const val STEP_MS = 10L
        const val RECORD_INTERVAL_MS = 40L
        const val REPORT_INTERVAL_MS = 750L
        const val USUAL_DELAY_MS = 20L

        /** Longest delay, in milliseconds; one report in ten takes up to that. */
        const val MAX_DELAY_MS = 300L

        /** Time after which a VM that is gone does not count as alive at 75 VMs. */
        const val LOSS_MS = 3_200L
    }
}
