/*
 * Services whose engines are brittle: an engine that turns more than a named number of requests away within a second,
 * from all VMs together, falls over. Each VM has a share of an engine's slots and of what it may turn away, both fixed
 * by the list of VMs, so that the sums hold even when no VM hears another one. A VM in touch with all others may also
 * use slots of VMs that have no requests for the service.
 */
package io.daisybend.serving.endpoint

import io.daisybend.kernel.firstByRendezvous
import kotlin.random.Random

/** What this VM knows of the fleet. */
public data class BrittleFleet(
    /** The known VMs, also those that are not alive. */
    val vms: Set<String>,
    /** Whether the list of VMs has been known for long enough that the others know this VM, too. */
    val isSettled: Boolean,
    /** Whether this VM and all others receive each other's reports. */
    val isInTouch: Boolean,
    /** Interval of the reports, in milliseconds. */
    val reportMs: Long,
)

/** The brittle engines as seen by [ownVm], and its share of their room; thread-safe. */
public class BrittleEngines(
    private val ownVm: String,
    private val endpointsOf: (service: String) -> List<Endpoint>,
    private val peersInFlight: (endpoint: String) -> Int,
    private val random: Random = Random.Default,
    private val onChange: (service: String, limit: Int?) -> Unit = { _, _ -> },
) {
    private val lock = Any()
    private val services = HashMap<String, BrittleServiceState>()
    private val uses = HashMap<Incarnation, BrittleUse>()
    private val counts = HashMap<String, Long>()
    private var fleet: BrittleFleet? = null

    /** The VMs before the last changes, which other VMs may still take for the current ones until a time. */
    private var formerVms: Set<String>? = null
    private var formerUntilMs = 0L

    /** Whether some service is or was lately brittle; the state is not looked at otherwise. */
    @Volatile
    private var isInUse = false

    /** Requests that brittle endpoints turned away, and that were held back, since the start. */
    public val eventCounts: Map<String, Double>
        get() = synchronized(lock) { counts.mapValues { it.value.toDouble() } }

    /** What an engine of each brittle service may turn away in a second. */
    public val limits: Map<String, Int>
        get() = synchronized(lock) {
            services.mapNotNull { (name, service) -> service.limit?.let { name to it } }.toMap()
        }

    /** Sets the fleet as known at [nowMs], or null before the list of VMs has been read. */
    public fun setFleet(fleet: BrittleFleet?, nowMs: Long): Unit = synchronized(lock) {
        val isFormerOver = formerVms != null && nowMs >= formerUntilMs
        if (isFormerOver) formerVms = null
        val isChanged = fleet?.vms != this.fleet?.vms
        if (isChanged) {
            formerVms = formerVms ?: this.fleet?.vms
            formerUntilMs = nowMs + VMS_LAG_MS
        }
        if (isChanged || isFormerOver) services.values.forEach { it.shares = null }
        this.fleet = fleet
    }

    /** Records that an answer of [endpoint] at [nowMs] named [limit], or that it is not brittle if that is null. */
    public fun onAnswer(endpoint: Endpoint, limit: Int?, nowMs: Long) {
        if (limit == null && !isInUse) return
        val name = endpoint.entry.service
        val mayChange = synchronized(lock) {
            if (limit == null) {
                services[name]?.onNotSaid(endpoint.incarnation, nowMs) ?: false
            } else {
                isInUse = true
                services.getOrPut(name) { BrittleServiceState() }.onSaid(endpoint.incarnation, limit, nowMs)
            }
        }
        if (mayChange) refresh(nowMs)
    }

    /** Applies what [peer] [reported] at [nowMs]; services that are missing are not brittle as far as it knows. */
    public fun onPeerReport(peer: String, reported: List<BrittleService>, nowMs: Long) {
        if (reported.isEmpty() && !isInUse) return
        synchronized(lock) {
            isInUse = true
            val byName = reported.associateBy { it.service }
            byName.keys.forEach { services.getOrPut(it) { BrittleServiceState() } }
            services.forEach { (name, service) -> service.onPeerReport(peer, byName[name], nowMs) }
        }
        if (reported.isNotEmpty()) refresh(nowMs)
    }

    /** Returns what the peers should know at [nowMs]. */
    public fun reports(nowMs: Long): List<BrittleService> {
        if (!isInUse) return emptyList()
        return synchronized(lock) {
            services.mapNotNull { (name, service) ->
                service.report(name, isRunning = endpointsOf(name).any { it.inFlight > 0 }, nowMs)
            }
        }
    }

    /** Ends what was last said long before [nowMs]; called at a short interval. */
    public fun removeExpired(nowMs: Long) {
        if (!isInUse) return
        refresh(nowMs)
        synchronized(lock) {
            uses.values.removeIf { it.isForgotten(nowMs) }
            if (uses.isEmpty()) services.values.removeIf { it.limit == null }
            isInUse = services.isNotEmpty()
        }
    }

    private fun refresh(nowMs: Long) {
        val changes = synchronized(lock) {
            services.filterValues { it.refresh(nowMs) }.map { (name, service) -> BrittleChange(name, service.limit) }
        }
        changes.forEach { onChange(it.service, it.limit) }
    }

    /** Returns whether the engines of [service] are brittle. */
    public fun isBrittle(service: String): Boolean =
        isInUse && synchronized(lock) { services[service]?.limit != null }

    /** Returns the time until [endpoint], which may be brittle, may get a request at [nowMs], in milliseconds. */
    public fun waitMs(endpoint: Endpoint, nowMs: Long): Long = whileBrittle(endpoint, otherwise = 0) { service ->
        service.onWanted(nowMs)
        waitMs(endpoint, service, endpoint.inFlight + useOf(endpoint).reserved(nowMs), nowMs)
    }

    private inline fun <T> whileBrittle(endpoint: Endpoint, otherwise: T, action: (BrittleServiceState) -> T): T {
        if (!isInUse) return otherwise
        return synchronized(lock) {
            services[endpoint.entry.service]?.takeIf { it.limit != null }?.let(action) ?: otherwise
        }
    }

    private fun useOf(endpoint: Endpoint) = uses.getOrPut(endpoint.incarnation) { BrittleUse() }

    /** Returns the wait for a request beside [own] others of this VM, in milliseconds. */
    private fun waitMs(endpoint: Endpoint, service: BrittleServiceState, own: Int, nowMs: Long): Long {
        val fleet = fleet ?: return ROOM_WAIT_MS
        val share = sharesOf(endpoint, service, fleet).of(endpoint.incarnation) ?: return ROOM_WAIT_MS
        val use = useOf(endpoint)
        val counted = use.turnedAway(nowMs)
        val isWithinTurnedAway = counted < share.mayBeTurnedAway
        if (!isWithinTurnedAway) return use.untilNextMs(nowMs)
        val inPlace = own + use.aborted(nowMs)
        val known = inPlace + peersInFlight(endpoint.incarnation.id)
        val slots = endpoint.entry.slots
        // At an endpoint that is far from full nothing is turned away, so that the order of answers does not matter.
        val isEasy = fleet.isInTouch && counted == 0 && known * 2 < slots
        // Within its share a VM finds room unless others use more than theirs.
        val isSafe = fleet.isSettled && counted == 0 && inPlace < share.slots
        val undecided = use.undecided(nowMs, if (isSafe) SAFE_UNDECIDED_MS else BrittleUse.UNDECIDED_MS)
        val isUndecided = !isEasy && counted + undecided >= share.mayBeTurnedAway
        val lent = if (counted == 0) service.lentSlots(slots, known, fleet, nowMs) else 0
        val isInShare = fleet.isSettled && inPlace < share.slots - counted + lent
        val hasRoom = known < slots && (isInShare || mayProbe(endpoint, service, fleet, own))
        return when {
            isUndecided -> SAFE_UNDECIDED_MS
            hasRoom -> 0
            else -> ROOM_WAIT_MS
        }
    }

    /** Returns whether this VM may send one request: it may not know its share, or whether that still matters. */
    private fun mayProbe(endpoint: Endpoint, service: BrittleServiceState, fleet: BrittleFleet, count: Int): Boolean {
        if (count > 0 || (fleet.isSettled && !service.isDoubtful)) return false
        val endpoints = endpointsOf(endpoint.entry.service)
        // Probes of several VMs must not meet at one endpoint.
        val own = firstByRendezvous(ownVm, endpoints) { it.incarnation.id }
        return own?.incarnation == endpoint.incarnation &&
            endpoints.all { it === own || it.inFlight + (uses[it.incarnation]?.hasReserved ?: 0) == 0 }
    }

    private fun sharesOf(endpoint: Endpoint, service: BrittleServiceState, fleet: BrittleFleet): BrittleShares {
        service.shares?.takeIf { it.of(endpoint.incarnation) != null }?.let { return it }
        val endpoints = endpointsOf(endpoint.entry.service)
        val limit = service.limit ?: 1
        val current = BrittleShares.of(endpoints, fleet.vms + ownVm, ownVm, limit)
        val former = formerVms?.let { BrittleShares.of(endpoints, it + ownVm, ownVm, limit) }
        return (former?.let { current.atMost(it) } ?: current).also { service.shares = it }
    }

    /** Takes a place at [endpoint] for a request at [nowMs]; returns false if there is none for this VM. */
    public fun take(endpoint: Endpoint, nowMs: Long): Boolean = whileBrittle(endpoint, otherwise = true) {
        val hasPlace = waitMs(endpoint, nowMs) == 0L
        if (hasPlace) useOf(endpoint).reserve(nowMs)
        hasPlace
    }

    /** Records that the request that was taken for [endpoint] at [takenAtMs] counts in its requests in flight. */
    public fun onBegun(endpoint: Endpoint, takenAtMs: Long): Unit =
        whileBrittle(endpoint, otherwise = Unit) { useOf(endpoint).begin(takenAtMs) }

    /** Gives back the place that was taken at [takenAtMs] for a request of which no byte was written. */
    public fun giveBack(endpoint: Endpoint, takenAtMs: Long): Unit =
        whileBrittle(endpoint, otherwise = Unit) { useOf(endpoint).giveBack(takenAtMs) }

    /**
     * Returns whether the request in flight that was taken for [endpoint] at [takenAtMs] may be written at [nowMs]: its
     * connection took time, and others may have been turned away since.
     */
    public fun maySend(endpoint: Endpoint, takenAtMs: Long, nowMs: Long): Boolean =
        whileBrittle(endpoint, otherwise = true) { service ->
            val use = useOf(endpoint)
            use.giveBack(takenAtMs)
            val others = (endpoint.inFlight - 1).coerceAtLeast(0) + use.reserved(nowMs)
            val maySend = waitMs(endpoint, service, others, nowMs) == 0L
            if (maySend) use.write(nowMs) else count("held_back")
            maySend
        }

    /** Records that a request that was written to [endpoint] at [writtenAtMs] was answered, or accepted. */
    public fun onAnswered(endpoint: Endpoint, writtenAtMs: Long): Unit =
        whileBrittle(endpoint, otherwise = Unit) { useOf(endpoint).decide(writtenAtMs) }

    /** Records that [endpoint] turned the request away at [nowMs] that was written at [writtenAtMs]. */
    public fun onTurnedAway(endpoint: Endpoint, writtenAtMs: Long, nowMs: Long): Unit =
        whileBrittle(endpoint, otherwise = Unit) { service ->
            val share = fleet?.let { sharesOf(endpoint, service, it).of(endpoint.incarnation) }
            val use = useOf(endpoint)
            use.decide(writtenAtMs)
            // VMs without a part of the limit take turns by chance.
            val hasPart = share == null || share.turnedAway > 0
            val factor = if (hasPart) 1.0 else fleet?.vms.orEmpty().size * (1 + random.nextDouble() * JITTER)
            use.turnAway(nowMs, (WINDOW_MS * factor / if (hasPart) 1 else service.limit ?: 1).toLong())
            count("turned_away")
        }

    /** Counts a request that waits for room at brittle endpoints or is refused for want of it. */
    public fun onHeldBack(): Unit = synchronized(lock) { count("held_back") }

    private fun count(event: String) {
        counts.merge(event, 1, Long::plus)
    }

    /** Records that an exchange with [endpoint] ended at [nowMs], maybe without its response ([isAborted]). */
    public fun onEnded(endpoint: Endpoint, isAborted: Boolean, nowMs: Long): Unit =
        whileBrittle(endpoint, otherwise = Unit) { service ->
            if (isAborted) useOf(endpoint).abort(nowMs) else service.turns.onEnded(nowMs)
        }

    /** Returns the usual time between two places of this VM that become free at [service], in milliseconds. */
    public fun turnMs(service: String, nowMs: Long): Long =
        synchronized(lock) { services[service]?.turns?.turnMs(nowMs) } ?: 0

    /** Returns whether [endpoint] is brittle and turned requests of this VM away shortly before [nowMs]. */
    public fun mayHaveFallen(endpoint: Endpoint, nowMs: Long): Boolean =
        whileBrittle(endpoint, otherwise = false) { uses[endpoint.incarnation]?.wasTurnedAway(nowMs) ?: false }

    private companion object {
        /** Time in which refusals count, in milliseconds: a second, and the jitter of their way. */
        const val WINDOW_MS = 1_100L

        /** Time in which all VMs know the same VMs, in milliseconds: a read of the list, or a report. */
        const val VMS_LAG_MS = 4_000L

        /** Largest share by which a pause is made longer at random. */
        const val JITTER = 0.25

        /** Time between requests to an endpoint of a VM that keeps to its share, in milliseconds: some round trips. */
        const val SAFE_UNDECIDED_MS = 20L

        /** Time until there may be room at a full endpoint, in milliseconds. */
        const val ROOM_WAIT_MS = 25L
    }
}
