/*
 * Signals to the process. A signal without a handler has its default action, which ends the process, so the handlers
 * are there before anything else, and what they ask for is kept until it can be done.
 */
package io.daisybend.entry

import io.daisybend.serving.site.SystemClockPair
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The signals that this process gets: SIGTERM asks for a planned stop, SIGHUP for a new look at the settings. */
internal class ProcessSignals private constructor() {
    private val stopRequested = CountDownLatch(1)
    private val lock = Any()
    private var onHangup: (() -> Unit)? = null
    private var isHangupPending = false

    /** When the stop was requested, in milliseconds of the monotonic clock, or null before it. */
    @Volatile
    var stopRequestedAtMs: Long? = null
        private set

    val isStopRequested: Boolean get() = stopRequested.count == 0L

    /** Waits until a stop is requested, for [timeoutMs] at most if that is not 0; returns whether it is. */
    fun awaitStopRequest(timeoutMs: Long): Boolean {
        if (timeoutMs > 0) return stopRequested.await(timeoutMs, TimeUnit.MILLISECONDS)
        stopRequested.await()
        return true
    }

    /** Calls [action] for each SIGHUP from now on, and at once if there were any. */
    fun onHangup(action: () -> Unit) {
        val isDue = synchronized(lock) {
            onHangup = action
            isHangupPending
        }
        if (isDue) action()
    }

    private fun requestStop() {
        synchronized(lock) { if (stopRequestedAtMs == null) stopRequestedAtMs = SystemClockPair.read().steadyMs }
        stopRequested.countDown()
    }

    private fun hangUp() {
        val action = synchronized(lock) {
            isHangupPending = onHangup == null
            onHangup
        }
        action?.invoke()
    }

    companion object {
        /** Handles the signals of this process from now on. */
        fun install(): ProcessSignals = ProcessSignals().apply {
            Signal.handle(Signal("TERM")) { requestStop() }
            Signal.handle(Signal("HUP")) { hangUp() }
        }
    }
}
