/*
 * The seats of one team that this process holds. A seat spends only while its term runs; a process that was paused
 * finds the term over as soon as it reads the clock again. A closed seat spends no more.
 */
package io.daisybend.rates

internal class HeldSeats(private var share: SeatShare) {
    private class OpenSeat(val bucket: SeatBucket, var termEndMs: Long)

    private val seats = HashMap<Int, OpenSeat>()

    /** The seats whose term runs. */
    fun runningSeats(nowMs: Long): List<Int> = seats.filterValues { nowMs < it.termEndMs }.keys.sorted()

    val grantCount: Int get() = seats.values.sumOf { it.bucket.grantCount }

    fun open(seatIndex: Int, balanceMicroTokens: Long?, refillFromMs: Long, termEndMs: Long) {
        val bucket = SeatBucket(share, balanceMicroTokens ?: share.capacityMicroTokens, refillFromMs)
        seats[seatIndex] = OpenSeat(bucket, termEndMs)
    }

    fun extend(seatIndex: Int, termEndMs: Long) {
        val seat = seats[seatIndex] ?: return
        seat.termEndMs = maxOf(seat.termEndMs, termEndMs)
    }

    /** Closes the seat and returns what it held, 0 when its term is over. */
    fun close(seatIndex: Int, nowMs: Long): Long {
        val seat = seats.remove(seatIndex) ?: return 0
        return if (nowMs < seat.termEndMs) seat.bucket.drain(nowMs) else 0
    }

    fun changeShare(newShare: SeatShare, nowMs: Long) {
        share = newShare
        seats.values.forEach { it.bucket.changeShare(newShare, nowMs) }
    }

    fun balanceMicroTokens(seatIndex: Int, nowMs: Long): Long =
        running(seatIndex, nowMs)?.balanceMicroTokens(nowMs) ?: 0

    fun grant(seatIndex: Int, grantId: GrantId, wantedMicroTokens: Long, expiresAtMs: Long, nowMs: Long): Long =
        running(seatIndex, nowMs)?.grant(grantId, wantedMicroTokens, expiresAtMs, nowMs) ?: 0

    fun confirm(seatIndex: Int, grantId: GrantId, nowMs: Long) {
        seats[seatIndex]?.bucket?.confirm(grantId, nowMs)
    }

    fun settle(seatIndex: Int, grantId: GrantId, returnedMicroTokens: Long, nowMs: Long) {
        seats[seatIndex]?.bucket?.settle(grantId, returnedMicroTokens, nowMs)
    }

    /** Notes what [asker] says about its grant. */
    fun apply(grant: SettledGrant, asker: HolderId, nowMs: Long) {
        val grantId = GrantId(asker, grant.askNumber)
        when (val returned = grant.returnedMicroTokens) {
            null -> confirm(grant.seatIndex, grantId, nowMs)
            else -> settle(grant.seatIndex, grantId, returned, nowMs)
        }
    }

    private fun running(seatIndex: Int, nowMs: Long) = seats[seatIndex]?.takeIf { nowMs < it.termEndMs }?.bucket
}
