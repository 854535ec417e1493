package io.daisybend.serving.residency

/**
 * Simulates the weight store: beyond [fullSpeedLoads] loads under way, each further one takes proportionally longer. The
 * time of a load is fixed at its start.
 */
internal class ReplayedStore(private val fullSpeedLoads: Int) {
    private val endsAtMs = ArrayList<Long>()

    /** The number of loads started. */
    var loads = 0
        private set

    /** The largest number of loads under way at once. */
    var mostLoadsUnderWay = 0
        private set

    /** Starts a load at [nowMs] that takes [coldLoadMs] alone; returns its time in milliseconds. */
    fun startLoad(coldLoadMs: Long, nowMs: Long): Long {
        endsAtMs.removeAll { it <= nowMs }
        val underWay = endsAtMs.size + 1
        val loadMs = maxOf(coldLoadMs, coldLoadMs * underWay / fullSpeedLoads)
        endsAtMs.add(nowMs + loadMs)
        loads++
        mostLoadsUnderWay = maxOf(mostLoadsUnderWay, underWay)
        return loadMs
    }
}
