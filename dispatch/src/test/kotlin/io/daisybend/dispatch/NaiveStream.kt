/*
 * Streams with one mechanism switched off each.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId

/** Forwards every token that comes on its connections and starts anew when one breaks. */
internal class ForwardingStream : StreamUnderTest {
    private var attempts = 0
    private var delivered = 0
    override var isEnded = false
        private set

    override fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> =
        when {
            isEnded -> emptyList()
            event is StreamEvent.Started -> listOf(open(StreamTarget.AnyReplica))
            event is StreamEvent.AttemptLost && attempts <= 6 -> listOf(open(StreamTarget.OtherReplica(attempts - 1)))
            event is StreamEvent.TokenReceived -> forward(event.token)
            else -> emptyList()
        }

    private fun open(target: StreamTarget) = StreamAction.Open(attempts++, target, fromIndex = delivered)

    private fun forward(token: StreamToken): List<StreamAction> {
        delivered++
        isEnded = token.finishReason != null
        return listOf(StreamAction.Deliver(token)) + listOfNotNull(token.finishReason?.let { StreamAction.Finish(it) })
    }
}

/** Takes tokens of any attempt, as if they came from the latest one. */
internal class AttemptBlindStream(private val requestId: RequestId, private val stream: TokenStream) : StreamUnderTest {
    private var latest = 0
    private val originals = mutableMapOf<Int, StreamToken>()
    override val isEnded get() = stream.isEnded

    override fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> {
        val blind = if (event is StreamEvent.TokenReceived) blinded(event.token) else event
        val actions = stream.handle(blind, nowMs)
        actions.filterIsInstance<StreamAction.Open>().forEach { latest = it.attempt }
        return actions.map { if (it is StreamAction.Deliver) StreamAction.Deliver(original(it.token)) else it }
    }

    private fun blinded(token: StreamToken): StreamEvent {
        if (token.requestId == requestId) originals[token.index] = token
        return StreamEvent.TokenReceived(token.copy(attempt = latest))
    }

    private fun original(token: StreamToken): StreamToken = originals.getValue(token.index)
}

/** Never notices silence. */
internal class PatientStream(private val stream: TokenStream) : StreamUnderTest {
    override val isEnded get() = stream.isEnded

    override fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> =
        if (event is StreamEvent.Tick) emptyList() else stream.handle(event, nowMs)
}
