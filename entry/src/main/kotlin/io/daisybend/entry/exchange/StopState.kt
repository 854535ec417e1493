package io.daisybend.entry.exchange

/** How far the planned stop of this VM has come; phases only follow each other. */
internal enum class StopPhase {
    SERVING,

    /** Connections and requests are still accepted; responses close their connections. */
    LEAVING,

    /** The listening socket is closed; requests that arrive from now on are refused as not run. */
    DRAINING,
}

/** The planned stop of this VM. */
internal class StopState {
    val deadline = ShutdownDeadline()

    @Volatile
    var phase = StopPhase.SERVING
        private set

    /** Beginning of the stop, in milliseconds of the monotonic clock, or null before it. */
    @Volatile
    var startedAtMs: Long? = null
        private set

    val isStopping: Boolean get() = phase != StopPhase.SERVING

    /** Begins the stop at [nowMs]; requests must be answered by [endsAtMs]. Returns false if it had begun before. */
    fun tryBegin(nowMs: Long, endsAtMs: Long): Boolean = synchronized(this) {
        if (isStopping) return false
        startedAtMs = nowMs
        phase = StopPhase.LEAVING
        deadline.set(endsAtMs)
        true
    }

    fun startDraining() {
        phase = StopPhase.DRAINING
    }
}
