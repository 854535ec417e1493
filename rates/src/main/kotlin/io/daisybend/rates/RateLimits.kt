/*
 * The limits of a team and their split into shards. A team's token bucket is divided into a fixed number of shards,
 * each a bucket of its own with an equal part of the rate and of the burst, so that the sum over all shards never
 * exceeds the team's limits. Amounts are integers in millionths of a token. The refill rate stays below the nominal one
 * by more than two clocks may differ, and the capacity is smaller by one millisecond of refill because clocks tick in
 * whole milliseconds.
 */
package io.daisybend.rates

import io.daisybend.kernel.TeamId
import kotlinx.serialization.Serializable

internal const val MICRO_TOKENS_PER_TOKEN: Long = 1_000_000L
private const val MICRO_TOKENS_PER_MS_AT_ONE_TOKEN_PER_SECOND = 1_000L
private const val REFILL_PER_MILLE = 999L
private const val PER_MILLE = 1_000L

/** The fleet-wide limits of a team. */
@Serializable
public data class TeamLimits(val rateTokensPerSecond: Long, val burstTokens: Long)

/** Times and counts that all VMs of a site share; a VM with other values would break the limits. */
public data class RateSettings(
    val shardsPerTeam: Int = 3,
    val leaseDurationMs: Long = 30_000,
    val renewIntervalMs: Long = 10_000,
    val maxExtensionMs: Long = 7_200_000,
    val grantValidityMs: Long = 2_000,
    val grantRequestTimeoutMs: Long = 250,
    val maxGrantRounds: Int = 3,
    val claimStaggerMs: Long = 1_000,
    val claimRetryMs: Long = 3_000,
    val rebalanceIntervalMs: Long = 10_000,
    val snapshotIntervalRecords: Long = 500,
    val settlementDelayMs: Long = 100,
) {
    /** The time after which an requester's grant has certainly ended, counted by another clock from a later moment. */
    internal val grantExpiryMs: Long get() = withDriftMargin(grantValidityMs)

    /** The time after which a holder's term has certainly ended, counted by another clock from a later moment. */
    internal val leaseExpiryMs: Long get() = withDriftMargin(leaseDurationMs)

    /** The time after which no extension can still run, counted by another clock from a later moment. */
    internal val extensionExpiryMs: Long get() = withDriftMargin(maxExtensionMs)

    private fun withDriftMargin(durationMs: Long) = durationMs + durationMs / DRIFT_DIVISOR + CLOCK_MARGIN_MS

    private companion object {
        const val DRIFT_DIVISOR = 500L
        const val CLOCK_MARGIN_MS = 20L
    }
}

/** One shard's part of a team's limits. */
internal data class ShardLimits(val refillMicroTokensPerMs: Long, val capacityMicroTokens: Long)

/** Returns the part of these limits that each of [shardsPerTeam] shards gets. */
internal fun TeamLimits.shardLimits(shardsPerTeam: Int): ShardLimits {
    val nominalPerMs = rateTokensPerSecond * MICRO_TOKENS_PER_MS_AT_ONE_TOKEN_PER_SECOND
    val refillPerMs = nominalPerMs / PER_MILLE * REFILL_PER_MILLE / shardsPerTeam
    val capacity = burstTokens * MICRO_TOKENS_PER_TOKEN / shardsPerTeam - nominalPerMs / shardsPerTeam - 1
    return ShardLimits(refillPerMs, capacity.coerceAtLeast(0))
}

/** Returns the shards of [teamId]. */
internal fun RateSettings.shardIds(teamId: TeamId): List<ShardId> = List(shardsPerTeam) { ShardId(teamId, it) }
