/*
 * Records what the sends of one request show of their endpoints: that they are unreachable or fail, that they refuse
 * the request, and the limits and pauses that they name.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.path.isDown
import io.daisybend.platform.ColdLeft
import io.daisybend.platform.RequestLimit
import io.daisybend.platform.RetryAfter
import io.daisybend.platform.isOtherInstance
import io.daisybend.serving.endpoint.Endpoint

/** Records the outcomes of sends of [admitted]. */
internal class SendRecorder(
    private val admitted: AdmittedRequest,
    private val outcomes: EndpointOutcomes,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    /** Records that no byte of the request of [send] was written. */
    fun onNotSent(send: Send, start: SendStart.NotSent) {
        if (!start.isWithheld && !outcomes.paths.isDown(send.endpoint)) outcomes.recordUnreachable(send.endpoint)
        outcomes.recordUnsent(send.endpoint, send.reservedAtMs)
    }

    /** Records that [endpoint] sent no valid response. */
    fun onNoResponse(endpoint: Endpoint, start: SendStart.NoResponse) {
        if (start.isPathLost) return
        if (start.connectionEnded) outcomes.recordConnectionLost(endpoint)
        val isPathDown = start.connectionEnded && outcomes.paths.isDown(endpoint)
        if (admitted.deadlineAtMs > steadyMs() && !start.withdrawn && !isPathDown) outcomes.recordFailure(endpoint)
    }

    /** Records that [endpoint] refused the request as not run. */
    fun onRejection(endpoint: Endpoint, response: SendStart.HeadReceived) {
        onHead(endpoint, response)
        if (!response.exchange.body.isComplete) response.exchange.abort()
        if (isOtherInstance(response.head.status) && admitted.caller.demand == null) {
            outcomes.recordUnreachable(endpoint)
        } else {
            outcomes.recordRejection(endpoint, admitted)
        }
    }

    /** Records what [endpoint] says of the requests that it wants. */
    fun onHead(endpoint: Endpoint, response: SendStart.HeadReceived) {
        recordLimit(endpoint, response)
        recordColdLeft(endpoint, response)
        if (response.head.status == STATUS_UNAVAILABLE) recordPause(endpoint, response)
    }

    private fun recordLimit(endpoint: Endpoint, response: SendStart.HeadReceived) {
        when (val limit = response.headers.requestLimit) {
            is RequestLimit.Named -> outcomes.recordLimit(endpoint, limit)
            // An endpoint that rejects a request need not name its limit.
            null -> if (!response.headers.didNotRun) outcomes.recordLimit(endpoint, limit = null)
            is RequestLimit.Unreadable -> log.write(
                "endpoint-limit-unreadable",
                "request" to admitted.request.attemptId,
                "endpoint" to endpoint.incarnation.id,
                "limit" to limit.value.take(MAX_LOGGED_CHARS),
            )
        }
    }

    private fun recordColdLeft(endpoint: Endpoint, response: SendStart.HeadReceived) {
        when (val coldLeft = response.headers.coldLeft) {
            is ColdLeft.Named -> outcomes.recordColdLeft(endpoint, coldLeft.leftMs)
            is ColdLeft.Unreadable -> log.write(
                "endpoint-cold-unreadable",
                "request" to admitted.request.attemptId,
                "endpoint" to endpoint.incarnation.id,
                "value" to coldLeft.value.take(MAX_LOGGED_CHARS),
            )
            null -> Unit
        }
    }

    private fun recordPause(endpoint: Endpoint, response: SendStart.HeadReceived) {
        when (val retryAfter = response.headers.retryAfter) {
            is RetryAfter.Pause -> {
                val leftMs = outcomes.recordPause(endpoint, retryAfter.pauseMs) ?: return
                log.write(
                    "endpoint-paused",
                    "request" to admitted.request.attemptId,
                    "endpoint" to endpoint.incarnation.id,
                    "bornMs" to endpoint.incarnation.bornMs,
                    "leftMs" to leftMs,
                    "namedMs" to retryAfter.pauseMs.takeIf { it != leftMs },
                )
            }
            is RetryAfter.Unreadable -> log.write(
                "endpoint-pause-unreadable",
                "request" to admitted.request.attemptId,
                "endpoint" to endpoint.incarnation.id,
                "retryAfter" to retryAfter.value.take(MAX_LOGGED_CHARS),
            )
            null -> Unit
        }
    }

    private companion object {
        const val STATUS_UNAVAILABLE = 503
        const val MAX_LOGGED_CHARS = 40
    }
}
