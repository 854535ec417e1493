/*
 * The balances last reported by the holders of a team's shards, and the estimates derived from them.
 */
package io.daisybend.rates

/** A shard to take tokens from: the most that it may grant, and the estimate by which sources are ranked. */
internal class TokenSource(
    val shardIndex: Int,
    val holder: HolderId,
    val availableMicroTokens: Long,
    val rankingMicroTokens: Long,
)

internal class BalanceReports {
    private class BalanceReport(val balanceMicroTokens: Long, val atMs: Long)

    private val reports = HashMap<Int, BalanceReport>()

    fun update(shardIndex: Int, balanceMicroTokens: Long, nowMs: Long) {
        reports[shardIndex] = BalanceReport(balanceMicroTokens.coerceAtLeast(0), nowMs)
    }

    fun remove(shardIndex: Int) {
        reports.remove(shardIndex)
    }

    fun clear(): Unit = reports.clear()

    /** Returns a local shard as a source; it ranks above remote shards with up to a quarter of the capacity more. */
    fun localSource(shardIndex: Int, self: HolderId, balanceMicroTokens: Long, limits: ShardLimits): TokenSource {
        val bonus = limits.capacityMicroTokens / LOCAL_SHARD_BONUS_DIVISOR
        return TokenSource(shardIndex, self, balanceMicroTokens, balanceMicroTokens + bonus)
    }

    /**
     * Returns a remote shard as a source. An old report is good enough to rank the shard, but its holder is asked even
     * if the report shows too few tokens.
     */
    fun remoteSource(shardIndex: Int, holder: HolderId, limits: ShardLimits, nowMs: Long): TokenSource {
        val capacity = limits.capacityMicroTokens
        val report = reports[shardIndex] ?: return TokenSource(shardIndex, holder, capacity, capacity)
        val ageMs = nowMs - report.atMs
        val refilled = if (ageMs > MAX_REFILL_MS) capacity else ageMs * limits.refillMicroTokensPerMs
        val estimate = (report.balanceMicroTokens + refilled).coerceIn(0, capacity)
        val available = if (ageMs > REPORT_LIFETIME_MS) capacity else estimate
        return TokenSource(shardIndex, holder, available, estimate)
    }

    private companion object {
        const val REPORT_LIFETIME_MS = 500L
        const val MAX_REFILL_MS = 3_600_000L
        const val LOCAL_SHARD_BONUS_DIVISOR = 4
    }
}
