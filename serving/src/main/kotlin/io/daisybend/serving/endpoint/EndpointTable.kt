/*
 * The endpoints known to this VM, from three sources: the platform's list, the announcements of the order duty holder
 * and the results of exchanges. The list lags, so an announcement overrides the list until the list must include it.
 */
package io.daisybend.serving.endpoint

/** The state of one endpoint; written under the lock of the table. */
public class Endpoint internal constructor(entry: EndpointEntry, serviceRates: EngineRates) {
    /** The newest entry of the platform's list. */
    @Volatile
    public var entry: EndpointEntry = entry
        internal set

    /** The models that the engine holds, or null for plain services. */
    @Volatile
    public var holdings: EngineHoldings? = entry.holdings
        internal set

    /** Exchanges of this VM in flight at the endpoint. */
    @Volatile
    public var inFlight: Int = 0
        internal set

    /** Exchanges of this VM that have received their first event and not ended. */
    @Volatile
    public var answered: Int = 0
        internal set

    /** Prompt tokens of the exchanges of this VM that have not received their first event. */
    @Volatile
    public var pendingPromptTokens: Long = 0
        internal set

    /** KV cache tokens that the exchanges of this VM may occupy. */
    @Volatile
    public var kvTokens: Long = 0
        internal set

    /** What this incarnation is doing now. */
    public val loadEstimate: EngineLoadEstimate = EngineLoadEstimate(EngineRates(parent = serviceRates))

    /** What this incarnation probably has in its prefix cache. */
    public val prefixCache: PrefixCacheEstimate = PrefixCacheEstimate()

    internal var consecutiveFailures = 0
    internal var ejectedUntilMs = 0L
    internal var failedAtMs = Long.MIN_VALUE
    internal var announcedUntilMs = Long.MIN_VALUE
    internal val refusedUntilMs = HashMap<String, Long>()

    /** The endpoint's incarnation. */
    public val incarnation: Incarnation get() = entry.incarnation

    /** Returns whether failed exchanges have ejected the endpoint at [nowMs], so that it gets no new requests. */
    public fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs
}

/** The tokens that an exchange occupies at an endpoint while it runs. */
public data class Reservation(val promptTokens: Long, val kvTokens: Long)

/** Ejection and staleness settings of the endpoint table. */
public data class EndpointTableSettings(
    /** Consecutive failures after which an endpoint is ejected. */
    val failuresToEject: Int = 2,
    /** Duration of the first ejection, in milliseconds; doubles with each further failure. */
    val firstEjectionMs: Long = 500,
    /** Maximum duration of an ejection, in milliseconds: one heartbeat and its lag. */
    val maxEjectionMs: Long = 4_000,
    /** Time during which an engine is not used again for a model that it refused to run, in milliseconds. */
    val refusedModelMs: Long = 150,
    /** Maximum lag of the platform's list behind an announcement, in milliseconds: a heartbeat and a read. */
    val listLagMs: Long = 2_500,
)

/** All endpoints known to this VM; thread-safe. */
public class EndpointTable(private val settings: EndpointTableSettings = EndpointTableSettings()) {
    private val lock = Any()
    private val endpoints = LinkedHashMap<String, Endpoint>()
    private val ratesByService = HashMap<String, EngineRates>()

    /** The endpoints that said that they are leaving. */
    public val leaving: LeavingEndpoints = LeavingEndpoints()

    /** Returns the endpoints of [service]. */
    public fun ofService(service: String): List<Endpoint> =
        synchronized(lock) { endpoints.values.filter { it.entry.service == service } }

    /** Returns all endpoints. */
    public fun all(): List<Endpoint> = synchronized(lock) { endpoints.values.toList() }

    /** Returns the endpoint called [id], or null. */
    public fun find(id: String): Endpoint? = synchronized(lock) { endpoints[id] }

    /**
     * Stores [entry], read from the platform's list at [nowMs]; ignores entries of an earlier incarnation. One that is
     * leaving stays so, although an older copy of the list may show it as ready.
     */
    public fun put(entry: EndpointEntry, nowMs: Long): Unit = synchronized(lock) {
        val id = entry.incarnation.id
        val known = endpoints[id]
        val isLeaving = entry.isDraining || entry.incarnation in leaving
        if (known == null || known.incarnation.bornMs < entry.incarnation.bornMs) {
            val rates = ratesByService.getOrPut(entry.service) { EngineRates() }
            endpoints[id] = Endpoint(entry.copy(isDraining = isLeaving), rates)
            return
        }
        if (known.incarnation.bornMs > entry.incarnation.bornMs) return
        known.entry = entry.copy(isDraining = isLeaving || known.entry.isDraining)
        if (nowMs >= known.announcedUntilMs) known.holdings = entry.holdings
    }

    /** Removes the endpoint called [id]. */
    public fun remove(id: String): Unit = synchronized(lock) { endpoints.remove(id) }

    /** Removes all endpoints except [ids]; returns the removed ids. */
    public fun retain(ids: Set<String>): Set<String> = synchronized(lock) {
        val removedIds = endpoints.keys - ids
        removedIds.forEach { endpoints.remove(it) }
        removedIds
    }

    /** Applies the holdings that the order duty holder announced at [nowMs] for the engine of [incarnation]. */
    public fun announce(incarnation: Incarnation, holdings: EngineHoldings, nowMs: Long): Unit = synchronized(lock) {
        val known = endpoints[incarnation.id]?.takeIf { it.incarnation == incarnation } ?: return
        known.announcedUntilMs = nowMs + settings.listLagMs
        known.holdings = holdings.copy(
            inMemory = holdings.inMemory.ifEmpty { known.entry.holdings?.inMemory.orEmpty() },
            onDisk = holdings.onDisk.ifEmpty { known.entry.holdings?.onDisk.orEmpty() },
        )
    }

    /** Marks the endpoint of [incarnation] as leaving, after [leaving] has learned of it. */
    public fun onLeaving(incarnation: Incarnation): Unit = synchronized(lock) {
        val known = endpoints[incarnation.id]?.takeIf { it.incarnation == incarnation } ?: return
        known.entry = known.entry.copy(isDraining = true)
    }

    /** Records that an exchange with [reservation] starts at [endpoint]. */
    public fun onExchangeStarted(endpoint: Endpoint, reservation: Reservation): Unit = synchronized(lock) {
        endpoint.inFlight++
        endpoint.pendingPromptTokens += reservation.promptTokens
        endpoint.kvTokens += reservation.kvTokens
    }

    /** Records that an exchange received its first event from [endpoint]. */
    public fun onFirstEvent(endpoint: Endpoint, reservation: Reservation): Unit = synchronized(lock) {
        endpoint.pendingPromptTokens -= reservation.promptTokens
        endpoint.answered++
    }

    /** Records the end of an exchange at [endpoint]; [isPrefilled] tells whether it received its first event. */
    public fun onExchangeEnded(endpoint: Endpoint, reservation: Reservation, isPrefilled: Boolean): Unit =
        synchronized(lock) {
            endpoint.inFlight--
            if (isPrefilled) endpoint.answered-- else endpoint.pendingPromptTokens -= reservation.promptTokens
            endpoint.kvTokens -= reservation.kvTokens
        }

    /** Records a response that shows that [endpoint] is healthy, and ends its ejection. */
    public fun onSuccess(endpoint: Endpoint): Unit = synchronized(lock) {
        endpoint.consecutiveFailures = 0
        endpoint.ejectedUntilMs = 0
    }

    /** Records a failure of [endpoint]; returns whether the failure ejects the endpoint. */
    public fun onFailure(endpoint: Endpoint, nowMs: Long): Boolean = synchronized(lock) {
        endpoint.failedAtMs = nowMs
        endpoint.consecutiveFailures++
        val doublings = endpoint.consecutiveFailures - settings.failuresToEject
        if (doublings < 0) return false
        val ejectionMs = settings.firstEjectionMs shl doublings.coerceAtMost(MAX_DOUBLINGS)
        endpoint.ejectedUntilMs = nowMs + ejectionMs.coerceAtMost(settings.maxEjectionMs)
        true
    }

    /** Records that [endpoint] is unreachable at [nowMs] or is another incarnation, and ejects it. */
    public fun onUnreachable(endpoint: Endpoint, nowMs: Long): Unit = synchronized(lock) {
        endpoint.failedAtMs = nowMs
        endpoint.consecutiveFailures = maxOf(endpoint.consecutiveFailures + 1, settings.failuresToEject)
        val doublings = (endpoint.consecutiveFailures - settings.failuresToEject).coerceAtMost(MAX_DOUBLINGS)
        endpoint.ejectedUntilMs = nowMs + (settings.firstEjectionMs shl doublings).coerceAtMost(settings.maxEjectionMs)
    }

    /** Takes the failures since [sinceMs] back, which were not those of the endpoints; returns the ejected ones. */
    public fun takeBackFailures(sinceMs: Long): List<Endpoint> = synchronized(lock) {
        val failed = endpoints.values.filter { it.failedAtMs >= sinceMs }
        failed.filter { it.ejectedUntilMs > sinceMs }.also { failed.forEach(::onSuccess) }
    }

    /** Records that [endpoint] refused at [nowMs] to run [model] although its holdings list the model. */
    public fun onModelRefused(endpoint: Endpoint, model: String, nowMs: Long): Unit = synchronized(lock) {
        endpoint.refusedUntilMs[model] = nowMs + settings.refusedModelMs
    }

    /** Returns whether [endpoint] recently refused to run [model]. */
    public fun hasRefusedModel(endpoint: Endpoint, model: String, nowMs: Long): Boolean =
        synchronized(lock) { nowMs < (endpoint.refusedUntilMs[model] ?: Long.MIN_VALUE) }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
