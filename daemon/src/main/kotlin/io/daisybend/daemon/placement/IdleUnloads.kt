/*
 * Unloads the replicas of endpoints that this VM owns and nobody uses. Each unload is a decision like any other: it is
 * written to the log first, and a request that comes meanwhile is refused by the engine unrun and looks for a replica
 * again.
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

internal class IdleUnloads(private val minIdleMs: Long, private val clock: MillisClock) {
    private val lock = Any()
    private val endpoints = HashMap<EndpointId, EndpointIdleness>()
    private val loadTimes = HashMap<Artifact, Long>()

    fun observe(endpointId: EndpointId, state: EngineState) = synchronized(lock) {
        val report = EngineActivity(state.bootId, state.running, state.requestsStarted)
        endpoints.getOrPut(endpointId) { EndpointIdleness(minIdleMs) }.observe(report, clock.nowMs())
    }

    fun loaded(artifact: Artifact, durationMs: Long) = synchronized(lock) { loadTimes[artifact] = durationMs }

    /** Returns the unloads that [endpointId] is due for; adapters come before their models. */
    fun due(endpointId: EndpointId, ledger: PlacementLedger, usage: ReplicaUsage): List<OwnerEvent.UnloadRequested> {
        val loaded = ledger.endpoint(endpointId)?.reservations.orEmpty()
            .map { it.artifact }
            .filter { endpointId in ledger.loadedAt(it) }
        val isUsedHere = loaded.any { usage.evictionCost(it) == null }
        if (loaded.isEmpty() || isUsedHere || isWorthKeeping(endpointId, loaded)) return emptyList()
        return loaded
            .sortedBy { it.adapterId == null }
            .map { OwnerEvent.UnloadRequested(it, ledger.replicaSet(it.replicaKey).revision) }
    }

    private fun isWorthKeeping(endpointId: EndpointId, loaded: List<Artifact>): Boolean = synchronized(lock) {
        val idleness = endpoints[endpointId] ?: return true
        idleness.isWorthKeeping(loaded.map { loadTimes[it] ?: ASSUMED_LOAD_MS }, clock.nowMs())
    }

    private companion object {
        const val ASSUMED_LOAD_MS = 10_000L
    }
}
