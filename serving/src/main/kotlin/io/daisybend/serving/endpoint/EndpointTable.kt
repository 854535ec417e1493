/*
 * The endpoints as this VM knows them: the platform's list, what the holder of the order duty announced, and what
 * exchanges showed. What was announced holds until the list, which lags, must have caught up with it.
 */
package io.daisybend.serving.endpoint

/** What is known of one endpoint; guarded by the table's lock. */
public class Endpoint internal constructor(entry: EndpointEntry) {
    /** The newest entry of the platform's list. */
    @Volatile
    public var entry: EndpointEntry = entry
        internal set

    /** What the engine holds, or null for plain services. */
    @Volatile
    public var holdings: EngineHoldings? = entry.holdings
        internal set

    /** Exchanges that this VM has under way at the endpoint. */
    @Volatile
    public var inFlight: Int = 0
        internal set

    /** Prompt tokens of exchanges of this VM that wait for their first event. */
    @Volatile
    public var pendingPromptTokens: Long = 0
        internal set

    /** Tokens of memory that exchanges of this VM may take. */
    @Volatile
    public var kvTokens: Long = 0
        internal set

    internal var consecutiveFailures = 0
    internal var ejectedUntilMs = 0L
    internal var announcedUntilMs = Long.MIN_VALUE
    internal val refusedUntilMs = HashMap<String, Long>()

    /** The endpoint's incarnation. */
    public val incarnation: Incarnation get() = entry.incarnation

    /** Whether the endpoint may get no new work at [nowMs] because of what exchanges showed. */
    public fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs
}

/** What an exchange takes of an endpoint while it runs. */
public data class Reservation(val promptTokens: Long, val kvTokens: Long)

/** Times of the endpoint table. */
public data class EndpointTableSettings(
    /** Failures in a row after which an endpoint is passed over. */
    val failuresToEject: Int = 2,
    /** Time without work after the first ejection, in milliseconds; doubles with each further failure. */
    val firstEjectionMs: Long = 500,
    /** The longest time without work, in milliseconds: one heartbeat and its lag. */
    val maxEjectionMs: Long = 4_000,
    /** Time in which a model that an engine refused to run is not asked of it again, in milliseconds. */
    val refusedModelMs: Long = 150,
    /** How far the platform's list may lag behind an announcement, in milliseconds: a heartbeat and a read. */
    val listLagMs: Long = 2_500,
)

/** All endpoints that this VM knows, under one lock. */
public class EndpointTable(private val settings: EndpointTableSettings = EndpointTableSettings()) {
    private val lock = Any()
    private val endpoints = LinkedHashMap<String, Endpoint>()

    /** Returns the endpoints of [service]. */
    public fun ofService(service: String): List<Endpoint> =
        synchronized(lock) { endpoints.values.filter { it.entry.service == service } }

    /** Returns all endpoints. */
    public fun all(): List<Endpoint> = synchronized(lock) { endpoints.values.toList() }

    /** Returns the endpoint called [id], or null. */
    public fun find(id: String): Endpoint? = synchronized(lock) { endpoints[id] }

    /** Takes in [entry], read from the platform's list at [nowMs], as the newest of its id. */
    public fun put(entry: EndpointEntry, nowMs: Long): Unit = synchronized(lock) {
        val id = entry.incarnation.id
        val known = endpoints[id]
        if (known == null || known.incarnation.bornMs < entry.incarnation.bornMs) {
            endpoints[id] = Endpoint(entry)
            return
        }
        if (known.incarnation.bornMs > entry.incarnation.bornMs) return
        known.entry = entry
        if (nowMs >= known.announcedUntilMs) known.holdings = entry.holdings
    }

    /** Forgets the endpoint called [id]. */
    public fun remove(id: String): Unit = synchronized(lock) { endpoints.remove(id) }

    /** Forgets all endpoints but those called [ids]; returns the ids forgotten. */
    public fun retain(ids: Set<String>): Set<String> = synchronized(lock) {
        val gone = endpoints.keys - ids
        gone.forEach { endpoints.remove(it) }
        gone
    }

    /** Takes in what the holder of the order duty announced at [nowMs] for the engine of [incarnation]. */
    public fun announce(incarnation: Incarnation, holdings: EngineHoldings, nowMs: Long): Unit = synchronized(lock) {
        val known = endpoints[incarnation.id]?.takeIf { it.incarnation == incarnation } ?: return
        known.announcedUntilMs = nowMs + settings.listLagMs
        known.holdings = holdings.copy(
            inMemory = holdings.inMemory.ifEmpty { known.entry.holdings?.inMemory.orEmpty() },
            onDisk = holdings.onDisk.ifEmpty { known.entry.holdings?.onDisk.orEmpty() },
        )
    }

    /** Notes that an exchange with [reservation] starts at [endpoint]. */
    public fun onExchangeStarted(endpoint: Endpoint, reservation: Reservation): Unit = synchronized(lock) {
        endpoint.inFlight++
        endpoint.pendingPromptTokens += reservation.promptTokens
        endpoint.kvTokens += reservation.kvTokens
    }

    /** Notes that an exchange has got its first event from [endpoint]. */
    public fun onFirstEvent(endpoint: Endpoint, reservation: Reservation): Unit = synchronized(lock) {
        endpoint.pendingPromptTokens -= reservation.promptTokens
    }

    /** Notes that an exchange at [endpoint] has ended; [isPrefilled] tells whether its first event had come. */
    public fun onExchangeEnded(endpoint: Endpoint, reservation: Reservation, isPrefilled: Boolean): Unit =
        synchronized(lock) {
            endpoint.inFlight--
            if (!isPrefilled) endpoint.pendingPromptTokens -= reservation.promptTokens
            endpoint.kvTokens -= reservation.kvTokens
        }

    /** Notes an answer of [endpoint] that shows it to be sound. */
    public fun onSuccess(endpoint: Endpoint): Unit = synchronized(lock) {
        endpoint.consecutiveFailures = 0
        endpoint.ejectedUntilMs = 0
    }

    /** Notes a failure of [endpoint]; returns true when it is ejected by this failure. */
    public fun onFailure(endpoint: Endpoint, nowMs: Long): Boolean = synchronized(lock) {
        endpoint.consecutiveFailures++
        val beyond = endpoint.consecutiveFailures - settings.failuresToEject
        if (beyond < 0) return false
        val ejectionMs = settings.firstEjectionMs shl beyond.coerceAtMost(MAX_DOUBLINGS)
        endpoint.ejectedUntilMs = nowMs + ejectionMs.coerceAtMost(settings.maxEjectionMs)
        true
    }

    /** Notes that [endpoint] can't be reached at [nowMs] or isn't the incarnation expected there. */
    public fun onUnreachable(endpoint: Endpoint, nowMs: Long): Unit = synchronized(lock) {
        endpoint.consecutiveFailures = maxOf(endpoint.consecutiveFailures + 1, settings.failuresToEject)
        val beyond = (endpoint.consecutiveFailures - settings.failuresToEject).coerceAtMost(MAX_DOUBLINGS)
        endpoint.ejectedUntilMs = nowMs + (settings.firstEjectionMs shl beyond).coerceAtMost(settings.maxEjectionMs)
    }

    /** Notes that [endpoint] refused at [nowMs] to run [model], which it was thought to hold. */
    public fun onModelRefused(endpoint: Endpoint, model: String, nowMs: Long): Unit = synchronized(lock) {
        endpoint.refusedUntilMs[model] = nowMs + settings.refusedModelMs
    }

    /** Whether [endpoint] refused a moment before [nowMs] to run [model]. */
    public fun hasRefusedModel(endpoint: Endpoint, model: String, nowMs: Long): Boolean =
        synchronized(lock) { nowMs < (endpoint.refusedUntilMs[model] ?: Long.MIN_VALUE) }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
