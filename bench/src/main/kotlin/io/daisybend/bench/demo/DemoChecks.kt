/*
 * Counts served requests, expected refusals and wrong results of the demonstration.
 */
package io.daisybend.bench.demo

import java.util.concurrent.atomic.AtomicInteger

internal class DemoChecks {
    private val served = AtomicInteger()
    private val refused = AtomicInteger()
    private val wrong = AtomicInteger()

    val exitCode: Int get() = if (wrong.get() == 0) 0 else 1

    fun served(step: String, isCorrect: Boolean, detail: String) = count(served, step, isCorrect, detail)

    fun refused(step: String, isExpected: Boolean, detail: String) = count(refused, step, isExpected, detail)

    fun summary() = "demo: ${served.get()} served, ${refused.get()} refused as expected, ${wrong.get()} wrong"

    private fun count(counter: AtomicInteger, step: String, isCorrect: Boolean, detail: String) {
        (if (isCorrect) counter else wrong).incrementAndGet()
        println("%-5s %-28s %s".format(if (isCorrect) "ok" else "WRONG", step, detail))
    }
}
