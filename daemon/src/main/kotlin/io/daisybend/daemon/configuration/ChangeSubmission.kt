/*
 * Runs a [ChangeSubmitter] against the platform log for each configuration change that an operator submits.
 */
package io.daisybend.daemon.configuration

import com.github.michaelbull.result.mapBoth
import io.daisybend.configuration.CONFIGURATION_STREAM
import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ChangeSubmitter
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.SubmissionResult
import io.daisybend.configuration.SubmitterAction
import io.daisybend.configuration.SubmitterEvent
import io.daisybend.configuration.encodeChange
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.PlatformLog
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

internal class ChangeSubmission(
    private val log: PlatformLog,
    private val configuration: FollowedConfiguration,
    private val clock: MillisClock,
    private val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) {
    /** Submits [change] under [changeId] and returns its result, at the latest after [timeoutMs]. */
    suspend fun submit(changeId: ChangeId, change: ConfigurationChange): SubmissionResult = coroutineScope {
        val deadlineMs = clock.nowMs() + timeoutMs
        val submitter = ChangeSubmitter(changeId, encodeChange(changeId, change), configuration, deadlineMs)
        val events = Channel<SubmitterEvent>(Channel.UNLIMITED)
        var event: SubmitterEvent = SubmitterEvent.Start
        var result: SubmissionResult? = null
        while (result == null) {
            for (action in submitter.handle(event, clock.nowMs())) {
                when (action) {
                    is SubmitterAction.Append -> launch { events.send(append(action.payload)) }
                    SubmitterAction.RefreshFollower -> configuration.refresh()
                    is SubmitterAction.Finish -> result = action.result
                }
            }
            if (result == null) {
                event = withTimeoutOrNull(TICK_INTERVAL_MS) { events.receive() } ?: SubmitterEvent.Tick
            }
        }
        result
    }

    private suspend fun append(payload: ByteArray): SubmitterEvent =
        log.append(CONFIGURATION_STREAM, payload)
            .mapBoth({ SubmitterEvent.Appended(it) }, { SubmitterEvent.AppendFailed(it) })

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 10_000L
        const val TICK_INTERVAL_MS = 200L
    }
}
