/*
 * Counts what the demonstration served, what was refused as expected, and what went wrong.
 */
package io.daisybend.bench.demo

import java.util.concurrent.atomic.AtomicInteger

internal class DemoChecks {
    private val served = AtomicInteger()
    private val refused = AtomicInteger()
    private val wrong = AtomicInteger()

    val exitCode: Int get() = if (wrong.get() == 0) 0 else 1

    fun served(step: String, correct: Boolean, detail: String) = count(served, step, correct, detail)

    fun refused(step: String, asExpected: Boolean, detail: String) = count(refused, step, asExpected, detail)

    fun summary() = "demo: ${served.get()} served, ${refused.get()} refused as expected, ${wrong.get()} wrong"

    private fun count(counter: AtomicInteger, step: String, correct: Boolean, detail: String) {
        (if (correct) counter else wrong).incrementAndGet()
        println("%-5s %-28s %s".format(if (correct) "ok" else "WRONG", step, detail))
    }
}
