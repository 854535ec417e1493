/*
 * Measures the cost of one decision: the median, lowest and highest time over several rounds after a warm-up, and the
 * allocated bytes.
 */
package io.daisybend.bench.cost

import com.sun.management.ThreadMXBean
import kotlinx.serialization.Serializable
import java.lang.management.ManagementFactory

/** Cost of one decision at one fleet size. */
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
private val threadMxBean = ManagementFactory.getThreadMXBean() as ThreadMXBean

/** Measures [decide] in rounds of the same number of iterations; its argument is the index of the iteration. */
internal fun measureDecision(decision: String, size: String, decide: (Int) -> Unit): DecisionCost {
    val iterations = iterationsFor(decide)
    repeat(WARM_UP_ROUNDS) { nanosPerIteration(iterations, decide) }
    val allocatedBefore = threadMxBean.currentThreadAllocatedBytes
    val nanos = List(ROUNDS) { nanosPerIteration(iterations, decide) }.sorted()
    val allocatedBytes = threadMxBean.currentThreadAllocatedBytes - allocatedBefore
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
    val nanosPerDecision = nanosPerIteration(iterations = 200, decide)
    return (ROUND_NANOS / nanosPerDecision).toInt().coerceIn(200, MAX_ITERATIONS)
}

private fun nanosPerIteration(iterations: Int, decide: (Int) -> Unit): Double {
    val startNanos = System.nanoTime()
    for (iteration in 0 until iterations) decide(iteration)
    return (System.nanoTime() - startNanos).toDouble() / iterations
}
