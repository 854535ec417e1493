/*
 * Counts the load that requests of this VM put on endpoints, for its own endpoint selection and for the report to the
 * peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.modelKey
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointLoad
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.endpoint.Reservation
import io.daisybend.serving.endpoint.RunDurations
import java.util.concurrent.ConcurrentHashMap

/** What was known of the first event of a request when it was sent. */
internal class FirstEventExpectation(
    /** Tokens that the endpoint has to read first. */
    val tokensToRead: Long,
    val cachedTokens: Int,
    /** Predicted time to the first event, in milliseconds. */
    val firstEventMs: Double,
    /** Reading time that the prefix cache is expected to save, 0 if the request may have to wait, in milliseconds. */
    val savedMs: Double,
    /** Whether the first event will show how fast the endpoint reads. */
    val showsPrefillRate: Boolean,
)

/** A request with [demand] in progress at [endpoint] since [startedAtMs], and the load reserved for it. */
internal class TrackedExchange(
    val endpoint: Endpoint,
    val reservation: Reservation,
    val demand: ModelDemand?,
    val startedAtMs: Long,
    val expectation: FirstEventExpectation,
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
    private val prefixCaches: PrefixCaches,
    private val loads: EndpointLoads,
    private val steadyMs: () -> Long,
) {
    private val activeExchanges = ConcurrentHashMap.newKeySet<TrackedExchange>()
    private val durations = RunDurations()

    /** Records the start of an exchange at [endpoint] and reserves its load. */
    fun begin(endpoint: Endpoint, demand: ModelDemand?): TrackedExchange {
        val cached = demand?.let { prefixCaches.onSent(endpoint, it) } ?: 0
        val promptTokens = demand?.promptTokens ?: 0
        val reservation = Reservation(
            promptTokens = (promptTokens - cached).coerceAtLeast(0).toLong(),
            kvTokens = promptTokens.toLong() + (demand?.maxOutputTokens ?: 0),
        )
        val before = loads.loadOf(endpoint, steadyMs())
        table.onExchangeStarted(endpoint, reservation)
        val expectation = expectationOf(endpoint, before, reservation.promptTokens, cached)
        return TrackedExchange(endpoint, reservation, demand, steadyMs(), expectation).also(activeExchanges::add)
    }

    private fun expectationOf(
        endpoint: Endpoint,
        load: EndpointLoad,
        ownTokens: Long,
        cachedTokens: Int,
    ): FirstEventExpectation {
        val isFree = load.inFlight < endpoint.entry.slots && load.waiting < MIN_WAITING
        val msPerToken = load.pace / (load.prefillTokensPerMs ?: endpoint.loadEstimate.rates.prefillTokensPerMs.value)
        val tokensToRead = load.pendingPromptTokens + ownTokens
        val otherTokens = load.pendingPromptTokens + cachedTokens
        return FirstEventExpectation(
            tokensToRead,
            cachedTokens,
            firstEventMs = tokensToRead * msPerToken + load.inFlight * load.pace,
            savedMs = if (isFree) cachedTokens * msPerToken else 0.0,
            showsPrefillRate = isFree && otherTokens * MAX_OTHER_SHARE < ownTokens,
        )
    }

    /** Records the first event of [exchange]; later calls have no effect. */
    fun onFirstEvent(exchange: TrackedExchange) {
        if (exchange.firstEventAtMs != null) return
        val now = steadyMs()
        exchange.firstEventAtMs = now
        table.onFirstEvent(exchange.endpoint, exchange.reservation)
        prefixCaches.onFirstEvent(exchange, now)
        if (exchange.expectation.showsPrefillRate) {
            val tokens = exchange.expectation.tokensToRead
            exchange.endpoint.loadEstimate.onPrefilled(tokens, now - exchange.startedAtMs, now)
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

        /** Waiting requests from which on an endpoint is not free. */
        const val MIN_WAITING = 0.5

        /** Assumed time to the first event of a request, in milliseconds: a typical prompt. */
        const val TYPICAL_FIRST_EVENT_MS = 250L

        /** Factor by which a run may exceed the predicted duration. */
        const val SERVICE_TIME_MARGIN = 2
    }
}
