/*
 * The load of one endpoint as one router sees it: the last report plus the tokens that this router has sent since.
 * Requests that were sent before the report are part of it.
 */
package io.daisybend.scheduling.routing

import io.daisybend.kernel.RequestId

internal class EndpointLoad {
    private val sentAtMs = HashMap<RequestId, SentRequest>()
    private var reportedTokens = 0L
    private var reportedAtMs = Long.MIN_VALUE

    val estimatedTokens: Long
        get() = maxOf(0L, reportedTokens) + sentAtMs.values.filter { it.atMs > reportedAtMs }.sumOf { it.tokens }

    fun report(pendingTokens: Long, atMs: Long) {
        if (atMs <= reportedAtMs) return
        reportedTokens = pendingTokens
        reportedAtMs = atMs
    }

    fun send(requestId: RequestId, tokens: Long, nowMs: Long) {
        sentAtMs[requestId] = SentRequest(tokens, nowMs)
    }

    fun finish(requestId: RequestId) {
        val sent = sentAtMs.remove(requestId) ?: return
        if (sent.atMs <= reportedAtMs) reportedTokens -= sent.tokens
    }

    private class SentRequest(val tokens: Long, val atMs: Long)
}
