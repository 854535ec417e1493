/*
 * The only source of time in the system. Every decision receives the current time in milliseconds as an argument;
 * only the daemon and the tools read a clock. The system clock starts at the wall time and then follows a monotonic
 * counter, so a correction of the machine's clock never makes a lease longer or shorter.
 */
package io.daisybend.kernel

/** Gives the current time in milliseconds. */
public fun interface MillisClock {
    /** Returns the current time in milliseconds since the Unix epoch. */
    public fun nowMs(): Long
}

/** Starts at the wall time and advances with the machine's monotonic counter. */
public object SystemMillisClock : MillisClock {
    private const val NANOS_PER_MILLI = 1_000_000L
    private val startWallMs = System.currentTimeMillis()
    private val startNanos = System.nanoTime()

    override fun nowMs(): Long = startWallMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLI
}
