/*
 * Delays between attempts to reach the platform's store. In a large fleet one loop, the watcher of the configuration,
 * tries whether the store is available again, and the other loops of the VM wait for it.
 */
package io.daisybend.entry.store

import io.daisybend.serving.site.StorePolling
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Waits before another call; [isStoreLost] tells whether the watcher of the configuration gets no answers. */
internal class StoreRetry(
    private val polling: StorePolling,
    private val vmCount: () -> Int,
    private val isStoreLost: () -> Boolean,
) {
    /** Waits after a failed call, for [smallFleetMs] in a small fleet. */
    suspend fun await(smallFleetMs: Long) {
        if (!polling.isLargeFleet(vmCount())) return delay(smallFleetMs)
        delay(polling.retryDelayMs(vmCount(), Random))
        withTimeoutOrNull(MAX_WAIT_MS) { while (isStoreLost()) delay(CHECK_INTERVAL_MS) }
    }

    private companion object {
        /** Longest wait for the other loop, in milliseconds: its connections may be broken alone. */
        const val MAX_WAIT_MS = 2_000L
        const val CHECK_INTERVAL_MS = 50L
    }
}
