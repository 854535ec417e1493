/*
 * When this VM last used each replica, and when it was loaded anywhere. What is in use here, or was used here or loaded
 * a moment ago, is not evicted on this VM's request.
 */
package io.daisybend.daemon.placement

import io.daisybend.kernel.MillisClock
import io.daisybend.placement.Artifact
import java.util.concurrent.ConcurrentHashMap

internal class ReplicaUsage(private val clock: MillisClock) {
    private data class Use(val inProgress: Int, val lastMs: Long)

    private val uses = ConcurrentHashMap<Artifact, Use>()

    /** Notes that [artifact] was seen loaded somewhere. */
    fun loaded(artifact: Artifact) = change(artifact, by = 0)

    fun begin(artifact: Artifact) = change(artifact, by = 1)

    fun end(artifact: Artifact) = change(artifact, by = -1)

    /** Returns a cost that falls with the time since the last use, or null while [artifact] is in use. */
    fun evictionCost(artifact: Artifact): Double? {
        val use = uses[artifact] ?: return 0.0
        val idleMs = clock.nowMs() - use.lastMs
        return if (use.inProgress > 0 || idleMs < MIN_IDLE_MS) null else 1.0 / idleMs
    }

    private fun change(artifact: Artifact, by: Int) {
        uses.compute(artifact) { _, use -> Use((use?.inProgress ?: 0) + by, clock.nowMs()) }
    }

    private companion object {
        const val MIN_IDLE_MS = 5_000L
    }
}
