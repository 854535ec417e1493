/*
 * A list of future steps, carried out in the order of their times. Periodic work ends at [EventLoop.endsAtMs].
 */
package io.daisybend.bench.run

import java.util.PriorityQueue

internal class EventLoop(val endsAtMs: Long) {
    private class Step(val atMs: Long, val sequence: Long, val run: () -> Unit)

    private val steps = PriorityQueue<Step>(compareBy({ it.atMs }, { it.sequence }))
    private var nextSequence = 0L

    var nowMs: Long = 0
        private set

    fun at(atMs: Long, run: () -> Unit) {
        steps += Step(maxOf(atMs, nowMs), nextSequence++, run)
    }

    fun after(delayMs: Long, run: () -> Unit): Unit = at(nowMs + delayMs, run)

    fun every(intervalMs: Long, untilMs: Long, run: () -> Unit) {
        after(intervalMs) {
            run()
            if (nowMs < untilMs) every(intervalMs, untilMs, run)
        }
    }

    fun runAll() {
        while (true) {
            val step = steps.poll() ?: return
            nowMs = step.atMs
            step.run()
        }
    }
}
