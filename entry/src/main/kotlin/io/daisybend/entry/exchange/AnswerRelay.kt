/*
 * Passes an endpoint's answer on to the caller: whole, or event by event as they come. Only whole events of a resumable
 * stream are passed on, so that another endpoint can go on where one broke off.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.ConnectionBroken
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.Status
import io.daisybend.entry.http.readAll
import io.daisybend.platform.headersForCaller
import io.daisybend.serving.attempt.SendOutcome
import io.daisybend.serving.endpoint.Endpoint
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Passes answers to [admitted] on to [connection]. */
internal class AnswerRelay(
    private val connection: CallerConnection,
    private val admitted: Admitted,
    private val desk: EndpointDesk,
    private val steadyMs: () -> Long,
) {
    /** Time from the request's arrival to the first piece of its answer, in milliseconds. */
    var firstPieceMs: Long? = null
        private set

    /** The last event that was passed on of a resumable stream. */
    val lastEventId: String? get() = events?.lastEventId

    private val events = if (admitted.route.resumable) EventPieces() else null
    private val timeLeftMs: Long get() = admitted.endsAtMs - steadyMs()

    /** Passes [answer] on once it is whole. */
    suspend fun whole(endpoint: Endpoint, answer: SendStart.Answered): SendResult {
        val body = try {
            withTimeoutOrNull(timeLeftMs.coerceAtLeast(1)) { answer.exchange.body.readAll(MAX_WHOLE_ANSWER_BYTES) }
        } catch (expectedBreak: IOException) {
            null
        } catch (expectedSpoiling: MalformedMessageException) {
            null
        }
        if (body == null) {
            answer.exchange.abort()
            desk.failed(endpoint)
            return SendResult(SendOutcome.Unknown, "an answer that broke off")
        }
        answer.exchange.finish()
        firstPieceMs = steadyMs() - admitted.arrivedAtMs
        connection.answer(answer.head.status, headersForCaller(answer.head.headers), body, answer.head.reason)
        return answered(answer.head.status)
    }

    /** Passes the events of [answer] on as they come. */
    suspend fun stream(endpoint: Endpoint, answer: SendStart.Answered, place: ExchangePlace): SendResult {
        if (!connection.answerBegun) {
            connection.beginAnswer(answer.head.status, answer.head.reason, headersForCaller(answer.head.headers))
        }
        val broken = try {
            withTimeoutOrNull(timeLeftMs.coerceAtLeast(1)) { forwardEvents(answer, place) } ?: "no end in time"
        } catch (broken: IOException) {
            broken.message.orEmpty()
        } catch (malformed: MalformedMessageException) {
            malformed.message.orEmpty()
        }
        if (broken.isEmpty()) {
            desk.places.answered(place)
            connection.endAnswer()
            return answered(answer.head.status)
        }
        answer.exchange.abort()
        events?.dropPartial()
        if (timeLeftMs > 0) desk.failed(endpoint)
        return SendResult(SendOutcome.Unknown, "a stream that broke off: $broken")
    }

    /** Forwards events as they come; returns an empty text at the stream's end. */
    private suspend fun forwardEvents(answer: SendStart.Answered, place: ExchangePlace): String {
        while (true) {
            val bytes = nextPiece(answer) ?: break
            if (firstPieceMs == null) firstPieceMs = steadyMs() - admitted.arrivedAtMs
            desk.places.firstEvent(place)
            connection.piece(events?.wholeEvents(bytes) ?: bytes)
        }
        events?.rest()?.let { connection.piece(it) }
        return ""
    }

    private suspend fun nextPiece(answer: SendStart.Answered): ByteArray? {
        if (!admitted.route.resumable) return answer.exchange.body.next()
        var piece: ByteArray? = null
        val isInTime = withTimeoutOrNull(SILENT_STREAM_MS) {
            piece = answer.exchange.body.next()
            true
        }
        if (isInTime == null) throw ConnectionBroken(IOException("no event for $SILENT_STREAM_MS ms"))
        return piece
    }

    private fun answered(status: Int): SendResult {
        val cause = if (Status.isSuccess(status)) "served" else "endpoint failed"
        return SendResult(SendOutcome.Unknown, "", RequestOutcome(status, cause, "ran"))
    }

    private companion object {
        const val MAX_WHOLE_ANSWER_BYTES = 8_388_608

        /** Silence after which a resumable stream goes to another engine, in milliseconds: many times a usual pause. */
        const val SILENT_STREAM_MS = 1_200L
    }
}
