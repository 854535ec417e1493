/*
 * Counts the load that requests of this VM put on endpoints, for its own endpoint selection and for the report to the
 * peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.modelKey
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.endpoint.Reservation
import io.daisybend.serving.endpoint.RunDurations
import java.util.concurrent.ConcurrentHashMap

/** A request with [demand] in progress at [endpoint] since [startedAtMs], and the load reserved for it. */
internal class TrackedExchange(
    val endpoint: Endpoint,
    val reservation: Reservation,
    val demand: ModelDemand?,
    val startedAtMs: Long,
    /** Tokens that the endpoint had to read first, and whether nothing else was expected to delay the first event. */
    val tokensToRead: Long,
    val showsPrefillRate: Boolean,
) {
    /** The events received. */
    val progress = EventProgress()

    /** Arrival time of the first event, or null before it. */
    @Volatile
    var firstEventAtMs: Long? = null

    /** Keys of the model and the adapter under which this exchange is counted. */
    val modelKeys = listOfNotNull(demand?.model, demand?.adapter?.let { modelKey(demand.model, it) })
}

/** Requests of this VM in progress at endpoints. */
internal class ExchangeTracker(
    private val table: EndpointTable,
    private val promptCache: PromptCacheIndex,
    private val loads: EndpointLoads,
    private val steadyMs: () -> Long,
) {
    private val activeExchanges = ConcurrentHashMap.newKeySet<TrackedExchange>()
    private val durations = RunDurations()

    /** Records the start of an exchange at [endpoint] and reserves its load. */
    fun begin(endpoint: Endpoint, demand: ModelDemand?): TrackedExchange {
        val cached = demand?.let { promptCache.cachedTokens(endpoint.incarnation, it) } ?: 0
        val promptTokens = demand?.promptTokens ?: 0
        val reservation = Reservation(
            promptTokens = (promptTokens - cached).coerceAtLeast(0).toLong(),
            kvTokens = promptTokens.toLong() + (demand?.maxOutputTokens ?: 0),
        )
        val before = loads.loadOf(endpoint, steadyMs())
        table.onExchangeStarted(endpoint, reservation)
        demand?.let { promptCache.recordPrompt(endpoint.incarnation, it) }
        val isIdle = before.inFlight < endpoint.entry.slots && before.waiting == 0.0 &&
            before.pendingPromptTokens * MAX_OTHER_SHARE < reservation.promptTokens
        return TrackedExchange(
            endpoint,
            reservation,
            demand,
            steadyMs(),
            tokensToRead = before.pendingPromptTokens + reservation.promptTokens,
            showsPrefillRate = isIdle && cached * MAX_OTHER_SHARE < promptTokens,
        ).also(activeExchanges::add)
    }

    /** Records the first event of [exchange]; later calls have no effect. */
    fun onFirstEvent(exchange: TrackedExchange) {
        if (exchange.firstEventAtMs != null) return
        val now = steadyMs()
        exchange.firstEventAtMs = now
        table.onFirstEvent(exchange.endpoint, exchange.reservation)
        if (exchange.showsPrefillRate) {
            exchange.endpoint.loadEstimate.onPrefilled(exchange.tokensToRead, now - exchange.startedAtMs, now)
        }
    }

    /** Records the duration of a completely received response, which later estimates use. */
    fun onCompleted(exchange: TrackedExchange) {
        val firstEventAtMs = exchange.firstEventAtMs ?: return
        val now = steadyMs()
        exchange.demand?.let {
            durations.onEnded(it.maxOutputTokens, now - firstEventAtMs)
            exchange.endpoint.loadEstimate.onRunEnded(it.maxOutputTokens, now - firstEventAtMs, now)
        }
    }

    /** Ends [exchange], complete or not, and releases its reserved load. */
    fun end(exchange: TrackedExchange) {
        table.onExchangeEnded(exchange.endpoint, exchange.reservation, isPrefilled = exchange.firstEventAtMs != null)
        activeExchanges.remove(exchange)
    }

    /** Returns the use of endpoints by this VM, for the report to the peers. */
    fun endpointUses(): List<EndpointUse> {
        val now = steadyMs()
        val byEndpoint = activeExchanges.groupBy { it.endpoint.incarnation.id }
        return table.all().filter { it.inFlight > 0 }.map { endpoint ->
            val ownExchanges = byEndpoint[endpoint.incarnation.id].orEmpty()
            EndpointUse(
                endpoint.incarnation.id,
                endpoint.inFlight,
                endpoint.pendingPromptTokens,
                endpoint.kvTokens,
                models = ownExchanges.flatMap { it.modelKeys }.groupingBy { it }.eachCount(),
                endsInMs = ownExchanges
                    .mapNotNull { exchange -> exchange.demand?.model?.let { it to timeToEndMs(exchange, now) } }
                    .groupingBy { it.first }.fold(0L) { longest, (_, ms) -> maxOf(longest, ms) },
            )
        }
    }

    /** Returns how long a response to a request with [demand] is expected to take, in milliseconds. */
    fun expectedServiceMs(demand: ModelDemand?): Long =
        TYPICAL_FIRST_EVENT_MS + durations.expectedMs(demand?.maxOutputTokens ?: 0) * SERVICE_TIME_MARGIN

    private fun timeToEndMs(exchange: TrackedExchange, now: Long): Long {
        val outputMs = durations.expectedMs(exchange.demand?.maxOutputTokens ?: 0)
        val firstEventAtMs =
            exchange.firstEventAtMs ?: (exchange.startedAtMs + TYPICAL_FIRST_EVENT_MS).coerceAtLeast(now)
        return (firstEventAtMs + outputMs - now).coerceAtLeast(0)
    }

    private companion object {
        /** A first event shows the rate of reading if less than one in this many of its tokens was in question. */
        const val MAX_OTHER_SHARE = 10

        /** Assumed time to the first event of a request, in milliseconds: a typical prompt. */
        const val TYPICAL_FIRST_EVENT_MS = 250L

        /** Factor by which a run may exceed the predicted duration. */
        const val SERVICE_TIME_MARGIN = 2
    }
}
