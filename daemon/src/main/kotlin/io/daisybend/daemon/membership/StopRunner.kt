/*
 * Carries out the graceful stop of this VM step by step.
 */
package io.daisybend.daemon.membership

import io.daisybend.daemon.lifecycle.Lifecycle
import io.daisybend.daemon.lifecycle.LifecyclePhase
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.Timeline
import io.daisybend.membership.StopAction
import io.daisybend.membership.StopEvent
import io.daisybend.membership.StopPhase
import io.daisybend.membership.StopSettings
import io.daisybend.membership.StopStateMachine
import kotlinx.coroutines.delay

/** What a stop does to the rest of the process; each function returns whether it took effect. */
internal class StopSteps(
    val registerAsLeaving: suspend () -> Boolean,
    val release: suspend () -> Boolean,
)

internal class StopRunner(
    settings: StopSettings,
    private val steps: StopSteps,
    private val lifecycle: Lifecycle,
    private val clock: MillisClock,
    private val timeline: Timeline,
) {
    private val cycle = StopStateMachine(settings)

    /** Returns once everything is finished and released; the listeners are still open then. */
    suspend fun run() {
        feed(StopEvent.StopRequested)
        while (cycle.phase != StopPhase.STOPPED) {
            feed(StopEvent.Tick(lifecycle.requestsInProgress))
            delay(TICK_INTERVAL_MS)
        }
    }

    private suspend fun feed(event: StopEvent) {
        cycle.handle(event, clock.nowMs()).forEach { perform(it) }
    }

    private suspend fun perform(action: StopAction) {
        when (action) {
            StopAction.RegisterAsLeaving -> if (steps.registerAsLeaving()) feed(StopEvent.RegisteredAsLeaving)
            StopAction.RefuseNewRequests -> finish()
            StopAction.Release -> if (steps.release()) feed(StopEvent.Released)
            is StopAction.Exit -> timeline.record("daemon-released", detail = "${action.requestsCut} requests cut")
        }
    }

    private fun finish() {
        lifecycle.advanceTo(LifecyclePhase.FINISHING)
        timeline.record("daemon-finishing")
    }

    private companion object {
        const val TICK_INTERVAL_MS = 20L
    }
}
