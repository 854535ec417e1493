/*
 * Limits retries and hedges to a fraction of the requests, per endpoint and team. Each request adds a fraction of a
 * retry to the budget and each retry takes a whole one, so retries to a failing endpoint add at most that fraction to
 * its load, regardless of the number of waiting callers.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId

/** Decides whether one more attempt may be made. */
public fun interface RetryPermit {
    /** Takes one retry from the budget and returns true, or returns false if none is left. */
    public fun tryAcquire(): Boolean
}

/** Limits of [RetryBudgets]; a new budget starts with [initialRetries]. */
public data class RetryBudgetSettings(
    val retriesPerRequest: Double = 0.1,
    val initialRetries: Double = 10.0,
    val maxRetries: Double = 100.0,
    val maxBudgets: Int = 20_000,
)

/** Keeps the retry budgets of the most recently used pairs of endpoint and team; thread-safe. */
public class RetryBudgets(private val settings: RetryBudgetSettings = RetryBudgetSettings()) {
    private data class BudgetKey(val endpointId: EndpointId, val teamId: TeamId)

    private class Budget(var retries: Double)

    private val shards = List(SHARD_COUNT) { newShard() }

    /** Counts a request, which adds a fraction of a retry to the budget. */
    public fun countRequest(endpointId: EndpointId, teamId: TeamId) {
        withBudget(endpointId, teamId) { budget ->
            budget.retries = minOf(settings.maxRetries, budget.retries + settings.retriesPerRequest)
        }
    }

    /** Takes one retry from the budget and returns true, or returns false if none is left. */
    public fun tryAcquireRetry(endpointId: EndpointId, teamId: TeamId): Boolean =
        withBudget(endpointId, teamId) { budget ->
            val isAllowed = budget.retries >= 1.0
            if (isAllowed) budget.retries -= 1.0
            isAllowed
        }

    private fun newShard() = object : LinkedHashMap<BudgetKey, Budget>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<BudgetKey, Budget>): Boolean =
            size > settings.maxBudgets / SHARD_COUNT
    }

    private fun <T> withBudget(endpointId: EndpointId, teamId: TeamId, action: (Budget) -> T): T {
        val key = BudgetKey(endpointId, teamId)
        val shard = shards[Math.floorMod(key.hashCode(), SHARD_COUNT)]
        return synchronized(shard) { action(shard.getOrPut(key) { Budget(settings.initialRetries) }) }
    }

    private companion object {
        const val SHARD_COUNT = 16
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
