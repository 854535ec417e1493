/*
 * Forwards an endpoint's response to the caller, either whole or as a stream. For a resumable stream only complete
 * events are forwarded, so that another endpoint can resume after the last one. A response that is delimited by the end
 * of its connection is complete only if the endpoint is still there: the connections of a process that crashes may end
 * in the same way.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.BodyFraming
import io.daisybend.entry.http.ConnectionBrokenException
import io.daisybend.entry.http.MalformedMessage
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.readAll
import io.daisybend.entry.path.isDown
import io.daisybend.platform.headersForCaller
import io.daisybend.serving.attempt.SendOutcome
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.stream.SilenceLimits
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.io.EOFException
import java.io.IOException

/** Forwards responses for [admitted] to [connection]; [handover] finds another engine for a silent stream. */
internal class ResponseRelay(
    private val connection: CallerConnection,
    private val admitted: AdmittedRequest,
    private val endpointPool: EndpointPool,
    private val endDetector: EngineEndDetector,
    private val streamBinding: StreamBinding,
    private val responseMemory: BodyMemory,
    private val handover: SilentEngineHandover,
    private val steadyMs: () -> Long,
) {
    /** Time from the arrival of the request to the first piece of its response, in milliseconds. */
    var firstPieceMs: Long? = null
        private set

    /** What marked the end of the completely received response, or null. */
    var endMark: BodyFraming? = null
        private set

    /** Id of the last event forwarded from a resumable stream, or null. */
    val lastEventId: String? get() = eventBuffer?.lastEventId

    private val eventBuffer = if (admitted.route.resumable) EventBuffer() else null
    private val remainingMs: Long get() = admitted.deadlineAtMs - steadyMs()

    /** Forwards [response] after its body was read completely; reports a failure if the body is incomplete. */
    suspend fun relayWhole(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
    ): SendResult {
        val allocation = responseMemory.newAllocation()
        try {
            return relayWhole(endpoint, response, tracked, allocation)
        } finally {
            allocation.release()
        }
    }

    private suspend fun relayWhole(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
        allocation: BodyMemory.Allocation,
    ): SendResult {
        val body = try {
            withTimeoutOrNull(remainingMs.coerceAtLeast(1)) {
                response.exchange.body.readAll(MAX_BUFFERED_RESPONSE_BYTES, allocation::tryReserve)
            }
        } catch (expectedBreak: IOException) {
            return onBroken(endpoint, response, "an answer that broke off", connectionEnded = true)
        } catch (expectedMalformed: MalformedMessageException) {
            null
        }
        if (body == null) return onBroken(endpoint, response, "an answer that broke off", connectionEnded = false)
        problemAtEnd(endpoint, response, body)?.let {
            return onBroken(endpoint, response, it, connectionEnded = true)
        }
        if (response.head.status in SUCCESS) endpointPool.outcomes.recordCompleteAnswer(admitted, tracked)
        response.exchange.finish()
        firstPieceMs = steadyMs() - admitted.arrivedAtMs
        endMark = response.head.framing
        connection.writeResponse(
            response.head.status,
            headersForCaller(response.head.headers),
            body,
            response.head.reason,
        )
        return completedResult(response.head.status)
    }

    /** Forwards the body of [response] as it arrives; reports a failure if the stream breaks off. */
    suspend fun relayStream(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
    ): SendResult {
        if (!connection.headWritten) {
            connection.startResponse(
                response.head.status,
                response.head.reason,
                headersForCaller(response.head.headers),
            )
        }
        var connectionEnded = false
        val failureReason = try {
            withTimeoutOrNull(remainingMs.coerceAtLeast(1)) { forwardEvents(endpoint, response, tracked) }
                ?: "no end in time"
        } catch (silent: StreamSilentException) {
            silent.message.orEmpty()
        } catch (broken: IOException) {
            connectionEnded = true
            broken.message.orEmpty()
        } catch (malformed: MalformedMessageException) {
            malformed.message.orEmpty()
        }
        if (failureReason.isEmpty()) {
            endpointPool.exchanges.onCompleted(tracked)
            endpointPool.outcomes.recordCompleteAnswer(admitted, tracked)
            endMark = response.head.framing
            connection.endResponse()
            return completedResult(response.head.status)
        }
        eventBuffer?.discardPartial()
        return onBroken(endpoint, response, "a stream that broke off: $failureReason", connectionEnded)
    }

    private fun onBroken(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        reason: String,
        connectionEnded: Boolean,
    ): SendResult {
        response.exchange.abort()
        val isPathDown = connectionEnded && endpointPool.outcomes.paths.isDown(endpoint)
        if (remainingMs > 0 && !isPathDown) endpointPool.outcomes.recordFailure(endpoint)
        return SendResult(SendOutcome.Unknown, reason, connectionEnded = connectionEnded)
    }

    /** Forwards the body as it arrives; returns an empty string at the end of the stream. */
    private suspend fun forwardEvents(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
    ): String = coroutineScope {
        var isProven = false
        var receivedBytes = 0
        var eventAtMs = steadyMs()
        while (true) {
            val bytes = readNextPiece(response, eventAtMs) ?: break
            receivedBytes += bytes.size
            if (receivedBytes > MAX_STREAM_BYTES) throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
            if (firstPieceMs == null) firstPieceMs = steadyMs() - admitted.arrivedAtMs
            val eventsBefore = tracked.progress.eventCount
            tracked.progress.onBytes(bytes)
            val hasNewEvent = tracked.progress.eventCount > eventsBefore
            if (hasNewEvent) handover.cancelOffer()
            endpointPool.exchanges.onFirstEvent(tracked)
            if (!isProven && tracked.progress.eventCount >= PROVEN_EVENTS) {
                isProven = true
                endpointPool.outcomes.recordProvenAnswer(admitted)
            }
            val events = eventBuffer?.completeEvents(bytes) ?: bytes
            if (events.isNotEmpty()) streamBinding.onEvents(endpoint)
            connection.writeChunk(events)
            // A slow caller is no silence of the engine.
            if (hasNewEvent) eventAtMs = steadyMs()
        }
        handover.cancelOffer()
        problemAtEnd(endpoint, response, tracked)?.let { throw ConnectionBrokenException(EOFException(it)) }
        eventBuffer?.takeRemainder()?.let { connection.writeChunk(it) }
        ""
    }

    private suspend fun problemAtEnd(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        tracked: TrackedExchange,
    ): String? = when {
        tracked.progress.isInsideEvent -> "the stream ends inside an event"
        // Without a length or chunks, an engine that ends before its first event looks like the end of the stream.
        response.head.framing == BodyFraming.UntilClose && tracked.progress.eventCount == 0 ->
            "the stream ends before its first event"
        endsWithEndpoint(endpoint, response) -> "the stream ends with its endpoint"
        else -> null
    }

    private suspend fun problemAtEnd(
        endpoint: Endpoint,
        response: SendStart.HeadReceived,
        body: ByteArray,
    ): String? = when {
        // Without a length or chunks, an engine that stops after the head looks like the end of an empty body.
        response.head.framing == BodyFraming.UntilClose && response.head.status in SUCCESS && body.isEmpty() ->
            "an answer that ended before its body"
        endsWithEndpoint(endpoint, response) -> "an answer that ended with its endpoint"
        else -> null
    }

    private suspend fun endsWithEndpoint(endpoint: Endpoint, response: SendStart.HeadReceived): Boolean =
        response.head.framing == BodyFraming.UntilClose && endDetector.hasEnded(endpoint)

    /**
     * Reads the next piece of a stream whose last event was at [eventAtMs]. Bytes that complete no event don't prolong
     * the wait of a stream that can go on elsewhere.
     */
    private suspend fun CoroutineScope.readNextPiece(response: SendStart.HeadReceived, eventAtMs: Long): ByteArray? {
        if (!admitted.route.resumable) return response.exchange.body.readPiece()
        val reading = async(start = CoroutineStart.UNDISPATCHED) { response.exchange.body.readPiece() }
        val limits = SilenceLimits.betweenEvents(admitted.eventGapTimeoutMs)
        if (handover.awaitStep(this, reading, eventAtMs, limits)) return reading.await()
        throw StreamSilentException("no event for ${steadyMs() - eventAtMs} ms, and another engine has accepted it")
    }

    private fun completedResult(status: Int): SendResult {
        val cause = if (status in SUCCESS) "served" else "endpoint failed"
        return SendResult(SendOutcome.Unknown, "", RequestOutcome(status, cause, "ran"))
    }

    private class StreamSilentException(message: String) : IOException(message)

    companion object {
        /** Events after which an answer has gone on past its beginning. */
        const val PROVEN_EVENTS = 2

        private const val MAX_BUFFERED_RESPONSE_BYTES = 8_388_608

        /** Bytes after which a stream has no end: many times the longest output of a model. */
        private const val MAX_STREAM_BYTES = 8_388_608
        private val SUCCESS = 200..299
    }
}
