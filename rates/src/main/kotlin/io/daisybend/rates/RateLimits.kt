/*
 * The limits of a team and their division into shards. Each shard is a token bucket with an equal part of the team's
 * rate and burst, so that the sum over all shards never exceeds the limits; amounts are integers in millionths of a
 * token. The refill rate is lower than the nominal one by more than the drift between two clocks, and the capacity is
 * reduced by one millisecond of refill because clocks count whole milliseconds.
 */
package io.daisybend.rates

import io.daisybend.kernel.TeamId
import kotlinx.serialization.Serializable

internal const val MICRO_TOKENS_PER_TOKEN: Long = 1_000_000L
private const val MICRO_TOKENS_PER_MS_AT_ONE_TOKEN_PER_SECOND = 1_000L
private const val REFILL_PER_MILLE = 999L
private const val PER_MILLE = 1_000L

/** The limits of a team over all VMs. */
@Serializable
public data class TeamLimits(val rateTokensPerSecond: Long, val burstTokens: Long)

/** Times and counts that must be equal on all VMs of a site; a VM with other values could exceed the limits. */
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
    /** The time after which a grant has expired on the requester's clock, counted by any clock from a later start. */
    internal val grantExpiryMs: Long get() = withDriftMargin(grantValidityMs)

    /** The time after which a lease has expired on the holder's clock, counted by any clock from a later start. */
    internal val leaseExpiryMs: Long get() = withDriftMargin(leaseDurationMs)

    /** The time after which no lease extension can still run, counted by any clock from a later start. */
    internal val extensionExpiryMs: Long get() = withDriftMargin(maxExtensionMs)

    private fun withDriftMargin(durationMs: Long) = durationMs + durationMs / DRIFT_MARGIN_DIVISOR + CLOCK_MARGIN_MS

    private companion object {
        const val DRIFT_MARGIN_DIVISOR = 500L
        const val CLOCK_MARGIN_MS = 20L
    }
}

/** The refill rate and capacity of one shard. */
internal data class ShardLimits(val refillMicroTokensPerMs: Long, val capacityMicroTokens: Long)

/** Returns the limits of each of [shardsPerTeam] shards of a team with these limits. */
internal fun TeamLimits.shardLimits(shardsPerTeam: Int): ShardLimits {
    val nominalPerMs = rateTokensPerSecond * MICRO_TOKENS_PER_MS_AT_ONE_TOKEN_PER_SECOND
    val refillPerMs = nominalPerMs / PER_MILLE * REFILL_PER_MILLE / shardsPerTeam
    val capacity = burstTokens * MICRO_TOKENS_PER_TOKEN / shardsPerTeam - nominalPerMs / shardsPerTeam - 1
    return ShardLimits(refillPerMs, capacity.coerceAtLeast(0))
}

/** Returns the ids of the shards of [teamId]. */
internal fun RateSettings.shardIds(teamId: TeamId): List<ShardId> = List(shardsPerTeam) { ShardId(teamId, it) }
