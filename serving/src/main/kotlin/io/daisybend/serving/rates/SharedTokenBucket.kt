/*
 * The token bucket of one team, shared by all VMs. Each VM keeps a copy of the whole bucket and deducts its own use at
 * once and the use of its peers when they report it. The refill excludes an equal share of the rate for each known peer
 * that is out of contact, so VMs that are cut off from each other do not exceed the rate of the team together. What is
 * withheld for a peer is kept in an account: use that the peer reports later is taken from it first, and the rest is
 * given back when the peer is in contact again.
 */
package io.daisybend.serving.rates

import kotlin.math.abs

/** The copy of a team's token bucket on one VM; not thread-safe. */
public class SharedTokenBucket(ratePerSecond: Double, burst: Double, nowMs: Long) {
    private var ratePerSecond = ratePerSecond
    private var burst = burst
    private var refilledAtMs = nowMs
    private var approachedAtMs = nowMs
    private val reserves = HashMap<String, Reserve>()

    /** Tokens withheld for a peer since [sinceMs]. */
    private class Reserve(val sinceMs: Long) {
        var amount = 0.0
    }

    /** The tokens left; below zero after a request that cost more than was left. */
    public var level: Double = burst * INITIAL_LEVEL_SHARE
        private set

    /** The total cost that this VM has admitted since its start, less refunds. */
    public var netAdmitted: Double = 0.0
        private set

    /** Sets a new rate and burst from [nowMs] on. */
    public fun updateLimit(ratePerSecond: Double, burst: Double, nowMs: Long) {
        refill(nowMs, unreachableShare = 0.0)
        if (burst > this.burst) level += burst - this.burst
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = level.coerceAtMost(burst)
    }

    /**
     * Refills the bucket up to [nowMs] at the rate less the [unreachableShare] reserved for peers out of contact, and
     * up to the burst less [reservedBurstShare]: parts of a fleet that are cut off have one burst together.
     */
    public fun refill(nowMs: Long, unreachableShare: Double, reservedBurstShare: Double = 0.0) {
        val elapsedMs = (nowMs - refilledAtMs).coerceAtLeast(0)
        refilledAtMs = nowMs
        val share = (1.0 - unreachableShare).coerceIn(0.0, 1.0)
        val capacity = burst * (1.0 - reservedBurstShare).coerceIn(0.0, 1.0)
        level = (level + ratePerSecond * share * elapsedMs / MILLIS_PER_SECOND).coerceAtMost(capacity)
    }

    /**
     * Withholds the refill up to [nowMs] for the [peerShare] of all peers if this VM has not run for long: their use in
     * that time is not known yet, and without an account it would be deducted from a level that the burst capped.
     */
    public fun withholdAfterStandstill(nowMs: Long, peerShare: Double) {
        val elapsedMs = nowMs - refilledAtMs
        if (elapsedMs < STANDSTILL_MS) return
        reserve(ANY_PEER, peerShare, elapsedMs, nowMs)
        refill(nowMs, peerShare)
    }

    /** Gives back what is left of the refill withheld after a standstill, once the peers' reports have come. */
    public fun releaseAfterStandstill(nowMs: Long) {
        val reserve = reserves[ANY_PEER] ?: return
        if (nowMs - reserve.sinceMs >= STANDSTILL_MS) release(ANY_PEER, Long.MAX_VALUE, nowMs)
    }

    /**
     * Leaves this VM the [keptShare] of the level, also of a debt, and the rest to the [peers], which lose contact with
     * it at [nowMs]: the parts of a fleet have one level together.
     */
    public fun split(peers: Collection<String>, keptShare: Double, nowMs: Long) {
        if (peers.isEmpty()) return
        val given = level * (1.0 - keptShare)
        level -= given
        peers.forEach { reserves.getOrPut(it) { Reserve(nowMs) }.amount += given / peers.size }
    }

    /** Admits a request of [cost] when more than [neededLevel] tokens are left; the level may fall below zero. */
    public fun admit(cost: Double, neededLevel: Double = 0.0): Boolean {
        if (level <= neededLevel) return false
        level -= cost
        netAdmitted += cost
        return true
    }

    /** Refunds the [cost] of a request that did not run. */
    public fun refund(cost: Double) {
        level = (level + cost).coerceAtMost(burst)
        netAdmitted -= cost
    }

    /** Deducts the [amount] that a peer has used since its last report; negative when the peer refunded more. */
    public fun deductPeerUse(amount: Double) {
        level = (level - amount).coerceIn(-burst - ratePerSecond * MAX_DEBT_S, burst)
    }

    /** Withdraws what was refilled in the last [elapsedMs] for the [share] of the peers that were out of contact. */
    public fun withdrawRefill(share: Double, elapsedMs: Long) {
        deductPeerUse(ratePerSecond * share * elapsedMs / MILLIS_PER_SECOND)
    }

    /** Adds the refill of [elapsedMs] for the [share] of [peer], which is withheld from [nowMs] on, to its account. */
    public fun reserve(peer: String, share: Double, elapsedMs: Long, nowMs: Long) {
        reserves.getOrPut(peer) { Reserve(nowMs) }.amount += ratePerSecond * share * elapsedMs / MILLIS_PER_SECOND
    }

    /** Deducts the [amount] that [peer] has used since its last report, first from what is withheld for it. */
    public fun deductPeerUse(peer: String, amount: Double) {
        val reserve = reserves[peer] ?: reserves[ANY_PEER]
        val covered = amount.coerceIn(0.0, (reserve?.amount ?: 0.0).coerceAtLeast(0.0))
        reserve?.let { it.amount -= covered }
        deductPeerUse(amount - covered)
    }

    /**
     * Gives back what is withheld for [peer], which is in contact at [nowMs]. After an absence of more than [shortMs]
     * only a debt is returned: a bucket that learned of all use at once may have been full in between. With the whole
     * burst given back then, 75 VMs that had been cut off from each other admitted 1.034 times the bound of the rule.
     */
    public fun release(peer: String, shortMs: Long, nowMs: Long) {
        val reserve = reserves.remove(peer) ?: return
        val isShort = nowMs - reserve.sinceMs <= shortMs
        level = (level + if (isShort) reserve.amount else minOf(reserve.amount, 0.0)).coerceAtMost(burst)
    }

    /**
     * Moves the level towards [peerLevel], the level on a peer in contact, by the [weight] of what it differs beyond a
     * tolerance. A level that falls fast is older and higher in a report, so the level rises only slowly by this.
     */
    public fun approachLevel(peerLevel: Double, weight: Double, nowMs: Long) {
        val elapsedMs = (nowMs - approachedAtMs).coerceIn(0, MAX_APPROACH_ELAPSED_MS)
        approachedAtMs = nowMs
        val tolerance = ratePerSecond * APPROACH_TOLERANCE_MS / MILLIS_PER_SECOND
        val difference = peerLevel - level
        val excess = (abs(difference) - tolerance).coerceAtLeast(0.0) * weight
        val largestRise = ratePerSecond * MAX_APPROACH_RISE * elapsedMs / MILLIS_PER_SECOND
        level += if (difference > 0) excess.coerceAtMost(largestRise) else -excess
    }

    /** Replaces the level with [peerLevel], the level on a VM that has run for longer. */
    public fun adoptLevel(peerLevel: Double) {
        level = peerLevel.coerceAtMost(burst)
        reserves.values.forEach { it.amount = 0.0 }
    }

    /**
     * Returns the time until the level exceeds [neededLevel] at the rate less [unreachableShare], in milliseconds.
     */
    public fun retryAfterMs(unreachableShare: Double = 0.0, neededLevel: Double = 0.0): Long {
        val usableRate = ratePerSecond * (1.0 - unreachableShare)
        if (level > neededLevel || usableRate <= 0) return 0
        return ((neededLevel - level) / usableRate * MILLIS_PER_SECOND).toLong() + 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Share of the burst at start, so that a fleet of restarted VMs does not spend the whole burst on each VM. */
        const val INITIAL_LEVEL_SHARE = 0.25

        /**
         * Refill beyond the burst that a copy owes at most, in seconds. With 1 s and averaged levels, 75 VMs at 7.5
         * times the rate were forgiven what they owed beyond it and admitted 1.17 times the bound of the rule.
         */
        const val MAX_DEBT_S = 4.0

        /** Copies may differ by the refill of this time, about the age of a level that arrives, in milliseconds. */
        const val APPROACH_TOLERANCE_MS = 250.0

        /** Largest rise of the level by averaging, as a share of the refill at the full rate. */
        const val MAX_APPROACH_RISE = 1.0
        const val MAX_APPROACH_ELAPSED_MS = 100L

        /** Time without a refill, which maintenance does each 200 ms, after which a VM has not run, in milliseconds. */
        const val STANDSTILL_MS = 500L

        /** Account for the use of all peers while this VM stood still. */
        const val ANY_PEER = ""
    }
}
