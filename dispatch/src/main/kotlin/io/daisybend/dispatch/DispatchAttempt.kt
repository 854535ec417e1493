/*
 * One attempt to run a call at an endpoint over a connection of its own, step by step. The attempt knows at every step
 * what may be claimed if the connection breaks there: before the first write nothing can have reached the endpoint,
 * from the first write until the end of the answer the outcome is unknown. The deadline is checked once more right
 * before the first write, so that a process that was suspended after it was allowed to dispatch does not write late.
 */
package io.daisybend.dispatch

/** How far an attempt has come. */
public enum class DispatchStep {
    CREATED,
    CONNECTING,
    CONNECTED,
    WRITING,
    AWAITING_RESPONSE,
    READING_RESPONSE,
    ENDED,
}

/** What happened on the connection of an attempt. */
public sealed interface DispatchEvent {
    /** The attempt may start. */
    public data object Started : DispatchEvent

    /** The connection is open; nothing has been written. */
    public data object Connected : DispatchEvent

    /** The head and the body have been handed to the connection. */
    public data object RequestWritten : DispatchEvent

    /** The status line and the headers came; with [reportsNotRun] the endpoint states that it did not run the call. */
    public data class ResponseStarted(val statusCode: Int, val reportsNotRun: Boolean = false) : DispatchEvent

    /** The answer came to its marked end. */
    public data object ResponseEnded : DispatchEvent

    /** The connection could not be opened, broke, or ended too early. */
    public data object ConnectionLost : DispatchEvent

    /** The time of the call may have run out. */
    public data object DeadlineReached : DispatchEvent
}

/** What the owner of the connection does next. */
public sealed interface DispatchAction {
    /** Open a new connection to the endpoint. */
    public data object Connect : DispatchAction

    /** Write the request; from here on the endpoint may run it. */
    public data object Write : DispatchAction

    /** Close the connection; the attempt ended with [status]. */
    public data class End(val status: ExecutionStatus) : DispatchAction
}

/** Follows one attempt of a call that has to be written before [deadlineMs]. */
public class DispatchAttempt(private val deadlineMs: Long) {
    /** How far the attempt has come. */
    public var step: DispatchStep = DispatchStep.CREATED
        private set

    private var statusCode = 0
    private var isRefusal = false

    /** What may be claimed if nothing more is ever heard of this attempt. */
    public val statusIfLost: ExecutionStatus
        get() = when (step) {
            DispatchStep.CREATED, DispatchStep.CONNECTING, DispatchStep.CONNECTED -> ExecutionStatus.NotRun
            DispatchStep.WRITING, DispatchStep.AWAITING_RESPONSE, DispatchStep.ENDED -> ExecutionStatus.Unknown
            DispatchStep.READING_RESPONSE -> if (isRefusal) ExecutionStatus.NotRun else ExecutionStatus.Unknown
        }

    /** Returns what to do after [event]; an event that does not fit the current step changes nothing. */
    public fun handle(event: DispatchEvent, nowMs: Long): DispatchAction? =
        when (event) {
            DispatchEvent.Started -> start(nowMs)
            DispatchEvent.Connected -> startWriting(nowMs)
            DispatchEvent.RequestWritten -> requestWritten()
            is DispatchEvent.ResponseStarted -> answerStarted(event)
            DispatchEvent.ResponseEnded -> if (step == DispatchStep.READING_RESPONSE) end(answeredStatus()) else null
            DispatchEvent.ConnectionLost -> end(statusIfLost)
            DispatchEvent.DeadlineReached -> if (nowMs >= deadlineMs) end(statusIfLost) else null
        }

    private fun start(nowMs: Long): DispatchAction? {
        if (step != DispatchStep.CREATED) return null
        if (nowMs >= deadlineMs) return end(ExecutionStatus.NotRun)
        step = DispatchStep.CONNECTING
        return DispatchAction.Connect
    }

    private fun startWriting(nowMs: Long): DispatchAction? {
        if (step != DispatchStep.CONNECTING) return null
        step = DispatchStep.CONNECTED
        if (nowMs >= deadlineMs) return end(ExecutionStatus.NotRun)
        step = DispatchStep.WRITING
        return DispatchAction.Write
    }

    private fun requestWritten(): DispatchAction? {
        if (step == DispatchStep.WRITING) step = DispatchStep.AWAITING_RESPONSE
        return null
    }

    private fun answerStarted(event: DispatchEvent.ResponseStarted): DispatchAction? {
        if (step == DispatchStep.WRITING || step == DispatchStep.AWAITING_RESPONSE) {
            statusCode = event.statusCode
            isRefusal = event.reportsNotRun
            step = DispatchStep.READING_RESPONSE
        }
        return null
    }

    private fun answeredStatus(): ExecutionStatus =
        when {
            isRefusal -> ExecutionStatus.NotRun
            statusCode >= FIRST_SERVER_ERROR_STATUS -> ExecutionStatus.Failed
            else -> ExecutionStatus.Completed
        }

    private fun end(status: ExecutionStatus): DispatchAction? {
        if (step == DispatchStep.ENDED) return null
        step = DispatchStep.ENDED
        return DispatchAction.End(status)
    }

    private companion object {
        const val FIRST_SERVER_ERROR_STATUS = 500
    }
}
