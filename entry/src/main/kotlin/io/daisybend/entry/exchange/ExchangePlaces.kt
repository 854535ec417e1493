/*
 * Keeps count of what exchanges of this VM take of endpoints, for the choice here and for the report to the peers.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.useKey
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.endpoint.Reservation
import io.daisybend.serving.endpoint.RunDurations
import java.util.concurrent.ConcurrentHashMap

/** What one exchange with [demand] takes of an endpoint since [begunAtMs]. */
internal class ExchangePlace(
    val endpoint: Endpoint,
    val reservation: Reservation,
    val demand: ModelDemand?,
    val begunAtMs: Long,
) {
    /** When the first event came, or null before it. */
    @Volatile
    var firstEventAtMs: Long? = null

    /** Keys under which the exchange counts as a use. */
    val useKeys = listOfNotNull(demand?.model, demand?.adapter?.let { useKey(demand.model, it) })
}

/** The exchanges under way from this VM. */
internal class ExchangePlaces(
    private val table: EndpointTable,
    private val prompts: PromptMemory,
    private val steadyMs: () -> Long,
) {
    private val places = ConcurrentHashMap.newKeySet<ExchangePlace>()
    private val durations = RunDurations()

    /** Notes that an exchange with [demand] begins at [endpoint]. */
    fun begin(endpoint: Endpoint, demand: ModelDemand?): ExchangePlace {
        val cached = demand?.let { prompts.cachedTokens(endpoint.incarnation, it) } ?: 0
        val promptTokens = demand?.promptTokens ?: 0
        val reservation = Reservation(
            promptTokens = (promptTokens - cached).coerceAtLeast(0).toLong(),
            kvTokens = promptTokens.toLong() + (demand?.maxOutputTokens ?: 0),
        )
        table.onExchangeStarted(endpoint, reservation)
        demand?.let { prompts.read(endpoint.incarnation, it) }
        return ExchangePlace(endpoint, reservation, demand, steadyMs()).also(places::add)
    }

    /** Notes the first event of an exchange. */
    fun firstEvent(place: ExchangePlace) {
        if (place.firstEventAtMs != null) return
        place.firstEventAtMs = steadyMs()
        table.onFirstEvent(place.endpoint, place.reservation)
    }

    /** Notes the end of an exchange that was answered to its end. */
    fun answered(place: ExchangePlace) {
        val firstEventAtMs = place.firstEventAtMs ?: return
        place.demand?.let { durations.onEnded(it.maxOutputTokens, steadyMs() - firstEventAtMs) }
    }

    /** Notes the end of an exchange. */
    fun end(place: ExchangePlace) {
        table.onExchangeEnded(place.endpoint, place.reservation, isPrefilled = place.firstEventAtMs != null)
        places.remove(place)
    }

    /** What requests of this VM take of endpoints, for the report to the peers. */
    fun uses(): List<EndpointUse> {
        val now = steadyMs()
        val byEndpoint = places.groupBy { it.endpoint.incarnation.id }
        return table.all().filter { it.inFlight > 0 }.map { endpoint ->
            val here = byEndpoint[endpoint.incarnation.id].orEmpty()
            EndpointUse(
                endpoint.incarnation.id,
                endpoint.inFlight,
                endpoint.pendingPromptTokens,
                endpoint.kvTokens,
                models = here.flatMap { it.useKeys }.groupingBy { it }.eachCount(),
                endsInMs = here.mapNotNull { place -> place.demand?.model?.let { it to endsInMs(place, now) } }
                    .groupingBy { it.first }.fold(0L) { longest, (_, ms) -> maxOf(longest, ms) },
            )
        }
    }

    private fun endsInMs(place: ExchangePlace, now: Long): Long {
        val outputMs = durations.expectedMs(place.demand?.maxOutputTokens ?: 0)
        val firstEventAtMs = place.firstEventAtMs ?: (place.begunAtMs + USUAL_FIRST_EVENT_MS).coerceAtLeast(now)
        return (firstEventAtMs + outputMs - now).coerceAtLeast(0)
    }

    private companion object {
        /** Time to the first event that a run is taken to need, in milliseconds: a usual prompt. */
        const val USUAL_FIRST_EVENT_MS = 250L
    }
}
