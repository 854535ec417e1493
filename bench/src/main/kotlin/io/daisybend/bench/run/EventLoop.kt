/*
 * Discrete-event simulation loop. Tasks run in the order of their times, and in the order of insertion at equal times.
 * Periodic tasks end at [EventLoop.endsAtMs].
 */
package io.daisybend.bench.run

import java.util.PriorityQueue

internal class EventLoop(val endsAtMs: Long) {
    private class Task(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private val tasks = PriorityQueue<Task>(compareBy({ it.atMs }, { it.sequence }))
    private var nextSequence = 0L

    var nowMs: Long = 0
        private set

    fun at(atMs: Long, action: () -> Unit) {
        tasks += Task(maxOf(atMs, nowMs), nextSequence++, action)
    }

    fun after(delayMs: Long, action: () -> Unit): Unit = at(nowMs + delayMs, action)

    fun every(intervalMs: Long, untilMs: Long, action: () -> Unit) {
        after(intervalMs) {
            action()
            if (nowMs < untilMs) every(intervalMs, untilMs, action)
        }
    }

    fun runAll() {
        while (true) {
            val task = tasks.poll() ?: return
            nowMs = task.atMs
            task.action()
        }
    }
}
