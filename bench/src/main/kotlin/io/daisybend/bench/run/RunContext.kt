/*
 * What the parts of one run share.
 */
package io.daisybend.bench.run

import io.daisybend.bench.decisions.Decisions
import io.daisybend.bench.site.SitePreset
import io.daisybend.bench.trace.Arrival
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import org.HdrHistogram.Histogram
import kotlin.random.Random

internal class RunContext(
    val site: SitePreset,
    val loop: EventLoop,
    val decisions: Decisions,
    seed: Long,
) {
    val random = Random(seed)
    val engines: Map<EndpointId, EngineState> = site.engines.associate { it.endpointId to EngineState(it) }
    val routers = List(site.vmCount) { decisions.newRouter(it) }.toMutableList()
    val requests = HashMap<RequestId, ActiveRequest>()
    val counts = RunCounts()
    val fairShare = FairShareObserver()
    val rates = RateObserver(site.teams)
    val coldStartMs = newHistogram()
    val interactiveFirstTokenMs = newHistogram()
    val batchFirstTokenMs = newHistogram()
    var logUpAtMs = 0L

    val isLogUp: Boolean get() = loop.nowMs >= logUpAtMs

    fun engine(endpointId: EndpointId): EngineState = engines.getValue(endpointId)

    /** Ends a request that is not going to be served. */
    fun refuse(request: ActiveRequest) {
        counts.capacityRefusals++
        end(request, usedTokens = 0)
    }

    fun end(request: ActiveRequest, usedTokens: Long) {
        val arrival = request.arrival
        requests -= arrival.requestId
        rates.returned(arrival.team.teamId, arrival.reservedTokens - usedTokens, loop.nowMs)
        decisions.rates.settle(request.vmIndex, arrival.requestId, arrival.team.teamId, usedTokens)
    }

    private fun newHistogram() = Histogram(HIGHEST_MS, SIGNIFICANT_DIGITS)

    private companion object {
        const val HIGHEST_MS = 100_000_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}

/** A request that has been admitted and not yet ended. */
internal class ActiveRequest(val arrival: Arrival, val vmIndex: Int) {
    var isCold = false
    var endpointId: EndpointId? = null
    var isDispatched = false
}
