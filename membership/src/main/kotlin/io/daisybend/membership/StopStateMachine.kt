/*
 * The graceful stop of a VM. It leaves the answers first: it registers as leaving and tells its peers. It goes on
 * serving until every answer that may still name it has run out, which takes the longest lifetime of an answer after
 * the other VMs have certainly seen that it leaves. Then it finishes the requests in progress, releases what it owns,
 * and stops. When the platform does not let it register, the peers' knowledge has to do, and it serves longer.
 */
package io.daisybend.membership

/** Where a VM is in its stop. */
public enum class StopPhase { SERVING, LEAVING, FINISHING, RELEASING, STOPPED }

/** Times of a graceful stop. */
public data class StopSettings(
    val addressLifetimeMs: Long,
    val maxListLagMs: Long = 5_000,
    val registerRetryMs: Long = 1_000,
    val maxFinishMs: Long = 600_000,
    val maxReleaseMs: Long = 15_000,
)

/** Something that matters to a stop. */
public sealed interface StopEvent {
    /** The operator or the platform wants this VM to stop. */
    public data object StopRequested : StopEvent

    /** The platform has taken the registration as leaving. */
    public data object RegisteredAsLeaving : StopEvent

    /** Everything that this VM owned has been released. */
    public data object Released : StopEvent

    /** Time has passed with [requestsInProgress] requests and streams open. */
    public data class Tick(val requestsInProgress: Int) : StopEvent
}

/** What a stop asks for. */
public sealed interface StopAction {
    /** Register with the platform as leaving and tell all peers. */
    public data object RegisterAsLeaving : StopAction

    /** Answer new requests with a refusal that names other VMs; those in progress go on. */
    public data object RefuseNewRequests : StopAction

    /** Release ownerships and seats. */
    public data object Release : StopAction

    /** Close listeners and end the process; [requestsCut] is 0 in a stop without a timeout. */
    public data class Exit(val requestsCut: Int) : StopAction
}

/** The state machine of one VM's stop; not safe for use by several threads. */
public class StopStateMachine(private val settings: StopSettings) {
    /** The current phase. */
    public var phase: StopPhase = StopPhase.SERVING
        private set

    private var phaseSinceMs = 0L
    private var registerAfterMs = 0L
    private var registeredAtMs: Long? = null
    private var requestsInProgress = 0

    /** Applies [event] at [nowMs] and returns what has to be done. */
    public fun handle(event: StopEvent, nowMs: Long): List<StopAction> = when (event) {
        StopEvent.StopRequested -> leave(nowMs)
        StopEvent.RegisteredAsLeaving -> setRegistered(nowMs)
        StopEvent.Released -> if (phase == StopPhase.RELEASING) exit(nowMs) else emptyList()
        is StopEvent.Tick -> tick(event.requestsInProgress, nowMs)
    }

    private fun leave(nowMs: Long): List<StopAction> {
        if (phase != StopPhase.SERVING) return emptyList()
        enter(StopPhase.LEAVING, nowMs)
        return register(nowMs)
    }

    private fun setRegistered(nowMs: Long): List<StopAction> {
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

    /** When the last answer that names this VM has run out. */
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
