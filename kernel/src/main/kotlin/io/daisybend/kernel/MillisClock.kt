/*
 * Clock of the daemon. Decision code does not read a clock; it receives the current time in milliseconds as an
 * argument. The system clock starts at the wall-clock time and advances with a monotonic counter, so that an adjustment
 * of the VM's wall clock does not lengthen or shorten a lease.
 */
package io.daisybend.kernel

/** Source of the current time in milliseconds. */
public fun interface MillisClock {
    /** Returns the current time in milliseconds since the Unix epoch. */
    public fun nowMs(): Long
}

/** Clock that starts at the wall-clock time and advances with the VM's monotonic counter. */
public object SystemMillisClock : MillisClock {
    private const val NANOS_PER_MILLI = 1_000_000L
    private val startWallMs = System.currentTimeMillis()
    private val startNanos = System.nanoTime()

    override fun nowMs(): Long = startWallMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLI
}
