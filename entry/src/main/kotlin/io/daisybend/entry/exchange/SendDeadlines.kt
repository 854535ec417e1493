/*
 * Decides how long a request may wait for an endpoint: only as long as its response can be expected before the caller
 * times out and before this VM stops.
 */
package io.daisybend.entry.exchange

/** The time by which this VM must have answered its requests; there is none until the VM stops. */
internal class ShutdownDeadline {
    /** Time of the last answers, in milliseconds of the monotonic clock, or null before a stop. */
    @Volatile
    var endsAtMs: Long? = null
        private set

    /** Starts the stop; requests must be answered by [endsAtMs]. */
    fun set(endsAtMs: Long) {
        this.endsAtMs = endsAtMs
    }
}

/** The latest times at which requests can be sent to endpoints. */
internal class SendDeadlines(
    private val shutdown: ShutdownDeadline,
    private val exchanges: ExchangeTracker,
    private val steadyMs: () -> Long,
) {
    /** Returns the time after which [admitted] can't be served any more, in milliseconds of the monotonic clock. */
    fun latestSendAtMs(admitted: AdmittedRequest): Long {
        val beforeTimeoutMs = beforeTimeoutMs(admitted)
        return shutdown.endsAtMs?.let { minOf(beforeTimeoutMs, it - serviceMs(admitted)) } ?: beforeTimeoutMs
    }

    /** Returns the refusal of [admitted] if its response is not expected before this VM stops, or null. */
    fun refusalByShutdown(admitted: AdmittedRequest): EndpointSelection.Unavailable? {
        val endsAtMs = shutdown.endsAtMs ?: return null
        val serviceMs = serviceMs(admitted)
        if (steadyMs() <= endsAtMs - serviceMs) return null
        return refusedByShutdown(endsAtMs, "a response takes $serviceMs ms")
    }

    /**
     * Returns the refusal of [admitted], which can't wait the [expectedMs] until it could be sent because of [reason].
     * Where it is only the stop of this VM that ends the wait, another VM may take the request at once; otherwise it
     * may come again after [retryAfterMs].
     */
    fun refusalToWait(
        admitted: AdmittedRequest,
        reason: String,
        expectedMs: Long,
        retryAfterMs: Long,
    ): EndpointSelection.Unavailable {
        val endsAtMs = shutdown.endsAtMs
        val isServableElsewhere = steadyMs() + expectedMs < beforeTimeoutMs(admitted)
        if (endsAtMs != null && isServableElsewhere) return refusedByShutdown(endsAtMs, reason)
        return EndpointSelection.Unavailable(reason, retryAfterMs)
    }

    private fun beforeTimeoutMs(admitted: AdmittedRequest): Long {
        val maxWaitMs = (admitted.firstEventDeadlineAtMs - admitted.arrivedAtMs) * LOAD_WAIT_PERCENT / PERCENT
        return minOf(admitted.deadlineAtMs - MIN_SERVICE_TIME_MS, admitted.arrivedAtMs + maxWaitMs)
    }

    private fun serviceMs(admitted: AdmittedRequest): Long = exchanges.expectedServiceMs(admitted.caller.demand)

    private fun refusedByShutdown(endsAtMs: Long, reason: String) = EndpointSelection.Unavailable(
        "this VM stops in ${endsAtMs - steadyMs()} ms: $reason",
        SHUTDOWN_RETRY_AFTER_MS,
    )

    companion object {
        /** Retry-After of a VM that stops, in milliseconds: other VMs accept the request at once. */
        const val SHUTDOWN_RETRY_AFTER_MS = 50L

        /** Duration of a short request, in milliseconds; with less time left a request cannot be served. */
        private const val MIN_SERVICE_TIME_MS = 300L

        /**
         * Share of the first-event timeout that a request may wait for a load, in percent; the engine then still has to
         * process the prompt.
         */
        private const val LOAD_WAIT_PERCENT = 70
        private const val PERCENT = 100
    }
}
