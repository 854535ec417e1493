/*
 * Limits retries and hedges to a fraction of the requests, for each endpoint and team: every request adds a part of a
 * token, every retry takes a whole one. When an endpoint fails, the load on it grows by that fraction at most, however
 * many callers wait.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId

/** Asks whether one more attempt may be made. */
public fun interface RetryPermit {
    /** Takes one retry out of the budget and returns true, or returns false when none is left. */
    public fun tryAcquire(): Boolean
}

/** How many retries a [RetryBudgets] allows. */
public data class RetryBudgetSettings(
    val retriesPerRequest: Double = 0.1,
    val initialRetries: Double = 10.0,
    val maxRetries: Double = 100.0,
    val maxBudgets: Int = 20_000,
)

/** Keeps the budgets of the most recently used endpoints and teams; safe for use by several threads. */
public class RetryBudgets(private val settings: RetryBudgetSettings = RetryBudgetSettings()) {
    private data class BudgetKey(val endpointId: EndpointId, val teamId: TeamId)

    private class Budget(var retries: Double)

    private val shards = List(SHARDS) { newShard() }

    /** Counts a request, which pays for a part of a retry. */
    public fun countRequest(endpointId: EndpointId, teamId: TeamId) {
        withBudget(endpointId, teamId) { budget ->
            budget.retries = minOf(settings.maxRetries, budget.retries + settings.retriesPerRequest)
        }
    }

    /** Takes one retry out of the budget and returns true, or returns false when none is left. */
    public fun tryAcquireRetry(endpointId: EndpointId, teamId: TeamId): Boolean =
        withBudget(endpointId, teamId) { budget ->
            val allowed = budget.retries >= 1.0
            if (allowed) budget.retries -= 1.0
            allowed
        }

    private fun newShard() = object : LinkedHashMap<BudgetKey, Budget>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<BudgetKey, Budget>): Boolean =
            size > settings.maxBudgets / SHARDS
    }

    private fun <T> withBudget(endpointId: EndpointId, teamId: TeamId, use: (Budget) -> T): T {
        val key = BudgetKey(endpointId, teamId)
        val shard = shards[Math.floorMod(key.hashCode(), SHARDS)]
        return synchronized(shard) { use(shard.getOrPut(key) { Budget(settings.initialRetries) }) }
    }

    private companion object {
        const val SHARDS = 16
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
