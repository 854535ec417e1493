/*
 * Performs the graceful stop of this VM as directed by a [StopStateMachine].
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

/** Actions of a stop that other components perform; each function returns whether it succeeded. */
internal class StopHooks(
    val registerAsLeaving: suspend () -> Boolean,
    val release: suspend () -> Boolean,
)

internal class StopRunner(
    settings: StopSettings,
    private val hooks: StopHooks,
    private val lifecycle: Lifecycle,
    private val clock: MillisClock,
    private val timeline: Timeline,
) {
    private val stateMachine = StopStateMachine(settings)

    /**
     * Runs until requests have ended and leases are released, or until the time limits of the stop have passed. Leaves
     * the listeners open.
     */
    suspend fun run() {
        process(StopEvent.StopRequested)
        while (stateMachine.phase != StopPhase.STOPPED) {
            process(StopEvent.Tick(lifecycle.requestsInProgress))
            delay(TICK_INTERVAL_MS)
        }
    }

    private suspend fun process(event: StopEvent) {
        stateMachine.handle(event, clock.nowMs()).forEach { perform(it) }
    }

    private suspend fun perform(action: StopAction) {
        when (action) {
            StopAction.RegisterAsLeaving -> if (hooks.registerAsLeaving()) process(StopEvent.RegisteredAsLeaving)
            StopAction.RefuseNewRequests -> refuseNewRequests()
            StopAction.Release -> if (hooks.release()) process(StopEvent.Released)
            is StopAction.Exit -> timeline.record("daemon-released", detail = "${action.requestsCut} requests cut")
        }
    }

    private fun refuseNewRequests() {
        lifecycle.advanceTo(LifecyclePhase.FINISHING)
        timeline.record("daemon-finishing")
    }

    private companion object {
        const val TICK_INTERVAL_MS = 20L
    }
}
