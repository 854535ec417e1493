/*
 * State shared by the simulators of one run.
 */
package io.daisybend.bench.run

import io.daisybend.bench.decisions.StrategySet
import io.daisybend.bench.site.SitePreset
import io.daisybend.bench.trace.Arrival
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.RequestId
import org.HdrHistogram.Histogram
import kotlin.random.Random

internal class RunContext(
    val site: SitePreset,
    val loop: EventLoop,
    val strategies: StrategySet,
    seed: Long,
) {
    val random = Random(seed)
    val engines: Map<EndpointId, EngineState> = site.engines.associate { it.endpointId to EngineState(it) }
    val routers = List(site.vmCount) { strategies.newRouter(it) }.toMutableList()
    val requests = HashMap<RequestId, ActiveRequest>()
    val counts = RunCounts()
    val fairShare = FairShareObserver()
    val rates = RateObserver(site.teams)
    val coldStartMs = newHistogram()
    val interactiveFirstTokenMs = newHistogram()
    val batchFirstTokenMs = newHistogram()
    var logAvailableFromMs = 0L

    val isLogAvailable: Boolean get() = loop.nowMs >= logAvailableFromMs

    fun engine(endpointId: EndpointId): EngineState = engines.getValue(endpointId)

    /** Refuses an admitted request for lack of capacity. */
    fun refuse(request: ActiveRequest) {
        counts.capacityRefusals++
        complete(request, usedTokens = 0)
    }

    fun complete(request: ActiveRequest, usedTokens: Long) {
        val arrival = request.arrival
        requests -= arrival.requestId
        rates.onRefunded(arrival.team.teamId, arrival.reservedTokens - usedTokens, loop.nowMs)
        strategies.rates.settle(request.vmIndex, arrival.requestId, arrival.team.teamId, usedTokens)
    }

    private fun newHistogram() = Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)

    private companion object {
        const val MAX_RECORDED_MS = 100_000_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}

/** An admitted request that is not yet completed or refused. */
internal class ActiveRequest(val arrival: Arrival, val vmIndex: Int) {
    var isCold = false
    var endpointId: EndpointId? = null
    var isDispatched = false
}
