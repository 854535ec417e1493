/*
 * The graceful stop of a VM. The VM registers as leaving and tells its peers, then serves until no address that names
 * it is valid any more: for the longest address lifetime after all other VMs have seen that it leaves. It then finishes
 * the requests in progress, releases its ownerships and shards, and exits. If it cannot register with the platform, it
 * relies on the message to its peers and serves longer.
 */
package io.daisybend.membership

/** The phase of a stop. */
public enum class StopPhase { SERVING, LEAVING, FINISHING, RELEASING, STOPPED }

/** Times of a graceful stop. */
public data class StopSettings(
    val addressLifetimeMs: Long,
    val maxListLagMs: Long = 5_000,
    val registerRetryMs: Long = 1_000,
    val maxFinishMs: Long = 600_000,
    val maxReleaseMs: Long = 15_000,
)

/** An input of the stop state machine. */
public sealed interface StopEvent {
    /** The operator or the platform requests that this VM stops. */
    public data object StopRequested : StopEvent

    /** The platform has accepted the registration as leaving. */
    public data object RegisteredAsLeaving : StopEvent

    /** All ownerships and shards of this VM have been released. */
    public data object Released : StopEvent

    /** Time has passed; [requestsInProgress] requests and streams are open. */
    public data class Tick(val requestsInProgress: Int) : StopEvent
}

/** An action that the caller of the state machine has to perform. */
public sealed interface StopAction {
    /** Registers with the platform as leaving and tells all peers. */
    public data object RegisterAsLeaving : StopAction

    /** Refuses new requests and names other VMs; requests in progress continue. */
    public data object RefuseNewRequests : StopAction

    /** Releases ownerships and shards. */
    public data object Release : StopAction

    /** Closes the listeners and ends the process; [requestsCut] is 0 unless the finish time ran out. */
    public data class Exit(val requestsCut: Int) : StopAction
}

/** The state machine of the stop of one VM; not thread-safe. */
public class StopStateMachine(private val settings: StopSettings) {
    /** The current phase. */
    public var phase: StopPhase = StopPhase.SERVING
        private set

    private var phaseSinceMs = 0L
    private var registerAfterMs = 0L
    private var registeredAtMs: Long? = null
    private var requestsInProgress = 0

    /** Applies [event] at [nowMs] and returns the actions to perform. */
    public fun handle(event: StopEvent, nowMs: Long): List<StopAction> = when (event) {
        StopEvent.StopRequested -> leave(nowMs)
        StopEvent.RegisteredAsLeaving -> markRegistered(nowMs)
        StopEvent.Released -> if (phase == StopPhase.RELEASING) exit(nowMs) else emptyList()
        is StopEvent.Tick -> tick(event.requestsInProgress, nowMs)
    }

    private fun leave(nowMs: Long): List<StopAction> {
        if (phase != StopPhase.SERVING) return emptyList()
        enter(StopPhase.LEAVING, nowMs)
        return register(nowMs)
    }

    private fun markRegistered(nowMs: Long): List<StopAction> {
        if (phase == StopPhase.LEAVING && registeredAtMs == null) registeredAtMs = nowMs
        return emptyList()
    }

    private fun tick(requests: Int, nowMs: Long): List<StopAction> {
        requestsInProgress = requests
        return when (phase) {
            StopPhase.SERVING, StopPhase.STOPPED -> emptyList()
            StopPhase.LEAVING -> if (nowMs >= addressesExpireAtMs()) finish(nowMs) else registerAgain(nowMs)
            StopPhase.FINISHING ->
                if (requests == 0 || hasElapsed(settings.maxFinishMs, nowMs)) release(nowMs) else emptyList()
            StopPhase.RELEASING -> if (hasElapsed(settings.maxReleaseMs, nowMs)) exit(nowMs) else emptyList()
        }
    }

    /** Returns when the last address that names this VM expires. */
    private fun addressesExpireAtMs(): Long {
        val seenByAllMs = registeredAtMs ?: (phaseSinceMs + UNREGISTERED_LAG_FACTOR * settings.maxListLagMs)
        return seenByAllMs + settings.maxListLagMs + settings.addressLifetimeMs
    }

    private fun registerAgain(nowMs: Long): List<StopAction> =
        if (registeredAtMs == null && nowMs >= registerAfterMs) register(nowMs) else emptyList()

    private fun register(nowMs: Long): List<StopAction> {
        registerAfterMs = nowMs + settings.registerRetryMs
        return listOf(StopAction.RegisterAsLeaving)
    }

    private fun finish(nowMs: Long): List<StopAction> {
        enter(StopPhase.FINISHING, nowMs)
        return listOf(StopAction.RefuseNewRequests)
    }

    private fun release(nowMs: Long): List<StopAction> {
        enter(StopPhase.RELEASING, nowMs)
        return listOf(StopAction.Release)
    }

    private fun exit(nowMs: Long): List<StopAction> {
        enter(StopPhase.STOPPED, nowMs)
        return listOf(StopAction.Exit(requestsInProgress))
    }

    private fun enter(next: StopPhase, nowMs: Long) {
        phase = next
        phaseSinceMs = nowMs
    }

    private fun hasElapsed(durationMs: Long, nowMs: Long) = nowMs >= phaseSinceMs + durationMs

    private companion object {
        const val UNREGISTERED_LAG_FACTOR = 3
    }
}
