/*
 * Selects the replicas to unload at idle endpoints that this VM owns. An unload is appended to the log as a decision
 * before the engine gets the order; a request that arrives in between is refused by the engine before it runs, and then
 * acquires another replica.
 */
package io.daisybend.daemon.placement

import io.daisybend.daemon.endpoint.EngineState
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.placement.Artifact
import io.daisybend.placement.OwnerEvent
import io.daisybend.placement.PlacementLedger
import io.daisybend.scheduling.replicas.EndpointIdleness
import io.daisybend.scheduling.replicas.EngineActivity

internal class IdleUnloadPolicy(private val minIdleMs: Long, private val clock: MillisClock) {
    private val lock = Any()
    private val idlenessByEndpoint = HashMap<EndpointId, EndpointIdleness>()
    private val loadTimesMs = HashMap<Artifact, Long>()

    fun observe(endpointId: EndpointId, state: EngineState) = synchronized(lock) {
        val activity = EngineActivity(state.bootId, state.running, state.requestsStarted)
        idlenessByEndpoint.getOrPut(endpointId) { EndpointIdleness(minIdleMs) }.observe(activity, clock.nowMs())
    }

    fun recordLoadTime(artifact: Artifact, durationMs: Long) = synchronized(lock) { loadTimesMs[artifact] = durationMs }

    /** Returns the unloads due at [endpointId], adapters before their models; empty unless the endpoint is idle. */
    fun dueUnloads(
        endpointId: EndpointId,
        ledger: PlacementLedger,
        usage: ReplicaUsage,
    ): List<OwnerEvent.UnloadRequested> {
        val loadedArtifacts = ledger.endpoint(endpointId)?.reservations.orEmpty()
            .map { it.artifact }
            .filter { endpointId in ledger.loadedAt(it) }
        val isInUse = loadedArtifacts.any { usage.evictionCost(it) == null }
        if (loadedArtifacts.isEmpty() || isInUse || isWorthKeeping(endpointId, loadedArtifacts)) return emptyList()
        return loadedArtifacts
            .sortedBy { it.adapterId == null }
            .map { OwnerEvent.UnloadRequested(it, ledger.replicaSet(it.replicaKey).revision) }
    }

    private fun isWorthKeeping(endpointId: EndpointId, loadedArtifacts: List<Artifact>): Boolean = synchronized(lock) {
        val idleness = idlenessByEndpoint[endpointId] ?: return true
        idleness.isWorthKeeping(loadedArtifacts.map { loadTimesMs[it] ?: DEFAULT_LOAD_TIME_MS }, clock.nowMs())
    }

    private companion object {
        const val DEFAULT_LOAD_TIME_MS = 10_000L
    }
}
