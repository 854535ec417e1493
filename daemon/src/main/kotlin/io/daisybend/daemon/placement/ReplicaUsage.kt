/*
 * Tracks when each artifact was last used by this VM or last seen loaded on any endpoint. This VM does not request the
 * eviction of an artifact that it uses, or that was used or loaded within the minimum idle time.
 */
package io.daisybend.daemon.placement

import io.daisybend.kernel.MillisClock
import io.daisybend.placement.Artifact
import java.util.concurrent.ConcurrentHashMap

internal class ReplicaUsage(private val clock: MillisClock) {
    private data class Use(val inProgress: Int, val lastUsedMs: Long)

    private val uses = ConcurrentHashMap<Artifact, Use>()

    /** Records that [artifact] was seen loaded on an endpoint. */
    fun onLoad(artifact: Artifact) = update(artifact, by = 0)

    fun onUseStarted(artifact: Artifact) = update(artifact, by = 1)

    fun onUseEnded(artifact: Artifact) = update(artifact, by = -1)

    /** Returns a cost that falls with the idle time; null if [artifact] is in use or idle for less than the minimum. */
    fun evictionCost(artifact: Artifact): Double? {
        val use = uses[artifact] ?: return 0.0
        val idleMs = clock.nowMs() - use.lastUsedMs
        return if (use.inProgress > 0 || idleMs < MIN_EVICTION_IDLE_MS) null else 1.0 / idleMs
    }

    private fun update(artifact: Artifact, by: Int) {
        uses.compute(artifact) { _, use -> Use((use?.inProgress ?: 0) + by, clock.nowMs()) }
    }

    private companion object {
        const val MIN_EVICTION_IDLE_MS = 5_000L
    }
}
