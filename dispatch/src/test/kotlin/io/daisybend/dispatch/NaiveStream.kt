/*
 * Defines streams that each lack one safeguard. The tests use them to show that the checker detects the resulting
 * faults.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.RequestId

/** Forwards every received token unchecked and opens a new attempt when a connection is lost. */
internal class ForwardingStream : StreamUnderTest {
    private var attempts = 0
    private var nextIndex = 0
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

    private fun open(target: StreamTarget) = StreamAction.Open(attempts++, target, fromIndex = nextIndex)

    private fun forward(token: StreamToken): List<StreamAction> {
        nextIndex++
        isEnded = token.finishReason != null
        return listOf(StreamAction.Deliver(token)) + listOfNotNull(token.finishReason?.let { StreamAction.Finish(it) })
    }
}

/** Accepts the tokens of every attempt as if they came from the latest one. */
internal class AttemptBlindStream(private val requestId: RequestId, private val stream: TokenStream) : StreamUnderTest {
    private var latestAttempt = 0
    private val originalsByIndex = mutableMapOf<Int, StreamToken>()
    override val isEnded get() = stream.isEnded

    override fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> {
        val relabelled = if (event is StreamEvent.TokenReceived) withLatestAttempt(event.token) else event
        val actions = stream.handle(relabelled, nowMs)
        actions.filterIsInstance<StreamAction.Open>().forEach { latestAttempt = it.attempt }
        return actions.map { if (it is StreamAction.Deliver) StreamAction.Deliver(original(it.token)) else it }
    }

    private fun withLatestAttempt(token: StreamToken): StreamEvent {
        if (token.requestId == requestId) originalsByIndex[token.index] = token
        return StreamEvent.TokenReceived(token.copy(attempt = latestAttempt))
    }

    private fun original(token: StreamToken): StreamToken = originalsByIndex.getValue(token.index)
}

/** Ignores ticks, so no timeout ever fires. */
internal class TimeoutFreeStream(private val stream: TokenStream) : StreamUnderTest {
    override val isEnded get() = stream.isEnded

    override fun handle(event: StreamEvent, nowMs: Long): List<StreamAction> =
        if (event is StreamEvent.Tick) emptyList() else stream.handle(event, nowMs)
}
