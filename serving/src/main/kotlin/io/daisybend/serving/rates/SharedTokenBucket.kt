/*
 * The rate of one team over all VMs. Every VM keeps the whole bucket: it takes out its own use at once and that of its
 * peers when they report it. A peer that is known but silent, or that does not hear this VM, is counted as using an
 * equal part of the rate, so VMs that lost each other never use more together than the team has.
 */
package io.daisybend.serving.rates

/** The bucket of one team as one VM sees it; not safe for use by several threads. */
public class SharedTokenBucket(ratePerSecond: Double, burst: Double, nowMs: Long) {
    private var ratePerSecond = ratePerSecond
    private var burst = burst
    private var refilledAtMs = nowMs

    /** What is left; below zero while an admitted request is larger than what was left. */
    public var level: Double = burst * START_SHARE
        private set

    /** Everything that this VM has admitted and not returned. */
    public var ownUse: Double = 0.0
        private set

    /** Applies a new limit from [nowMs] on. */
    public fun change(ratePerSecond: Double, burst: Double, nowMs: Long) {
        refill(nowMs, silentShare = 0.0)
        if (burst > this.burst) level += burst - this.burst
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = level.coerceAtMost(burst)
    }

    /** Adds what has flowed in until [nowMs], less the [silentShare] of the rate counted for peers out of touch. */
    public fun refill(nowMs: Long, silentShare: Double) {
        val elapsedMs = (nowMs - refilledAtMs).coerceAtLeast(0)
        refilledAtMs = nowMs
        val share = (1.0 - silentShare).coerceIn(0.0, 1.0)
        level = (level + ratePerSecond * share * elapsedMs / MILLIS_PER_SECOND).coerceAtMost(burst)
    }

    /** Admits a request of [cost] when anything is left; a large one may take the bucket below zero. */
    public fun admit(cost: Double): Boolean {
        if (level <= 0.0) return false
        level -= cost
        ownUse += cost
        return true
    }

    /** Gives back [cost] of a request that did not run. */
    public fun refund(cost: Double) {
        level = (level + cost).coerceAtMost(burst)
        ownUse -= cost
    }

    /** Takes out what a peer has used since its last report; negative when it gave back. */
    public fun usedElsewhere(amount: Double) {
        level = (level - amount).coerceIn(-burst - ratePerSecond, burst)
    }

    /** Adopts the [peerLevel] of a VM that has run for longer. */
    public fun adopt(peerLevel: Double) {
        level = peerLevel.coerceAtMost(burst)
    }

    /** Returns how long it takes until something is left, in milliseconds. */
    public fun waitMs(): Long =
        if (level > 0 || ratePerSecond <= 0) 0 else ((-level / ratePerSecond) * MILLIS_PER_SECOND).toLong() + 1

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** The part of the burst that a VM without knowledge starts with: a fleet of restarted VMs keeps below it. */
        const val START_SHARE = 0.25
    }
}
