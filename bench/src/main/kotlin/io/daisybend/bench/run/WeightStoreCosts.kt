/*
 * Simulates the duration of loads from the weight store. The number of starts per second is limited, and concurrent
 * loads beyond the maximum number at full speed share the bandwidth of that maximum.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.CostTable

internal class WeightStoreCosts(private val costs: CostTable, private val loop: EventLoop) {
    private class Transfer(var remainingBytes: Double, val onDone: () -> Unit)

    private val transfers = ArrayList<Transfer>()
    private var advancedAtMs = 0L
    private var nextStartMs = 0L
    private var scheduleVersion = 0L

    fun load(weightsBytes: Long, onDone: () -> Unit) {
        val intervalMs = (1_000 / costs.loadsPerSecond).toLong()
        val startMs = maxOf(loop.nowMs, nextStartMs - (costs.maxConcurrentLoads - 1) * intervalMs)
        nextStartMs = maxOf(nextStartMs, loop.nowMs) + intervalMs
        loop.at(startMs) {
            advance()
            transfers += Transfer(weightsBytes.toDouble(), onDone)
            scheduleNext()
        }
    }

    private fun bytesPerMs(): Double =
        costs.remoteBytesPerSecond / 1_000.0 * minOf(1.0, costs.maxConcurrentLoads.toDouble() / transfers.size)

    private fun advance() {
        val transferredBytes = (loop.nowMs - advancedAtMs) * if (transfers.isEmpty()) 0.0 else bytesPerMs()
        transfers.forEach { it.remainingBytes -= transferredBytes }
        advancedAtMs = loop.nowMs
    }

    private fun scheduleNext() {
        val scheduledVersion = ++scheduleVersion
        val nextToFinish = transfers.minByOrNull { it.remainingBytes } ?: return
        val waitMs = Math.ceil(nextToFinish.remainingBytes / bytesPerMs()).toLong().coerceAtLeast(1)
        loop.after(waitMs) { if (scheduleVersion == scheduledVersion) completeFinished() }
    }

    private fun completeFinished() {
        advance()
        val finished = transfers.filter { it.remainingBytes <= 0.5 }
        transfers.removeAll(finished.toSet())
        finished.forEach { it.onDone() }
        scheduleNext()
    }
}
