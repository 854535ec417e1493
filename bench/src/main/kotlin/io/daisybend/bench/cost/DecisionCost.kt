/*
 * Measures what one decision costs: its time, as the median and the spread over rounds after a warm-up, and the bytes
 * that it allocates.
 */
package io.daisybend.bench.cost

import com.sun.management.ThreadMXBean
import kotlinx.serialization.Serializable
import java.lang.management.ManagementFactory

/** The cost of one decision at one size. */
@Serializable
internal data class DecisionCost(
    val decision: String,
    val size: String,
    val medianNanos: Double,
    val lowestNanos: Double,
    val highestNanos: Double,
    val allocatedBytes: Double,
)

private const val WARM_UP_ROUNDS = 12
private const val ROUNDS = 11
private const val MAX_ITERATIONS = 20_000
private const val ROUND_NANOS = 60_000_000L
private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

/** Runs [decide] in rounds of the same number of iterations; the iteration's number is its argument. */
internal fun measureDecision(decision: String, size: String, decide: (Int) -> Unit): DecisionCost {
    val iterations = iterationsFor(decide)
    repeat(WARM_UP_ROUNDS) { run(iterations, decide) }
    val allocatedBefore = threads.currentThreadAllocatedBytes
    val nanos = List(ROUNDS) { run(iterations, decide) }.sorted()
    val allocatedBytes = threads.currentThreadAllocatedBytes - allocatedBefore
    return DecisionCost(
        decision = decision,
        size = size,
        medianNanos = nanos[ROUNDS / 2],
        lowestNanos = nanos.first(),
        highestNanos = nanos.last(),
        allocatedBytes = allocatedBytes.toDouble() / (ROUNDS * iterations),
    )
}

private fun iterationsFor(decide: (Int) -> Unit): Int {
    val nanosPerDecision = run(iterations = 200, decide)
    return (ROUND_NANOS / nanosPerDecision).toInt().coerceIn(200, MAX_ITERATIONS)
}

private fun run(iterations: Int, decide: (Int) -> Unit): Double {
    val startNanos = System.nanoTime()
    for (iteration in 0 until iterations) decide(iteration)
    return (System.nanoTime() - startNanos).toDouble() / iterations
}
