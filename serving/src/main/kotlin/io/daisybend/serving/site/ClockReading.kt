/*
 * Readings of the monotonic clock and the wall clock at the same moment. The monotonic clock stops while a VM is
 * suspended and the wall clock may jump, so an age that must not be underestimated is the larger of the two.
 */
package io.daisybend.serving.site

/** The monotonic clock and the wall clock at one moment, in milliseconds. */
public data class ClockReading(val steadyMs: Long, val wallMs: Long) {
    /** Returns this reading with both clocks advanced by [ms] milliseconds. */
    public fun plus(ms: Long): ClockReading = ClockReading(steadyMs + ms, wallMs + ms)

    /** Returns the time since [earlier] in milliseconds, by the clock that advanced further. */
    public fun ageOf(earlier: ClockReading): Long = maxOf(steadyMs - earlier.steadyMs, wallMs - earlier.wallMs)
}

/** A source of clock readings. */
public fun interface ClockPair {
    /** Reads both clocks. */
    public fun read(): ClockReading
}

private const val NANOS_PER_MILLI = 1_000_000L

/** The clocks of this VM. */
public object SystemClockPair : ClockPair {
    override fun read(): ClockReading = ClockReading(System.nanoTime() / NANOS_PER_MILLI, System.currentTimeMillis())
}
