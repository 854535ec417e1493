/*
 * Decides whether a VM's configuration is confirmed to be the newest. The log confirms it, directly or through a VM
 * that read the log; a confirmation counts from the time at which it was requested. Without a recent confirmation by
 * the log, most VMs must respond, and this VM must not be behind the highest known offset; a VM that already serves may
 * be behind for at most [FollowerSettings.freshnessMs]. Most VMs have replayed every accepted change, so at least one
 * of those that respond knows it. A restarted VM has lost what it replayed, so it counts towards a majority only after
 * the log, or a majority without it, has confirmed its configuration.
 */
package io.daisybend.configuration

internal class FreshnessTracker(private val settings: FollowerSettings, private val peerContacts: PeerContacts) {
    private var freshness: Freshness = Freshness.Unconfirmed
    private var isHalted = false
    private var behindSinceMs: Long? = null
    private var unconfirmedSinceMs: Long? = null

    /** The time up to which all records of the log are known to be replayed. */
    var confirmedAtMs: Long? = null
        private set

    /** The highest next offset that any VM is known to have reached. */
    var knownOffset: Long = 0
        private set

    /** Whether this VM counts towards a majority. */
    var isVoter: Boolean = false
        private set

    private val isServing: Boolean get() = freshness !is Freshness.Unconfirmed

    fun raiseKnownOffset(offset: Long) {
        knownOffset = maxOf(knownOffset, offset)
    }

    fun confirm(atMs: Long) {
        if (!isHalted) confirmedAtMs = maxOf(confirmedAtMs ?: atMs, atMs)
    }

    /** Revokes the confirmation permanently, because this VM cannot read newer records. */
    fun halt() {
        isHalted = true
        confirmedAtMs = null
    }

    fun isConfirmedByLog(nowMs: Long): Boolean =
        confirmedAtMs?.let { nowMs - it <= settings.freshnessMs } == true

    /** Returns the freshness at [nowMs]; [nextOffset] is that of this VM, or null if it has no configuration yet. */
    fun freshnessAt(nowMs: Long, nextOffset: Long?): Freshness = when {
        isHalted || nextOffset == null -> Freshness.Unconfirmed
        isConfirmedByLog(nowMs) -> Freshness.ConfirmedByLog
        isConfirmedByPeers(nowMs) -> Freshness.ConfirmedByPeers
        else -> Freshness.Unconfirmed
    }

    fun isReplayedByMajority(offset: Long, nowMs: Long): Boolean =
        isVoter && peerContacts.isMajority(ownVotes = 1, nowMs - settings.freshnessMs, settings.minSampleSize, offset)

    /** Updates the freshness at [nowMs] and returns the resulting actions. */
    fun update(nowMs: Long, nextOffset: Long?): List<FollowerAction> {
        val isBehind = (nextOffset ?: 0) < knownOffset
        behindSinceMs = if (isBehind) behindSinceMs ?: nowMs else null
        val newFreshness = freshnessAt(nowMs, nextOffset)
        if (newFreshness !is Freshness.Unconfirmed) isVoter = true
        return listOfNotNull(transitionTo(newFreshness, nowMs), cancelRequestsIfDue(nowMs))
    }

    private fun transitionTo(newFreshness: Freshness, nowMs: Long): FollowerAction? {
        if (newFreshness == freshness) return null
        unconfirmedSinceMs = if (newFreshness is Freshness.Unconfirmed) nowMs else null
        freshness = newFreshness
        return FollowerAction.SetFreshness(newFreshness)
    }

    private fun cancelRequestsIfDue(nowMs: Long): FollowerAction? {
        val sinceMs = unconfirmedSinceMs ?: return null
        if (nowMs - sinceMs < settings.cancelRequestsAfterMs) return null
        unconfirmedSinceMs = null
        return FollowerAction.CancelAuthenticatedRequests
    }

    private fun isConfirmedByPeers(nowMs: Long): Boolean {
        val sinceMs = behindSinceMs
        if (sinceMs != null && (!isServing || nowMs - sinceMs > settings.freshnessMs)) return false
        val ownVotes = if (isVoter) 1 else 0
        return peerContacts.isMajority(ownVotes, nowMs - settings.freshnessMs, settings.minSampleSize)
    }
}
