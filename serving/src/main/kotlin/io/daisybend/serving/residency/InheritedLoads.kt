/*
 * The model loads that the holders of the order duty announce, kept by each VM, so that a successor does not start with
 * nothing: it takes over the loads in progress, their expected ends, the limit on loads from the weight store that the
 * holder has learned, and the starts that count in the window of the store's rate. Announcements are lost, so what the
 * last holder may have started unheard has a bound.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.Incarnation

/**
 * A load of [model] that the holder announced, expected to end at [expectedAtMs] on the clock of this VM; [accepted] is
 * null while its order is still to be sent.
 */
public data class AnnouncedLoad(val model: String, val expectedAtMs: Long, val accepted: AcceptedLoad?)

/** A load that an engine has accepted at [startedAtMs]; see [RunningLoad] for the others. */
public data class AcceptedLoad(
    val startedAtMs: Long,
    val isFromStore: Boolean,
    val concurrentStoreLoads: Int,
    /** The limit of the holder on loads from the store, or 0 if it is not known. */
    val storeLoadLimit: Int,
)

/** The loads from the store of the last holder, whose right to order ended at [rightEndedAtMs]. */
public data class PredecessorLoads(
    val rightEndedAtMs: Long,
    /** The starts that this VM knows. */
    val startedAtMs: List<Long> = emptyList(),
    /** The loads that may have started beside them, under the rate of the store. */
    val unheardStarts: Int = Int.MAX_VALUE,
    /** The limit that the holder had learned, or null if it is not known. */
    val limit: Int? = null,
)

/** Follows the announcements of holders with the rate of the store over [windowMs] milliseconds; thread-safe. */
public class InheritedLoads(private val windowMs: Long) {
    private class Start(val engine: Incarnation, val model: String, val atMs: Long)

    private val lock = Any()
    private val loads = HashMap<Incarnation, AnnouncedLoad>()
    private var starts = ArrayList<Start>()
    private var limit: Int? = null
    private var holderHeardAtMs: Long? = null

    /** Records that a report of the holder arrived at [nowMs]. */
    public fun onHolderHeard(nowMs: Long): Unit = synchronized(lock) { holderHeardAtMs = nowMs }

    /** Applies the announcement, received at [nowMs], that [engine] has [load] in progress, or none if that is null. */
    public fun onAnnounced(engine: Incarnation, load: AnnouncedLoad?, nowMs: Long): Unit = synchronized(lock) {
        loads.keys.removeIf { it.id == engine.id }
        if (load == null) return
        loads[engine] = load
        val accepted = load.accepted?.takeIf { it.isFromStore } ?: return
        if (accepted.storeLoadLimit > 0) limit = accepted.storeLoadLimit
        starts.removeIf { it.atMs <= nowMs - MAX_START_AGE_WINDOWS * windowMs }
        val isKnown = starts.any {
            it.engine == engine && it.model == load.model && accepted.startedAtMs - it.atMs < SAME_START_MS
        }
        if (!isKnown) starts.add(Start(engine, load.model, accepted.startedAtMs))
    }

    /** Removes and returns the load that [engine] has in progress at [nowMs], or null. */
    public fun take(engine: Incarnation, nowMs: Long): AnnouncedLoad? = synchronized(lock) {
        loads.remove(engine)?.takeUnless { isOver(it, nowMs) }
    }

    /** Returns the number of loads in progress at [nowMs]. */
    public fun inProgress(nowMs: Long): Int = synchronized(lock) { loads.values.count { !isOver(it, nowMs) } }

    /**
     * Returns the loads from the store of the last holder, whose right to order ended at [rightEndedAtMs]. A load from
     * the store takes at least [shortestLoadMs], which bounds the loads that this VM did not hear of.
     */
    public fun predecessorLoads(rightEndedAtMs: Long, shortestLoadMs: Long): PredecessorLoads = synchronized(lock) {
        PredecessorLoads(
            rightEndedAtMs,
            starts.map { it.atMs }.filter { it > rightEndedAtMs - windowMs },
            unheardStarts(rightEndedAtMs, shortestLoadMs),
            limit,
        )
    }

    /**
     * Each turn at the store starts one load for each [shortestLoadMs] that begins, and the holder's limit rises by at
     * most one for each load that ends; so twice the known limit of turns start twice that many.
     */
    private fun unheardStarts(rightEndedAtMs: Long, shortestLoadMs: Long): Int {
        val heardAtMs = holderHeardAtMs ?: return Int.MAX_VALUE
        val turns = (limit ?: return Int.MAX_VALUE) * MAX_LIMIT_GROWTH
        // The last report may have been read late.
        val unheardMs = (rightEndedAtMs - heardAtMs).coerceAtLeast(0) + LATE_REPORT_MS
        val startsOfTurn = 2 + unheardMs / shortestLoadMs.coerceAtLeast(1)
        return (turns * startsOfTurn).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    /** Whether a load is over without an announcement: by itself, or long after the end that was expected. */
    private fun isOver(load: AnnouncedLoad, nowMs: Long): Boolean {
        val accepted = load.accepted ?: return PendingLoad(load.model, load.expectedAtMs).isOverdue(nowMs)
        val expectedMs = load.expectedAtMs - accepted.startedAtMs
        return if (accepted.isFromStore) {
            nowMs >= accepted.startedAtMs + expectedMs * EngineTracker.MAX_LOAD_OVERRUN
        } else {
            nowMs >= load.expectedAtMs
        }
    }

    private companion object {
        /** Starts are kept for as many windows: the end of the right to order is learned later. */
        const val MAX_START_AGE_WINDOWS = 4

        /**
         * Announcements of one load show starts that differ by the delays of the reports, in milliseconds; no engine
         * loads a model twice in this time.
         */
        const val SAME_START_MS = 1_000L

        /** A limit doubles at most while as many loads as it allows end. */
        const val MAX_LIMIT_GROWTH = 2

        /** How late a VM that stood still reads a report, in milliseconds: longer stalls count as disruptions. */
        const val LATE_REPORT_MS = 2_000L
    }
}
