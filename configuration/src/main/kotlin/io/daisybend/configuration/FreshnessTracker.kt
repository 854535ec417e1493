/*
 * Decides whether a VM's configuration is known to be the newest. The log confirms it, directly or through a VM that
 * read the log; what a confirmation says holds from the time at which it was asked for. While the log is out of reach
 * for all VMs heard of, most VMs have to answer, and none may know more. An accepted change was replayed by most VMs,
 * so one of those heard knows it. A VM that restarted has forgotten what it replayed, so it counts towards a majority
 * only after the log or a majority without it has confirmed what it holds.
 */
package io.daisybend.configuration

internal class FreshnessTracker(private val settings: FollowerSettings, private val contacts: PeerContacts) {
    private var freshness: Freshness = Freshness.Unconfirmed
    private var halted = false
    private var behindSinceMs: Long? = null
    private var unconfirmedSinceMs: Long? = null

    /** The time up to which every record of the log is known to be replayed. */
    var confirmedAtMs: Long? = null
        private set

    /** The highest offset that any VM is known to have reached. */
    var knownOffset: Long = 0
        private set

    /** Whether this VM counts towards a majority. */
    var counts: Boolean = false
        private set

    private val hasServed: Boolean get() = freshness !is Freshness.Unconfirmed

    fun know(offset: Long) {
        knownOffset = maxOf(knownOffset, offset)
    }

    fun confirm(atMs: Long) {
        if (!halted) confirmedAtMs = maxOf(confirmedAtMs ?: atMs, atMs)
    }

    /** Ends all confirmation: this VM cannot read what comes. */
    fun halt() {
        halted = true
        confirmedAtMs = null
    }

    fun isConfirmedByLog(nowMs: Long): Boolean =
        confirmedAtMs?.let { nowMs - it <= settings.freshnessMs } == true

    /** Returns the freshness at [nowMs] of a VM that has replayed the records before [nextOffset], if any. */
    fun at(nowMs: Long, nextOffset: Long?): Freshness = when {
        halted || nextOffset == null -> Freshness.Unconfirmed
        isConfirmedByLog(nowMs) -> Freshness.ConfirmedByLog
        isConfirmedByPeers(nowMs) -> Freshness.ConfirmedByPeers
        else -> Freshness.Unconfirmed
    }

    fun isReplayedByMajority(offset: Long, nowMs: Long): Boolean =
        counts && contacts.isMajority(own = 1, nowMs - settings.freshnessMs, settings.minSample, offset)

    /** Notes the time and returns what changes with it. */
    fun update(nowMs: Long, nextOffset: Long?): List<FollowerAction> {
        val isBehind = (nextOffset ?: 0) < knownOffset
        behindSinceMs = if (isBehind) behindSinceMs ?: nowMs else null
        val next = at(nowMs, nextOffset)
        if (next !is Freshness.Unconfirmed) counts = true
        return listOfNotNull(changeTo(next, nowMs), endOfRequests(nowMs))
    }

    private fun changeTo(next: Freshness, nowMs: Long): FollowerAction? {
        if (next == freshness) return null
        unconfirmedSinceMs = if (next is Freshness.Unconfirmed) nowMs else null
        freshness = next
        return FollowerAction.SetFreshness(next)
    }

    private fun endOfRequests(nowMs: Long): FollowerAction? {
        val since = unconfirmedSinceMs ?: return null
        if (nowMs - since < settings.cancelRequestsAfterMs) return null
        unconfirmedSinceMs = null
        return FollowerAction.CancelAuthenticatedRequests
    }

    private fun isConfirmedByPeers(nowMs: Long): Boolean {
        val since = behindSinceMs
        if (since != null && (!hasServed || nowMs - since > settings.freshnessMs)) return false
        val own = if (counts) 1 else 0
        return contacts.isMajority(own, nowMs - settings.freshnessMs, settings.minSample)
    }
}
