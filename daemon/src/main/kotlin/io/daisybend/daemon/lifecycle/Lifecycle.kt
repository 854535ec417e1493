/*
 * The lifecycle of this process: starting, serving, leaving, finishing, stopped. A leaving process still accepts
 * requests, because callers may still use its address. Once the address lifetime has expired, a finishing process only
 * completes the requests in progress.
 */
package io.daisybend.daemon.lifecycle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.RequestId
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** The phases of a process, in order. */
public enum class LifecyclePhase { STARTING, SERVING, LEAVING, FINISHING, STOPPED }

/** Holds the current phase and tracks the requests in progress. */
public class Lifecycle {
    private val inProgress = ConcurrentHashMap.newKeySet<RequestId>()

    /** The current phase. */
    @Volatile
    public var phase: LifecyclePhase = LifecyclePhase.STARTING
        private set

    /** Number of requests in progress. */
    public val requestsInProgress: Int get() = inProgress.size

    /** Advances to [next]; does nothing if [next] is not after the current phase. */
    @Synchronized
    public fun advanceTo(next: LifecyclePhase) {
        if (next > phase) phase = next
    }

    /** Runs [work] and tracks [requestId] as in progress meanwhile; fails if the process accepts no new requests. */
    public suspend fun <T> track(
        requestId: RequestId,
        work: suspend () -> Result<T, RequestFailure>,
    ): Result<T, RequestFailure> {
        if (phase >= LifecyclePhase.FINISHING) {
            return Err(RequestFailure.NotReady("expected a serving VM, this one is stopping", RETRY_AFTER_MS))
        }
        inProgress += requestId
        try {
            return work()
        } finally {
            inProgress -= requestId
        }
    }

    /** Waits up to [timeoutMs] until no request is in progress; returns whether that was reached. */
    public suspend fun awaitIdle(timeoutMs: Long): Boolean = withTimeoutOrNull(timeoutMs) {
        while (inProgress.isNotEmpty()) delay(IDLE_POLL_MS)
        true
    } ?: false

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val IDLE_POLL_MS = 20L
    }
}
