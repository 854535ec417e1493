/*
 * Demand of this VM for models: the requests that wait for a model or an endpoint, and how many requests there were for
 * each model and adapter. The holder of the order duty plans with it.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.QueuedDemandReport
import io.daisybend.entry.peers.modelKey
import io.daisybend.serving.endpoint.ModelDemand
import java.util.concurrent.ConcurrentHashMap

/** Requests with the same key wait for the same model, or for any endpoint, with the same urgency. */
internal data class DemandKey(val service: String, val model: String?, val urgency: Int) {
    /** Returns whether requests with [other] wait for the same. */
    fun isForSameAs(other: DemandKey): Boolean = service == other.service && model == other.model
}

/** A request that waits since [sinceMs], in milliseconds of the monotonic clock. */
internal class WaitingRequest(val key: DemandKey, val sinceMs: Long)

/** Counts waiting and past requests. */
internal class ModelDemandTracker(private val steadyMs: () -> Long) {
    private class RequestCount(val count: Int, val lastAtMs: Long)

    private val waitingRequests = ConcurrentHashMap<DemandKey, ConcurrentHashMap<WaitingRequest, Unit>>()
    private val requestCounts = ConcurrentHashMap<String, RequestCount>()

    /** Counts a new request for the model and adapter of [demand]. */
    fun onRequest(demand: ModelDemand) {
        countRequest(demand.model)
        demand.adapter?.let { countRequest(modelKey(demand.model, it)) }
    }

    private fun countRequest(modelKey: String) {
        val now = steadyMs()
        requestCounts.compute(modelKey) { _, known -> RequestCount((known?.count ?: 0) + 1, now) }
    }

    /** Records that [admitted] begins to wait for an endpoint. */
    fun startWaiting(admitted: AdmittedRequest): WaitingRequest {
        val key = keyOf(admitted)
        val request = WaitingRequest(key, steadyMs())
        waitingRequests.computeIfAbsent(key) { ConcurrentHashMap() }[request] = Unit
        return request
    }

    /** Returns the number of requests that wait for the same as [admitted]. */
    fun waitingCount(admitted: AdmittedRequest): Int = waitingRequests[keyOf(admitted)]?.size ?: 0

    /** Returns the number of requests that wait for the same as [admitted] and are not less urgent. */
    fun waitingAhead(admitted: AdmittedRequest): Int {
        val key = keyOf(admitted)
        return waitingRequests.entries.sumOf { (other, requests) ->
            if (other.isForSameAs(key) && other.urgency <= key.urgency) requests.size else 0
        }
    }

    /** Returns whether a more urgent request than [admitted] waits for the same. */
    fun isMoreUrgentWaiting(admitted: AdmittedRequest): Boolean {
        val key = keyOf(admitted)
        return waitingRequests.any { (other, requests) ->
            other.isForSameAs(key) && other.urgency < key.urgency && requests.isNotEmpty()
        }
    }

    private fun keyOf(admitted: AdmittedRequest) = DemandKey(
        admitted.service.name,
        admitted.caller.demand?.let { modelKey(it.model, it.adapter) },
        admitted.priority,
    )

    /** Records that [request] waits no longer. */
    fun endWaiting(request: WaitingRequest) {
        waitingRequests[request.key]?.remove(request)
    }

    /** Returns the requests of this VM that wait for models, by service, model and priority, for the peers. */
    fun queuedDemand(): List<QueuedDemandReport> {
        val now = steadyMs()
        return waitingRequests.mapNotNull { (key, requests) ->
            val model = key.model ?: return@mapNotNull null
            val longestWaitingSinceMs = requests.keys.minOfOrNull { it.sinceMs } ?: return@mapNotNull null
            QueuedDemandReport(key.service, model, requests.size, key.urgency, now - longestWaitingSinceMs)
        }
    }

    /** Returns the requests since the start of this VM for each model and adapter requested in the last [windowMs]. */
    fun requestCounts(windowMs: Long): Map<String, Int> {
        val sinceMs = steadyMs() - windowMs
        return requestCounts.filterValues { it.lastAtMs >= sinceMs }.mapValues { it.value.count }
    }
}
