/*
 * What the holders of a team's seats have last said about their balances.
 */
package io.daisybend.rates

/** A seat to draw from: how much it may give at most, and how much it probably has. */
internal class TokenSource(
    val seatIndex: Int,
    val holder: HolderId,
    val availableMicroTokens: Long,
    val preferenceMicroTokens: Long,
)

internal class SeatReports {
    private class SeatReport(val balanceMicroTokens: Long, val atMs: Long)

    private val reports = HashMap<Int, SeatReport>()

    fun note(seatIndex: Int, balanceMicroTokens: Long, nowMs: Long) {
        reports[seatIndex] = SeatReport(balanceMicroTokens.coerceAtLeast(0), nowMs)
    }

    fun forget(seatIndex: Int) {
        reports.remove(seatIndex)
    }

    fun clear(): Unit = reports.clear()

    /** A seat held here is preferred unless another seems to hold much more. */
    fun ownSource(seatIndex: Int, self: HolderId, balanceMicroTokens: Long, share: SeatShare): TokenSource {
        val bonus = share.capacityMicroTokens / OWN_SEAT_BONUS_DIVISOR
        return TokenSource(seatIndex, self, balanceMicroTokens, balanceMicroTokens + bonus)
    }

    /** What an old report says is good enough to rank a seat, but not to do without asking its holder. */
    fun remoteSource(seatIndex: Int, holder: HolderId, share: SeatShare, nowMs: Long): TokenSource {
        val capacity = share.capacityMicroTokens
        val report = reports[seatIndex] ?: return TokenSource(seatIndex, holder, capacity, capacity)
        val ageMs = nowMs - report.atMs
        val refilled = if (ageMs > LONGEST_REFILL_MS) capacity else ageMs * share.refillMicroTokensPerMs
        val estimate = (report.balanceMicroTokens + refilled).coerceIn(0, capacity)
        val available = if (ageMs > REPORT_LIFETIME_MS) capacity else estimate
        return TokenSource(seatIndex, holder, available, estimate)
    }

    private companion object {
        const val REPORT_LIFETIME_MS = 500L
        const val LONGEST_REFILL_MS = 3_600_000L
        const val OWN_SEAT_BONUS_DIVISOR = 4
    }
}
