/*
 * How long a load from the weight store takes: starts are limited to a number a second, and beyond four at once all
 * loads share the bandwidth of four.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.CostTable

internal class WeightStoreCosts(private val costs: CostTable, private val loop: EventLoop) {
    private class Transfer(var remainingBytes: Double, val onDone: () -> Unit)

    private val transfers = ArrayList<Transfer>()
    private var advancedAtMs = 0L
    private var nextStartMs = 0L
    private var version = 0L

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
        val movedBytes = (loop.nowMs - advancedAtMs) * if (transfers.isEmpty()) 0.0 else bytesPerMs()
        transfers.forEach { it.remainingBytes -= movedBytes }
        advancedAtMs = loop.nowMs
    }

    private fun scheduleNext() {
        val current = ++version
        val first = transfers.minByOrNull { it.remainingBytes } ?: return
        val waitMs = Math.ceil(first.remainingBytes / bytesPerMs()).toLong().coerceAtLeast(1)
        loop.after(waitMs) { if (version == current) finishDue() }
    }

    private fun finishDue() {
        advance()
        val done = transfers.filter { it.remainingBytes <= 0.5 }
        transfers.removeAll(done.toSet())
        done.forEach { it.onDone() }
        scheduleNext()
    }
}
