/*
 * Decides how long idle replicas stay loaded. An accelerator that serves any of its models is not idle, so the adaptive
 * rule treats an endpoint as a whole: it keeps the replicas of an idle endpoint while the weighted reload time that
 * this is expected to save is at least the additional idle time. If few uses of a model are known, the estimated
 * probability of its next use falls with the time since the last one, so that the model is unloaded once the idle time
 * outweighs a reload.
 */
package io.daisybend.scheduling.replicas

/** The rule for unloading idle replicas. */
public sealed interface IdleRule {
    /** Unloads each replica after it has been idle for [keepAliveMs]. */
    public data class FixedTimeout(val keepAliveMs: Long) : IdleRule

    /** Keeps idle replicas until their memory is needed. */
    public data object Never : IdleRule

    /** Weighs reload time against idle time; one second of reload costs [idleSecondsPerReloadSecond] of idle time. */
    public data class Adaptive(
        val idleSecondsPerReloadSecond: Double = 8.0,
        val minInterArrivals: Int = 6,
        val maxKeepAliveMs: Long = 1_800_000,
    ) : IdleRule
}

/** An idle replica: the time since its last use, its reload time, and the times between its uses, if known. */
internal class IdleReplica(val idleMs: Long, val reloadMs: Long, val interArrivals: InterArrivalHistogram?)

/** Returns whether an endpoint with only idle [replicas], last used [idleMs] ago, should keep them loaded. */
internal fun IdleRule.Adaptive.isWorthKeeping(replicas: List<IdleReplica>, idleMs: Long): Boolean {
    if (idleMs >= maxKeepAliveMs) return false
    val horizonMs = maxOf(MIN_HORIZON_MS, idleMs / 2)
    val savedReloadMs = replicas.sumOf { it.reloadMs * useProbability(it, horizonMs) }
    return savedReloadMs * idleSecondsPerReloadSecond >= horizonMs
}

private fun IdleRule.Adaptive.useProbability(replica: IdleReplica, horizonMs: Long): Double {
    val history = replica.interArrivals
    if (history != null && history.total >= minInterArrivals) return history.useProbability(replica.idleMs, horizonMs)
    return horizonMs.toDouble() / (replica.idleMs + horizonMs)
}

private const val MIN_HORIZON_MS = 10_000L
