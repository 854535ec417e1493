/*
 * Records what sends to endpoints show: health, refused models, named limits and pauses, endpoints that are leaving,
 * and which prompts were answered.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.peers.modelKey
import io.daisybend.platform.RequestLimit
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointPauses
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.quarantine.PromptQuarantine
import io.daisybend.serving.rates.EndpointRateLimiter

/** Passes the outcomes of sends on to the decisions that depend on them. */
internal class EndpointOutcomes(
    private val table: EndpointTable,
    private val quarantine: PromptQuarantine,
    private val rateLimiter: EndpointRateLimiter,
    private val pauses: EndpointPauses,
    private val departures: EndpointDepartures,
    private val steadyMs: () -> Long,
) {
    /** Records a successful response of [endpoint]. */
    fun recordSuccess(endpoint: Endpoint) = table.onSuccess(endpoint)

    /** Records a failure of [endpoint]. */
    fun recordFailure(endpoint: Endpoint) {
        table.onFailure(endpoint, steadyMs())
    }

    /** Records that [endpoint] is unreachable. */
    fun recordUnreachable(endpoint: Endpoint) = table.onUnreachable(endpoint, steadyMs())

    /** Records that [endpoint] refused the model of [admitted]. */
    fun recordRejection(endpoint: Endpoint, admitted: AdmittedRequest) {
        admitted.caller.demand?.let { table.onModelRefused(endpoint, modelKey(it.model, it.adapter), steadyMs()) }
    }

    /** Records the limit that a response of [endpoint] named. */
    fun recordLimit(endpoint: Endpoint, limit: RequestLimit.Named?) =
        rateLimiter.onResponse(endpoint.incarnation, limit?.perSecond, steadyMs())

    /**
     * Records that [endpoint] turned a request away and wants none for [pauseMs] milliseconds. Returns the time that is
     * left, or null if an earlier response named a later end.
     */
    fun recordPause(endpoint: Endpoint, pauseMs: Long): Long? =
        pauses.onTurnedAway(endpoint.incarnation, pauseMs, steadyMs())

    /** Returns whether [endpoint] wants no request of this VM now. */
    fun isPaused(endpoint: Endpoint): Boolean = pauses.leftMs(endpoint.incarnation, steadyMs()) > 0

    /** Returns whether a request that was chosen for [endpoint] may still be sent to it. */
    fun mayStillSend(endpoint: Endpoint): Boolean =
        !endpoint.entry.isDraining && endpoint.incarnation !in table.leaving && !isPaused(endpoint)

    /** Records that [endpoint] said that it is leaving. */
    fun recordLeaving(endpoint: Endpoint) = departures.onResponse(endpoint.incarnation)

    /** Records that a request to [endpoint] did not reach it. */
    fun recordUnsent(endpoint: Endpoint) = rateLimiter.refund(endpoint.incarnation)

    /** Records that the answer to [admitted] went on past its beginning. */
    fun recordProvenAnswer(admitted: AdmittedRequest) = quarantine.onAnswerProven(admitted.sharedPartIds, steadyMs())

    /** Records that the endpoint of [exchange] completed the answer. */
    fun recordCompleteAnswer(admitted: AdmittedRequest, exchange: TrackedExchange) {
        recordProvenAnswer(admitted)
        quarantine.onAnswerCompleted(exchange.endpoint.incarnation, exchange.startedAtMs, steadyMs())
    }
}
