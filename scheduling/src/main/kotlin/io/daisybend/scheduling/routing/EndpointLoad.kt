/*
 * Estimates the load of one endpoint from the view of one router: the tokens in the last report plus the tokens that
 * this router has sent since. The report is assumed to contain all requests that were sent before it.
 */
package io.daisybend.scheduling.routing

import io.daisybend.kernel.RequestId

internal class EndpointLoad {
    private val sentRequests = HashMap<RequestId, SentRequest>()
    private var reportedTokens = 0L
    private var reportedAtMs = Long.MIN_VALUE

    val estimatedTokens: Long
        get() = maxOf(0L, reportedTokens) + sentRequests.values.filter { it.atMs > reportedAtMs }.sumOf { it.tokens }

    fun applyReport(pendingTokens: Long, atMs: Long) {
        if (atMs <= reportedAtMs) return
        reportedTokens = pendingTokens
        reportedAtMs = atMs
    }

    fun recordSent(requestId: RequestId, tokens: Long, nowMs: Long) {
        sentRequests[requestId] = SentRequest(tokens, nowMs)
    }

    fun recordFinished(requestId: RequestId) {
        val sent = sentRequests.remove(requestId) ?: return
        if (sent.atMs <= reportedAtMs) reportedTokens -= sent.tokens
    }

    private class SentRequest(val tokens: Long, val atMs: Long)
}
