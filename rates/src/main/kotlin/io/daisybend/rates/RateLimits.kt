/*
 * The limits of a team and their split into seats. A team's token bucket is divided into a fixed number of seats, each
 * a bucket of its own with an equal part of the rate and of the burst, so that the sum over all seats never exceeds the
 * team's limits. Amounts are integers in millionths of a token. The refill rate stays below the nominal one by more
 * than two clocks may differ, and the capacity is smaller by one millisecond of refill because clocks tick in whole
 * milliseconds.
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
    val seatsPerTeam: Int = 3,
    val termMs: Long = 30_000,
    val renewIntervalMs: Long = 10_000,
    val longestExtensionMs: Long = 7_200_000,
    val grantValidityMs: Long = 2_000,
    val askTimeoutMs: Long = 250,
    val maxAskRounds: Int = 3,
    val claimStaggerMs: Long = 1_000,
    val claimRetryMs: Long = 3_000,
    val rebalanceIntervalMs: Long = 10_000,
    val snapshotIntervalRecords: Long = 500,
    val settlementDelayMs: Long = 100,
) {
    /** The time after which an asker's grant has certainly ended, counted by another clock from a later moment. */
    internal val grantExpiryMs: Long get() = withDriftMargin(grantValidityMs)

    /** The time after which a holder's term has certainly ended, counted by another clock from a later moment. */
    internal val termExpiryMs: Long get() = withDriftMargin(termMs)

    /** The time after which no extension can still run, counted by another clock from a later moment. */
    internal val extensionExpiryMs: Long get() = withDriftMargin(longestExtensionMs)

    private fun withDriftMargin(durationMs: Long) = durationMs + durationMs / DRIFT_DIVISOR + CLOCK_MARGIN_MS

    private companion object {
        const val DRIFT_DIVISOR = 500L
        const val CLOCK_MARGIN_MS = 20L
    }
}

/** One seat's part of a team's limits. */
internal data class SeatShare(val refillMicroTokensPerMs: Long, val capacityMicroTokens: Long)

/** Returns the part of these limits that each of [seatsPerTeam] seats gets. */
internal fun TeamLimits.seatShare(seatsPerTeam: Int): SeatShare {
    val nominalPerMs = rateTokensPerSecond * MICRO_TOKENS_PER_MS_AT_ONE_TOKEN_PER_SECOND
    val refillPerMs = nominalPerMs / PER_MILLE * REFILL_PER_MILLE / seatsPerTeam
    val capacity = burstTokens * MICRO_TOKENS_PER_TOKEN / seatsPerTeam - nominalPerMs / seatsPerTeam - 1
    return SeatShare(refillPerMs, capacity.coerceAtLeast(0))
}

/** Returns the seats of [teamId]. */
internal fun RateSettings.seatIds(teamId: TeamId): List<SeatId> = List(seatsPerTeam) { SeatId(teamId, it) }
