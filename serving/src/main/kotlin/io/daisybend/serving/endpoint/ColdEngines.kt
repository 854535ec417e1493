/*
 * Endpoints that are cold: for some time after their start they take few requests a second from all VMs together and
 * crash at a higher rate. The VMs don't confirm counts to each other. Some VMs, which rendezvous hashing of the
 * incarnation and the VM selects, have a share of the requests, and the others have none, so that the shares of all VMs
 * add up to what the endpoint takes even when no VM hears another one.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.rankByRendezvous
import io.daisybend.serving.site.ColdStart
import kotlin.math.ceil
import kotlin.math.floor

/** Why an endpoint counts as cold. */
public enum class ColdCause {
    /** The list or the endpoint itself says so. */
    NAMED,

    /** A new incarnation was listed. */
    STARTED,

    /** The evacuation of its failure domain has ended. */
    EVACUATION_ENDED,

    /** A connection was refused or broke, so the endpoint may have restarted. */
    CONNECTION_LOST,
}

/** The cold endpoints as seen by [ownVm] and its share of their requests; thread-safe. */
public class ColdEngines(
    private val ownVm: String,
    private val onCold: (endpoint: Incarnation, cause: ColdCause) -> Unit = { _, _ -> },
) {
    private class State(var lastListedAtMs: Long) {
        /** Until when the list or the endpoint said that the endpoint is cold. */
        var namedUntilMs = Long.MIN_VALUE

        /** When the endpoint may last have started, or [NEVER]. */
        var startedAtMs = NEVER

        /** When a connection to the endpoint was last refused or broke, or [NEVER]. */
        var lostAtMs = NEVER

        /** The value of [lostAtMs] before the last change. */
        var lostBeforeMs = NEVER

        /** Times of the newest sends, as many as the largest share. */
        val sentAtMs = ArrayDeque<Long>()

        /** Whether this VM has a share, or null before that was computed for the current VMs. */
        var hasShare: Boolean? = null
    }

    private val lock = Any()
    private val states = HashMap<Incarnation, State>()
    private var vms: Set<String>? = null

    @Volatile
    private var coldStarts: Map<String, ColdStart> = emptyMap()

    /** Whether the endpoints of some service may be cold. */
    public val isInUse: Boolean get() = coldStarts.isNotEmpty()

    /** Sets what cold endpoints take, by service; services that are missing have none. */
    public fun configure(coldStarts: Map<String, ColdStart>): Unit = synchronized(lock) {
        if (coldStarts == this.coldStarts) return
        this.coldStarts = coldStarts
        states.values.forEach { it.hasShare = null }
    }

    /** Sets the known VMs, also those that are not alive; null before the list of VMs has been read. */
    public fun setVms(vms: Set<String>?): Unit = synchronized(lock) {
        if (vms == this.vms) return
        this.vms = vms
        states.values.forEach { it.hasShare = null }
    }

    /**
     * Applies [entry], read at [nowMs]. A new incarnation counts as started then, unless [isFirstRead]: when this VM
     * starts, all incarnations are new to it.
     */
    public fun onListed(entry: EndpointEntry, isFirstRead: Boolean, nowMs: Long) {
        val cause = synchronized(lock) {
            val known = states[entry.incarnation]
            val state = known ?: State(nowMs).also { states[entry.incarnation] = it }
            state.lastListedAtMs = nowMs
            val isStarted = known == null && !isFirstRead
            if (isStarted) state.startedAtMs = nowMs
            // An entry that was written after the loss of a connection shows that the process has not changed.
            if (nowMs - state.lostAtMs > LIST_LAG_MS) state.lostAtMs = NEVER
            val isNamed = extend(state, entry.coldLeftMs, nowMs)
            when {
                isStarted -> ColdCause.STARTED
                isNamed -> ColdCause.NAMED
                else -> null
            }
        }
        if (cause != null && entry.service in coldStarts) onCold(entry.incarnation, cause)
    }

    /** Records that [endpoint] said at [nowMs] that it stays cold for [leftMs] milliseconds. */
    public fun onNamed(endpoint: Endpoint, leftMs: Long, nowMs: Long) {
        if (endpoint.entry.service !in coldStarts) return
        if (synchronized(lock) { extend(stateOf(endpoint, nowMs), leftMs, nowMs) }) {
            onCold(endpoint.incarnation, ColdCause.NAMED)
        }
    }

    /** Returns whether the endpoint was not named as cold before. */
    private fun extend(state: State, leftMs: Long, nowMs: Long): Boolean {
        if (leftMs <= 0) return false
        val wasNamed = state.namedUntilMs > nowMs
        state.namedUntilMs = maxOf(state.namedUntilMs, nowMs + leftMs.coerceAtMost(MAX_COLD_MS))
        return !wasNamed
    }

    /** Records that the evacuation of the failure domain of [endpoints] has ended at [nowMs]. */
    public fun onEvacuationEnded(endpoints: List<Endpoint>, nowMs: Long): Unit =
        endpoints.filter { it.entry.service in coldStarts }.forEach { endpoint ->
            synchronized(lock) { stateOf(endpoint, nowMs).startedAtMs = nowMs }
            onCold(endpoint.incarnation, ColdCause.EVACUATION_ENDED)
        }

    /** Records that a connection to [endpoint] was refused or broke at [nowMs]. */
    public fun onConnectionLost(endpoint: Endpoint, nowMs: Long) {
        if (endpoint.entry.service !in coldStarts) return
        val wasCold = leftMs(endpoint, nowMs) > 0
        synchronized(lock) {
            val state = stateOf(endpoint, nowMs)
            state.lostBeforeMs = state.lostAtMs
            state.lostAtMs = nowMs
        }
        if (!wasCold) onCold(endpoint.incarnation, ColdCause.CONNECTION_LOST)
    }

    /** Takes the lost connections since [sinceMs] back: this VM was cut off, and the endpoints have not restarted. */
    public fun takeBackConnectionsLost(sinceMs: Long): Unit = synchronized(lock) {
        states.values.filter { it.lostAtMs >= sinceMs }.forEach {
            it.lostAtMs = it.lostBeforeMs.takeIf { before -> before < sinceMs } ?: NEVER
        }
    }

    private fun stateOf(endpoint: Endpoint, nowMs: Long) =
        states.getOrPut(endpoint.incarnation) { State(lastListedAtMs = nowMs) }

    /** Returns how much longer [endpoint] stays cold at [nowMs], in milliseconds; 0 if it is warm. */
    public fun leftMs(endpoint: Endpoint, nowMs: Long): Long {
        val coldStart = coldStarts[endpoint.entry.service] ?: return 0
        return synchronized(lock) { states[endpoint.incarnation]?.let { leftMs(it, coldStart, nowMs) } ?: 0 }
    }

    private fun leftMs(state: State, coldStart: ColdStart, nowMs: Long): Long {
        val startedUntilMs = maxOf(state.startedAtMs, state.lostAtMs) + coldStart.durationMs
        return (maxOf(state.namedUntilMs, startedUntilMs) - nowMs).coerceAtLeast(0)
    }

    /**
     * Returns the time until [endpoint] may get a request of this VM at [nowMs], in milliseconds: until the share of
     * this VM allows one, or until the endpoint is warm if this VM has no share.
     */
    public fun waitMs(endpoint: Endpoint, nowMs: Long): Long {
        val coldStart = coldStarts[endpoint.entry.service] ?: return 0
        return synchronized(lock) {
            states[endpoint.incarnation]?.let { waitMs(endpoint.incarnation, it, coldStart, nowMs) } ?: 0
        }
    }

    private fun waitMs(endpoint: Incarnation, state: State, coldStart: ColdStart, nowMs: Long): Long {
        val leftMs = leftMs(state, coldStart, nowMs)
        if (leftMs == 0L) return 0
        val vms = vms?.let { it + ownVm } ?: return leftMs
        val share = ColdShare.of(coldStart.perSecond, vms.size)
        val hasShare = state.hasShare
            ?: (ownVm in rankByRendezvous("${endpoint.id}@${endpoint.bornMs}", vms).take(share.senders))
                .also { state.hasShare = it }
        if (!hasShare) return leftMs
        val oldestCountedMs = state.sentAtMs.getOrNull(state.sentAtMs.size - share.requests) ?: NEVER
        return (oldestCountedMs + share.windowMs + 1 - nowMs).coerceIn(0, leftMs)
    }

    /**
     * Takes one request to [endpoint] from the share of this VM at [nowMs]; returns false if it may not get one. Sends
     * to warm endpoints are recorded too, because the endpoint may turn out to be cold within the same second.
     */
    public fun take(endpoint: Endpoint, nowMs: Long): Boolean {
        val coldStart = coldStarts[endpoint.entry.service] ?: return true
        return synchronized(lock) {
            val state = stateOf(endpoint, nowMs)
            if (waitMs(endpoint.incarnation, state, coldStart, nowMs) > 0) return false
            record(state, coldStart, nowMs)
            true
        }
    }

    private fun record(state: State, coldStart: ColdStart, nowMs: Long) {
        state.sentAtMs.addLast(nowMs)
        while (state.sentAtMs.size > maxOf(1.0, floor(coldStart.perSecond))) state.sentAtMs.removeFirst()
    }

    /**
     * Returns whether the request that was taken for [endpoint] at [takenAtMs] may be written at [nowMs], and counts it
     * from then on: opening a connection takes time, and the endpoint may have become cold since.
     */
    public fun maySend(endpoint: Endpoint, takenAtMs: Long, nowMs: Long): Boolean {
        val coldStart = coldStarts[endpoint.entry.service] ?: return true
        return synchronized(lock) {
            val state = stateOf(endpoint, nowMs)
            val index = indexOfTaken(state, takenAtMs)
            val taken = if (index < 0) null else state.sentAtMs.removeAt(index)
            val maySend = waitMs(endpoint.incarnation, state, coldStart, nowMs) == 0L
            if (maySend) record(state, coldStart, nowMs) else taken?.let { state.sentAtMs.add(index, it) }
            maySend
        }
    }

    /** Gives the request back that was taken for [endpoint] at [takenAtMs] and of which no byte was written. */
    public fun giveBack(endpoint: Endpoint, takenAtMs: Long) {
        if (endpoint.entry.service !in coldStarts) return
        synchronized(lock) {
            val state = states[endpoint.incarnation] ?: return
            val index = indexOfTaken(state, takenAtMs)
            if (index >= 0) state.sentAtMs.removeAt(index)
        }
    }

    /** Returns the index of a send that counts from [takenAtMs], or -1 if that is not counted any more. */
    private fun indexOfTaken(state: State, takenAtMs: Long): Int = state.sentAtMs.indexOf(takenAtMs)

    /** Returns how much longer the cold ones of [endpoints] stay cold at [nowMs], in milliseconds. */
    public fun current(endpoints: List<Endpoint>, nowMs: Long): Map<Incarnation, Long> {
        if (!isInUse) return emptyMap()
        return endpoints.associate { it.incarnation to leftMs(it, nowMs) }.filterValues { it > 0 }
    }

    /** Forgets the incarnations that are not [listed] and were listed last long before [nowMs]. */
    public fun removeForgotten(listed: Set<Incarnation>, nowMs: Long): Unit = synchronized(lock) {
        states.entries.removeIf { (endpoint, state) ->
            endpoint !in listed && nowMs - state.lastListedAtMs > MEMORY_MS
        }
    }

    private companion object {
        /** A time long before any other one, in milliseconds; differences to it don't overflow. */
        const val NEVER = Long.MIN_VALUE / 4

        /** Longest time for which an endpoint is believed to stay cold, in milliseconds. */
        const val MAX_COLD_MS = 600_000L

        /** Maximum lag of the list behind the endpoints, in milliseconds: a heartbeat and a read. */
        const val LIST_LAG_MS = 2_500L

        /** How long an incarnation that is not listed is remembered, in milliseconds: its entry may return. */
        const val MEMORY_MS = 600_000L
    }
}

/** The VMs that may send to a cold endpoint and how much: [requests] each in any [windowMs] milliseconds. */
internal data class ColdShare(val senders: Int, val requests: Int, val windowMs: Long) {
    companion object {
        private const val MILLIS_PER_SECOND = 1000.0

        /** Returns the shares of [vmCount] VMs in [perSecond] requests a second. */
        fun of(perSecond: Double, vmCount: Int): ColdShare {
            if (perSecond < 1) return ColdShare(senders = 1, requests = 1, ceil(MILLIS_PER_SECOND / perSecond).toLong())
            val senders = minOf(vmCount.toDouble(), floor(perSecond)).toInt().coerceAtLeast(1)
            return ColdShare(senders, floor(perSecond / senders).toInt(), MILLIS_PER_SECOND.toLong())
        }
    }
}
