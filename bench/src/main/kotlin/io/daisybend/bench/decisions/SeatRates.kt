/*
 * The system's rate decisions: one limiter on each VM, messages between them and the seat stream in the log, both with
 * a delay. The limiters run for a while before the trace begins, as on a site that is up.
 */
package io.daisybend.bench.decisions

import io.daisybend.bench.run.EventLoop
import io.daisybend.bench.site.SitePreset
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.daisybend.rates.HolderId
import io.daisybend.rates.OffsetRecord
import io.daisybend.rates.RateAction
import io.daisybend.rates.RateEvent
import io.daisybend.rates.RateLimiter
import io.daisybend.rates.ShardRecord
import io.daisybend.rates.TeamLimits

internal class SeatRates(private val site: SitePreset, private val mainLoop: EventLoop) : RateDecision {
    private class Reservation(val teamId: TeamId, val tokens: Long, val vmIndex: Int, val onVerdict: (Boolean) -> Unit)

    private val vmIds = List(site.vmCount) { VmId("vm-$it") }
    private val limits = site.teams.associate { it.teamId to TeamLimits(it.rateTokensPerSecond, it.burstTokens) }
    private val records = ArrayList<ShardRecord>()
    private val limiters = ArrayList<RateLimiter>()
    private val incarnations = IntArray(site.vmCount)
    private val reservations = LinkedHashMap<RequestId, Reservation>()
    private var loop = EventLoop(endsAtMs = WARM_UP_MS)
    private var startMs = 0L
    private var logUpAtMs = 0L

    private val nowMs: Long get() = startMs + loop.nowMs

    init {
        vmIds.indices.forEach { limiters += newLimiter(it) }
        vmIds.indices.forEach(::introduce)
        scheduleTicks()
        loop.runAll()
        startMs = WARM_UP_MS
        loop = mainLoop
        scheduleTicks()
    }

    override fun entryVm(teamId: TeamId, requestId: RequestId, vmIndex: Int): Int {
        val hash = Math.floorMod(requestId.hashCode(), 100)
        val holders = limiters[vmIndex].holdersOf(teamId)
        if (holders.isEmpty() || hash < UNSTEERED_PERCENT) return vmIndex
        return vmIds.indexOf(holders[hash % holders.size])
    }

    override fun reserve(
        vmIndex: Int,
        requestId: RequestId,
        teamId: TeamId,
        tokens: Long,
        onVerdict: (Boolean) -> Unit,
    ) {
        reservations[requestId] = Reservation(teamId, tokens, vmIndex, onVerdict)
        handle(vmIndex, RateEvent.Reserve(requestId, teamId, tokens))
    }

    override fun settle(vmIndex: Int, requestId: RequestId, teamId: TeamId, usedTokens: Long) =
        handle(vmIndex, RateEvent.Settle(requestId, teamId, usedTokens))

    /** Replaces the VM; callers that wait there for a verdict ask the next VM. */
    override fun restartVm(vmIndex: Int) {
        incarnations[vmIndex]++
        limiters[vmIndex] = newLimiter(vmIndex)
        introduce(vmIndex)
        val cut = reservations.filterValues { it.vmIndex == vmIndex }
        cut.forEach { (requestId, cutOff) ->
            val next = (vmIndex + 1) % site.vmCount
            reserve(next, requestId, cutOff.teamId, cutOff.tokens, cutOff.onVerdict)
        }
    }

    override fun logDown(untilMs: Long) {
        logUpAtMs = untilMs + startMs
    }

    private fun newLimiter(vmIndex: Int) =
        RateLimiter(HolderId(vmIds[vmIndex], incarnations[vmIndex].toLong()), LogStream("seats"))

    private fun introduce(vmIndex: Int) {
        handle(vmIndex, RateEvent.LiveVmsChanged(vmIds))
        handle(vmIndex, RateEvent.LimitsChanged(limits))
    }

    private fun scheduleTicks() {
        loop.every(TICK_MS, loop.endsAtMs) { vmIds.indices.forEach { handle(it, RateEvent.Tick) } }
        loop.every(LOG_READ_MS, loop.endsAtMs) { vmIds.indices.forEach(::readLog) }
    }

    private fun readLog(vmIndex: Int) {
        if (nowMs < logUpAtMs) return
        val fromOffset = limiters[vmIndex].readFromOffset.toInt()
        val read = (fromOffset until records.size).map { OffsetRecord(it.toLong(), records[it]) }
        handle(vmIndex, RateEvent.LogRead(read, firstOffset = 0, nextOffset = records.size.toLong()))
    }

    private fun handle(vmIndex: Int, event: RateEvent) {
        limiters[vmIndex].handle(event, nowMs).forEach(::carryOut)
    }

    private fun carryOut(action: RateAction) {
        when (action) {
            is RateAction.Admitted -> deliverVerdict(action.requestId, isAdmitted = true)
            is RateAction.Refused -> deliverVerdict(action.requestId, isAdmitted = false)
            is RateAction.Send -> {
                val target = vmIds.indexOf(action.toVmId)
                loop.after(site.costs.betweenVmsMs) { handle(target, RateEvent.MessageReceived(action.message)) }
            }
            is RateAction.Append -> if (nowMs >= logUpAtMs) {
                loop.after(site.costs.logAppendMs) { records += action.record }
            }
        }
    }

    private fun deliverVerdict(requestId: RequestId, isAdmitted: Boolean) {
        reservations.remove(requestId)?.onVerdict?.invoke(isAdmitted)
    }

    private companion object {
        const val WARM_UP_MS = 60_000L
        const val TICK_MS = 100L
        const val LOG_READ_MS = 200L
        const val UNSTEERED_PERCENT = 10
    }
}
