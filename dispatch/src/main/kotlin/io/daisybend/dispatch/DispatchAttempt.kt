/*
 * Tracks one attempt to run a call on an endpoint over its own connection, and which execution status to report if the
 * connection fails: not run before the first write, because nothing can have reached the endpoint, and unknown from
 * the first write until the end of the response. The deadline is checked again immediately before the first write, so
 * that a process that was suspended after it got permission to dispatch does not write late.
 */
package io.daisybend.dispatch

/** The progress of an attempt. */
public enum class DispatchStep {
    CREATED,
    CONNECTING,
    CONNECTED,
    WRITING,
    AWAITING_RESPONSE,
    READING_RESPONSE,
    ENDED,
}

/** An input of a [DispatchAttempt], mostly from its connection. */
public sealed interface DispatchEvent {
    /** The attempt may start. */
    public data object Started : DispatchEvent

    /** The connection is open and nothing has been written. */
    public data object Connected : DispatchEvent

    /** The request head and body were passed to the connection. */
    public data object RequestWritten : DispatchEvent

    /** The status line and headers arrived; [reportsNotRun] means that the endpoint states it did not run the call. */
    public data class ResponseStarted(val statusCode: Int, val reportsNotRun: Boolean = false) : DispatchEvent

    /** The response was received up to its marked end. */
    public data object ResponseEnded : DispatchEvent

    /** The connection could not be opened, failed, or was closed before the end of the response. */
    public data object ConnectionLost : DispatchEvent

    /** The deadline may have passed; has no effect before the deadline. */
    public data object DeadlineReached : DispatchEvent
}

/** An action that the owner of the connection has to perform. */
public sealed interface DispatchAction {
    /** Open a connection to the endpoint. */
    public data object Connect : DispatchAction

    /** Write the request; the endpoint may run it from the first byte on. */
    public data object Write : DispatchAction

    /** Close the connection; the attempt ended with [status]. */
    public data class End(val status: ExecutionStatus) : DispatchAction
}

/** Tracks one attempt of a call that must be written before [deadlineMs]; not thread-safe. */
public class DispatchAttempt(private val deadlineMs: Long) {
    /** The progress of the attempt. */
    public var step: DispatchStep = DispatchStep.CREATED
        private set

    private var statusCode = 0
    private var isRefusal = false

    /** The execution status to report if the connection is lost at the current step. */
    public val statusIfLost: ExecutionStatus
        get() = when (step) {
            DispatchStep.CREATED, DispatchStep.CONNECTING, DispatchStep.CONNECTED -> ExecutionStatus.NotRun
            DispatchStep.WRITING, DispatchStep.AWAITING_RESPONSE, DispatchStep.ENDED -> ExecutionStatus.Unknown
            DispatchStep.READING_RESPONSE -> if (isRefusal) ExecutionStatus.NotRun else ExecutionStatus.Unknown
        }

    /** Applies [event] and returns the next action, if any; an event that does not fit the current step is ignored. */
    public fun handle(event: DispatchEvent, nowMs: Long): DispatchAction? =
        when (event) {
            DispatchEvent.Started -> start(nowMs)
            DispatchEvent.Connected -> startWriting(nowMs)
            DispatchEvent.RequestWritten -> onRequestWritten()
            is DispatchEvent.ResponseStarted -> onResponseStarted(event)
            DispatchEvent.ResponseEnded -> if (step == DispatchStep.READING_RESPONSE) end(statusOfResponse()) else null
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

    private fun onRequestWritten(): DispatchAction? {
        if (step == DispatchStep.WRITING) step = DispatchStep.AWAITING_RESPONSE
        return null
    }

    private fun onResponseStarted(event: DispatchEvent.ResponseStarted): DispatchAction? {
        if (step == DispatchStep.WRITING || step == DispatchStep.AWAITING_RESPONSE) {
            statusCode = event.statusCode
            isRefusal = event.reportsNotRun
            step = DispatchStep.READING_RESPONSE
        }
        return null
    }

    private fun statusOfResponse(): ExecutionStatus =
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
