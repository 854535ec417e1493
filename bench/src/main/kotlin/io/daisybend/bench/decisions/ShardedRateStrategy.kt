/*
 * The system's rate limiting: one limiter on each VM, with delayed messages between the VMs and delayed appends to the
 * shard stream of the log. The limiters run for a warm-up period before the trace begins, so that the trace starts on a
 * site in steady state.
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

internal class ShardedRateStrategy(private val site: SitePreset, private val traceLoop: EventLoop) : RateStrategy {
    private class Reservation(val teamId: TeamId, val tokens: Long, val vmIndex: Int, val onDecision: (Boolean) -> Unit)

    private val vmIds = List(site.vmCount) { VmId("vm-$it") }
    private val limits = site.teams.associate { it.teamId to TeamLimits(it.rateTokensPerSecond, it.burstTokens) }
    private val records = ArrayList<ShardRecord>()
    private val limiters = ArrayList<RateLimiter>()
    private val incarnations = IntArray(site.vmCount)
    private val reservations = LinkedHashMap<RequestId, Reservation>()
    private var loop = EventLoop(endsAtMs = WARM_UP_MS)
    private var timeOffsetMs = 0L
    private var logAvailableFromMs = 0L

    private val nowMs: Long get() = timeOffsetMs + loop.nowMs

    init {
        vmIds.indices.forEach { limiters += newLimiter(it) }
        vmIds.indices.forEach(::sendInitialState)
        scheduleTicks()
        loop.runAll()
        timeOffsetMs = WARM_UP_MS
        loop = traceLoop
        scheduleTicks()
    }

    override fun chooseEntryVm(teamId: TeamId, requestId: RequestId, vmIndex: Int): Int {
        val hashBucket = Math.floorMod(requestId.hashCode(), 100)
        val holders = limiters[vmIndex].holdersOf(teamId)
        if (holders.isEmpty() || hashBucket < UNDIRECTED_PERCENT) return vmIndex
        return vmIds.indexOf(holders[hashBucket % holders.size])
    }

    override fun reserve(
        vmIndex: Int,
        requestId: RequestId,
        teamId: TeamId,
        tokens: Long,
        onDecision: (Boolean) -> Unit,
    ) {
        reservations[requestId] = Reservation(teamId, tokens, vmIndex, onDecision)
        handle(vmIndex, RateEvent.Reserve(requestId, teamId, tokens))
    }

    override fun settle(vmIndex: Int, requestId: RequestId, teamId: TeamId, usedTokens: Long) =
        handle(vmIndex, RateEvent.Settle(requestId, teamId, usedTokens))

    /** Replaces the limiter of the VM and repeats the reservations that await its decision on the next VM. */
    override fun restartVm(vmIndex: Int) {
        incarnations[vmIndex]++
        limiters[vmIndex] = newLimiter(vmIndex)
        sendInitialState(vmIndex)
        val interrupted = reservations.filterValues { it.vmIndex == vmIndex }
        interrupted.forEach { (requestId, reservation) ->
            val nextVmIndex = (vmIndex + 1) % site.vmCount
            reserve(nextVmIndex, requestId, reservation.teamId, reservation.tokens, reservation.onDecision)
        }
    }

    override fun onLogOutage(untilMs: Long) {
        logAvailableFromMs = untilMs + timeOffsetMs
    }

    private fun newLimiter(vmIndex: Int) =
        RateLimiter(HolderId(vmIds[vmIndex], incarnations[vmIndex].toLong()), LogStream("seats"))

    private fun sendInitialState(vmIndex: Int) {
        handle(vmIndex, RateEvent.LiveVmsChanged(vmIds))
        handle(vmIndex, RateEvent.LimitsChanged(limits))
    }

    private fun scheduleTicks() {
        loop.every(TICK_INTERVAL_MS, loop.endsAtMs) { vmIds.indices.forEach { handle(it, RateEvent.Tick) } }
        loop.every(LOG_READ_INTERVAL_MS, loop.endsAtMs) { vmIds.indices.forEach(::readLog) }
    }

    private fun readLog(vmIndex: Int) {
        if (nowMs < logAvailableFromMs) return
        val fromOffset = limiters[vmIndex].readFromOffset.toInt()
        val newRecords = (fromOffset until records.size).map { OffsetRecord(it.toLong(), records[it]) }
        handle(vmIndex, RateEvent.LogRead(newRecords, firstOffset = 0, nextOffset = records.size.toLong()))
    }

    private fun handle(vmIndex: Int, event: RateEvent) {
        limiters[vmIndex].handle(event, nowMs).forEach(::execute)
    }

    private fun execute(action: RateAction) {
        when (action) {
            is RateAction.Admitted -> deliverDecision(action.requestId, isAdmitted = true)
            is RateAction.Refused -> deliverDecision(action.requestId, isAdmitted = false)
            is RateAction.Send -> {
                val targetVmIndex = vmIds.indexOf(action.toVmId)
                loop.after(site.costs.vmToVmDelayMs) {
                    handle(targetVmIndex, RateEvent.MessageReceived(action.message))
                }
            }
            is RateAction.Append -> if (nowMs >= logAvailableFromMs) {
                loop.after(site.costs.logAppendMs) { records += action.record }
            }
        }
    }

    private fun deliverDecision(requestId: RequestId, isAdmitted: Boolean) {
        reservations.remove(requestId)?.onDecision?.invoke(isAdmitted)
    }

    private companion object {
        const val WARM_UP_MS = 60_000L
        const val TICK_INTERVAL_MS = 100L
        const val LOG_READ_INTERVAL_MS = 200L
        const val UNDIRECTED_PERCENT = 10
    }
}
