/*
 * The loads from the weight store that one VM orders for all engines: how many may start under the rate of the store,
 * and how many may be under way together.
 */
package io.daisybend.serving.residency

/** Limits the loads from the weight store, with the rate over [windowMs] milliseconds; not thread-safe. */
public class StoreLoads(windowMs: Long) {
    private val limiter = StoreLoadLimiter(windowMs)
    private val concurrency = StoreConcurrency()

    /** The loads that may be under way together. */
    public val limit: Int get() = concurrency.limit

    /** Counts the loads of the last holder beside those that this VM started, and adopts the limit that it learned. */
    public fun succeed(predecessor: PredecessorLoads) {
        limiter.inherit(predecessor)
        predecessor.limit?.let(concurrency::adopt)
    }

    /** Returns the loads of [engines] that are under way at [nowMs], or may be. */
    public fun underWay(engines: Collection<EngineTracker>, nowMs: Long): Int =
        engines.count { it.mayLoadFromStore(nowMs) }

    /**
     * Returns the loads that the engines of one service may have at [nowMs] under [loadsPerSecond]; [others], the
     * engines of other services, share the limit.
     */
    public fun allowance(
        others: Collection<EngineTracker>,
        loadsPerSecond: Double,
        nowMs: Long,
    ): StoreLoadAllowance = StoreLoadAllowance(
        starts = limiter.availableLoads(nowMs, loadsPerSecond),
        concurrent = (limit - underWay(others, nowMs)).coerceAtLeast(0),
    )

    /**
     * Records a load that is sent at [nowMs] beside those of all [engines]. Returns the loads under way with this one,
     * or 0 while an engine executes an unknown order.
     */
    public fun onSent(engines: Collection<EngineTracker>, nowMs: Long): Int {
        limiter.onLoadStarted(nowMs)
        return if (engines.any { it.hasUnknownOrder }) 0 else underWay(engines, nowMs) + 1
    }

    /** Learns from [load], which takes [coldLoadMs] by itself and which a report showed as ended at [nowMs]. */
    public fun onEnded(load: RunningLoad, coldLoadMs: Long, nowMs: Long) {
        if (load.concurrentStoreLoads == 0) return
        concurrency.onLoadEnded(load.concurrentStoreLoads, nowMs - load.startedAtMs, coldLoadMs, nowMs)
    }
}
