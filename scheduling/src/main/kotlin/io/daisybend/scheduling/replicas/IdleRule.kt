/*
 * How long unused replicas stay loaded. An accelerator that serves one of its models is not idle, so the adaptive rule
 * looks at an endpoint as a whole: it keeps the replicas of an idle endpoint while the reloads that this is expected to
 * save, at a price, outweigh the idle time. For a model with few known uses the chance of the next use falls with the
 * time since the last, which unloads it after the time that a reload is worth.
 */
package io.daisybend.scheduling.replicas

/** Decides when unused replicas are unloaded. */
public sealed interface IdleRule {
    /** Keeps each replica for [keepAliveMs]. */
    public data class FixedTimeout(val keepAliveMs: Long) : IdleRule

    /** Keeps replicas until their memory is needed. */
    public data object Never : IdleRule

    /** Weighs reloads against idle time; a second of reload counts like [idleSecondsPerReloadSecond] of idle time. */
    public data class Adaptive(
        val idleSecondsPerReloadSecond: Double = 8.0,
        val minObservedInterArrivals: Int = 6,
        val maxKeepAliveMs: Long = 1_800_000,
    ) : IdleRule
}

/** A replica without requests: the time since its last use, what a reload takes and its known gaps. */
internal class IdleReplica(val idleMs: Long, val reloadMs: Long, val gaps: InterArrivalHistogram?)

/** Returns whether an endpoint that holds only idle [replicas] and was last used [idleMs] ago stays loaded. */
internal fun IdleRule.Adaptive.isWorthKeeping(replicas: List<IdleReplica>, idleMs: Long): Boolean {
    if (idleMs >= maxKeepAliveMs) return false
    val horizonMs = maxOf(MIN_HORIZON_MS, idleMs / 2)
    val savedReloadMs = replicas.sumOf { it.reloadMs * useProbability(it, horizonMs) }
    return savedReloadMs * idleSecondsPerReloadSecond >= horizonMs
}

private fun IdleRule.Adaptive.useProbability(replica: IdleReplica, horizonMs: Long): Double {
    val gaps = replica.gaps
    if (gaps != null && gaps.total >= minObservedInterArrivals) return gaps.useProbability(replica.idleMs, horizonMs)
    return horizonMs.toDouble() / (replica.idleMs + horizonMs)
}

private const val MIN_HORIZON_MS = 10_000L
