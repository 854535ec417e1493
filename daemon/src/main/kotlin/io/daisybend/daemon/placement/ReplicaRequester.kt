/*
 * Requests replicas. Any VM may choose an endpoint and send a request to the endpoint's owner; of several equal or
 * conflicting requests, the ledger accepts one as a decision. A caller that still needs the replica repeats a lost
 * request.
 */
package io.daisybend.daemon.placement

import com.github.michaelbull.result.mapBoth
import io.daisybend.configuration.EndpointKind
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.VmId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.daisybend.placement.Artifact
import io.daisybend.placement.EndpointCandidate
import io.daisybend.placement.EvictionCost
import io.daisybend.placement.OwnerEvent
import io.daisybend.placement.PlacementChoice
import io.daisybend.placement.chooseEndpoint
import io.daisybend.transport.PeerHandler
import io.daisybend.transport.PeerNetwork
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap

/** Requests the owner of [endpointId] to load [artifact], or to unload it if [weightsBytes] is zero. */
@Serializable
internal data class ReplicaRequest(
    val endpointId: EndpointId,
    val artifact: Artifact,
    val expectedRevision: Long,
    val weightsBytes: Long = 0,
)

internal class ReplicaRequester(
    private val vmId: VmId,
    private val runtime: PlacementRuntime,
    private val peers: PeerNetwork,
    private val usage: ReplicaUsage,
    private val clock: MillisClock,
) {
    private val requestedAtMs = ConcurrentHashMap<Artifact, Long>()

    init {
        peers.registerHandler(CHANNEL, PeerHandler { _, payload -> receive(payload) })
    }

    /** Requests a replica of [artifact], at most once per [MIN_REQUEST_INTERVAL_MS] for all callers together. */
    suspend fun request(index: ConfigurationIndex, artifact: Artifact, weightsBytes: Long) {
        if (!tryAcquireRequest(artifact)) return
        val candidates = index.manifest.endpoints
            .filter { it.kind == EndpointKind.ENGINE && index.acceptsNewWork(it.endpointId) }
            .map { EndpointCandidate(it.endpointId, it.failureDomainId) }
        val evictionCost = EvictionCost { _, other -> usage.evictionCost(other) }
        val leavingReplicas = runtime.ledger.loadedAt(artifact).count { !index.acceptsNewWork(it) }
        val choice = runtime.ledger.chooseEndpoint(
            artifact = artifact,
            weightsBytes = weightsBytes,
            candidates = candidates,
            wantedReplicas = 1 + leavingReplicas,
            evictionCost = evictionCost,
        )
        when (choice) {
            is PlacementChoice.Load ->
                send(ReplicaRequest(choice.endpointId, artifact, choice.expectedRevision, weightsBytes))
            is PlacementChoice.Evict ->
                send(ReplicaRequest(choice.endpointId, choice.victim, choice.expectedRevision))
            is PlacementChoice.EnoughReplicas, is PlacementChoice.NoCapacity -> Unit
        }
    }

    private fun tryAcquireRequest(artifact: Artifact): Boolean {
        val nowMs = clock.nowMs()
        val lastRequestMs = requestedAtMs.merge(artifact, nowMs) { previousMs, currentMs ->
            if (currentMs - previousMs >= MIN_REQUEST_INTERVAL_MS) currentMs else previousMs
        }
        return lastRequestMs == nowMs
    }

    private suspend fun send(request: ReplicaRequest) {
        val owner = runtime.ledger.endpoint(request.endpointId)?.owner ?: return
        if (owner.vmId == vmId) {
            passToOwner(request)
        } else {
            peers.call(owner.vmId, CHANNEL, encodeCbor(ReplicaRequest.serializer(), request), PEER_CALL_TIMEOUT_MS)
        }
    }

    private fun receive(payload: ByteArray): ByteArray? =
        decodeCbor(ReplicaRequest.serializer(), payload).mapBoth(
            success = {
                passToOwner(it)
                ByteArray(0)
            },
            failure = { null },
        )

    private fun passToOwner(request: ReplicaRequest) {
        val event =
            if (request.weightsBytes > 0) {
                OwnerEvent.LoadRequested(request.artifact, request.weightsBytes, request.expectedRevision)
            } else {
                OwnerEvent.UnloadRequested(request.artifact, request.expectedRevision)
            }
        runtime.handle(request.endpointId, event)
    }

    private companion object {
        const val CHANNEL = "placement"
        const val MIN_REQUEST_INTERVAL_MS = 200L
        const val PEER_CALL_TIMEOUT_MS = 1_000L
    }
}
