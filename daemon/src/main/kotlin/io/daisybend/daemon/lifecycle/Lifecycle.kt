/*
 * The life of this process: it starts, serves, leaves, finishes and stops. While it leaves it still serves, because
 * callers may hold its address. When the longest address lifetime has run out, it only finishes what is in progress.
 */
package io.daisybend.daemon.lifecycle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.RequestId
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Where a process is in its life. */
public enum class LifecyclePhase { STARTING, SERVING, LEAVING, FINISHING, STOPPED }

/** Tracks the phase and the requests in progress. */
public class Lifecycle {
    private val inProgress = ConcurrentHashMap.newKeySet<RequestId>()

    /** The current phase. */
    @Volatile
    public var phase: LifecyclePhase = LifecyclePhase.STARTING
        private set

    /** How many requests are in progress. */
    public val requestsInProgress: Int get() = inProgress.size

    /** Moves to [next]; a phase is never left for an earlier one. */
    @Synchronized
    public fun advanceTo(next: LifecyclePhase) {
        if (next > phase) phase = next
    }

    /** Counts [requestId] as in progress during [work]; fails when this process takes no new requests. */
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

    /** Waits until no request is in progress, for at most [timeoutMs], and tells whether that was reached. */
    public suspend fun awaitIdle(timeoutMs: Long): Boolean = withTimeoutOrNull(timeoutMs) {
        while (inProgress.isNotEmpty()) delay(IDLE_POLL_MS)
        true
    } ?: false

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val IDLE_POLL_MS = 20L
    }
}
