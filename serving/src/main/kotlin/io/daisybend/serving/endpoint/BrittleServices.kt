/*
 * Which services have brittle engines, by their answers and by the reports of the peers: one engine that says so speaks
 * for all of its service.
 */
package io.daisybend.serving.endpoint

/** What one VM says of a service whose engines are brittle. */
public data class BrittleService(
    val service: String,
    /** What an engine may turn away in a second. */
    val limit: Int,
    /** Time since an engine last said so to that VM, in milliseconds, or null if only peers were told. */
    val saidAgoMs: Long?,
    /** Whether that VM has requests for the service. */
    val isActive: Boolean,
)

/** A service whose engines have become brittle, with their [limit], or are brittle no longer. */
internal data class BrittleChange(val service: String, val limit: Int?)

/** What is known of one service; used under the lock of [BrittleEngines]. */
internal class BrittleServiceState {
    private class Said(val limit: Int, val atMs: Long)

    private val saidBy = HashMap<Incarnation, Said>()
    private val reportedBy = HashMap<String, Said>()
    private val activePeersAtMs = HashMap<String, Long>()
    private val activity = Activity()

    /** How often requests of this VM end. */
    val turns = TurnRate()

    /** The shares of this VM, or null before they are computed for the current VMs and endpoints. */
    var shares: BrittleShares? = null

    /** The lowest limit that was named, or null if the engines are not brittle. */
    var limit: Int? = null
        private set

    private var saidAtMs = NEVER
    private var notSaidAtMs = NEVER

    /** Whether the engines were brittle when they were last heard, and that was some time ago. */
    val isDoubtful: Boolean get() = limit != null && saidBy.isEmpty() && reportedBy.isEmpty()

    /** Records that [endpoint] named [limit]; returns whether that may change anything. */
    fun onSaid(endpoint: Incarnation, limit: Int, nowMs: Long): Boolean {
        saidAtMs = nowMs
        saidBy[endpoint] = Said(limit, nowMs)
        return this.limit.let { it == null || limit < it }
    }

    /** Records that an answer of [endpoint] named no limit; returns whether that may change anything. */
    fun onNotSaid(endpoint: Incarnation, nowMs: Long): Boolean {
        notSaidAtMs = nowMs
        return saidBy.remove(endpoint) != null || isDoubtful
    }

    /** Applies the [report] of [peer], or that it has none. */
    fun onPeerReport(peer: String, report: BrittleService?, nowMs: Long) {
        if (report?.isActive == true) activePeersAtMs[peer] = nowMs else activePeersAtMs.remove(peer)
        val agoMs = report?.saidAgoMs ?: return
        val atMs = nowMs - agoMs.coerceAtLeast(0)
        reportedBy[peer] = Said(report.limit.coerceAtLeast(1), atMs)
        saidAtMs = maxOf(saidAtMs, atMs)
    }

    /**
     * Forgets what is old at [nowMs]. A VM that has had no answer since goes on as before: it may have nothing but
     * requests that wait, and would send all of them at once. Returns whether the service is brittle now and was not,
     * or the reverse.
     */
    fun refresh(nowMs: Long): Boolean {
        saidBy.values.removeIf { nowMs - it.atMs >= MEMORY_MS }
        reportedBy.values.removeIf { nowMs - it.atMs >= MEMORY_MS }
        val mayGoOn = saidAtMs > notSaidAtMs && nowMs - saidAtMs < DOUBT_MS
        val newLimit = (saidBy.values + reportedBy.values).minOfOrNull { it.limit } ?: limit.takeIf { mayGoOn }
        val isChanged = (newLimit == null) != (limit == null)
        if (newLimit != limit) shares = null
        limit = newLimit
        return isChanged
    }

    /** Returns what the peers should know of the service called [name] at [nowMs], or null if it is not brittle. */
    fun report(name: String, isRunning: Boolean, nowMs: Long): BrittleService? {
        val limit = limit ?: return null
        val saidAgoMs = saidBy.values.maxOfOrNull { it.atMs }?.let { nowMs - it }
        return BrittleService(name, limit, saidAgoMs, isRunning || activity.isActive(nowMs))
    }

    /** Records that a request of this VM wants an endpoint at [nowMs]. */
    fun onWanted(nowMs: Long) = activity.onWanted(nowMs)

    /**
     * Returns how many slots beyond its share this VM may use of an endpoint with [slots], of which [known] are in use.
     * A VM that has just become active waits until the reports of all others that did so too must have arrived.
     */
    fun lentSlots(slots: Int, known: Int, fleet: BrittleFleet, nowMs: Long): Int {
        val settledMs = REPORTS_TO_SETTLE * fleet.reportMs + SETTLE_MARGIN_MS
        val vms = fleet.vms.size.coerceAtLeast(1)
        val slotsPerSpare = if ((limit ?: 0) < vms) SLOTS_PER_CAREFUL_SPARE else SLOTS_PER_SPARE
        val spare = (slots / slotsPerSpare).coerceAtLeast(1)
        if (!fleet.isInTouch || known >= slots - spare || activity.activeMs(nowMs) < settledMs) return 0
        val active = 1 + activePeersAtMs.count { nowMs - it.value < settledMs + fleet.reportMs }
        val kept = active * ((slots + vms - 1) / vms)
        return ((slots - spare - kept) / active).coerceAtLeast(0)
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 4

        /** How long a service counts as brittle that this VM hears nothing of, in milliseconds. */
        const val DOUBT_MS = 60_000L

        /** How long engines count as brittle after the last answer that said so, in milliseconds. */
        const val MEMORY_MS = 5_000L

        /** Slots of an endpoint for each one that is not lent: peers' requests since their last reports. */
        const val SLOTS_PER_SPARE = 16

        /** The same for VMs that may hardly have requests turned away. */
        const val SLOTS_PER_CAREFUL_SPARE = 3

        /** Reports after which all other VMs that became active at the same time are known, one of them lost. */
        const val REPORTS_TO_SETTLE = 2L
        const val SETTLE_MARGIN_MS = 100L
    }
}

/** Since when this VM has had requests for a service. */
internal class Activity {
    private var sinceMs = NEVER
    private var wantedAtMs = NEVER

    /** Records a request at [nowMs]. */
    fun onWanted(nowMs: Long) {
        if (!isActive(nowMs)) sinceMs = nowMs
        wantedAtMs = nowMs
    }

    /** Returns whether there was a request shortly before [nowMs]. */
    fun isActive(nowMs: Long): Boolean = nowMs - wantedAtMs < PAUSE_MS

    /** Returns how long there have been requests without a pause, in milliseconds. */
    fun activeMs(nowMs: Long): Long = if (isActive(nowMs)) nowMs - sinceMs else 0

    private companion object {
        const val NEVER = Long.MIN_VALUE / 4

        /** Time without a request after which a VM is not active, in milliseconds. */
        const val PAUSE_MS = 1_000L
    }
}

/** How often requests of this VM end. */
internal class TurnRate {
    private val endedAtMs = ArrayDeque<Long>()

    /** Records the end of a request at [nowMs]. */
    fun onEnded(nowMs: Long) {
        endedAtMs.addLast(nowMs)
        if (endedAtMs.size > MAX_ENDS) endedAtMs.removeFirst()
    }

    /** Returns the mean time between ends at [nowMs], in milliseconds, or 0 if there were few lately. */
    fun turnMs(nowMs: Long): Long {
        if (endedAtMs.size < MIN_ENDS || nowMs - endedAtMs.last() > MAX_AGE_MS) return 0
        return (nowMs - endedAtMs.first()) / endedAtMs.size
    }

    private companion object {
        const val MAX_ENDS = 16
        const val MIN_ENDS = 4
        const val MAX_AGE_MS = 5_000L
    }
}
