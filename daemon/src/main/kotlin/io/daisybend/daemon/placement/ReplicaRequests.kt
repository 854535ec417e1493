/*
 * Asks for replicas. Any VM may plan; it sends its request to the endpoint's owner, and the ledger lets one of several
 * equal or contradicting requests become a decision. A lost request is repeated by whoever still wants the replica.
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

/** A request to the owner of [endpointId]; [weightsBytes] is zero for an unload. */
@Serializable
internal data class ReplicaRequest(
    val endpointId: EndpointId,
    val artifact: Artifact,
    val expectedRevision: Long,
    val weightsBytes: Long = 0,
)

internal class ReplicaRequests(
    private val vmId: VmId,
    private val runtime: PlacementRuntime,
    private val peers: PeerNetwork,
    private val usage: ReplicaUsage,
    private val clock: MillisClock,
) {
    private val askedAtMs = ConcurrentHashMap<Artifact, Long>()

    init {
        peers.registerHandler(CHANNEL, PeerHandler { _, payload -> take(payload) })
    }

    /** Asks for a replica of [artifact], at most once in a while whatever the number of callers that wait for it. */
    suspend fun want(index: ConfigurationIndex, artifact: Artifact, weightsBytes: Long) {
        if (!isDue(artifact)) return
        val candidates = index.manifest.endpoints
            .filter { it.kind == EndpointKind.ENGINE && index.acceptsNewWork(it.endpointId) }
            .map { EndpointCandidate(it.endpointId, it.failureDomainId) }
        val cost = EvictionCost { _, other -> usage.evictionCost(other) }
        val leaving = runtime.ledger.loadedAt(artifact).count { !index.acceptsNewWork(it) }
        val choice = runtime.ledger.chooseEndpoint(
            artifact = artifact,
            weightsBytes = weightsBytes,
            candidates = candidates,
            wantedReplicas = 1 + leaving,
            evictionCost = cost,
        )
        when (choice) {
            is PlacementChoice.Load ->
                send(ReplicaRequest(choice.endpointId, artifact, choice.expectedRevision, weightsBytes))
            is PlacementChoice.Evict ->
                send(ReplicaRequest(choice.endpointId, choice.victim, choice.expectedRevision))
            is PlacementChoice.EnoughReplicas, is PlacementChoice.NoCapacity -> Unit
        }
    }

    private fun isDue(artifact: Artifact): Boolean {
        val nowMs = clock.nowMs()
        val asked = askedAtMs.merge(artifact, nowMs) { last, now -> if (now - last >= REPEAT_MS) now else last }
        return asked == nowMs
    }

    private suspend fun send(request: ReplicaRequest) {
        val owner = runtime.ledger.endpoint(request.endpointId)?.owner ?: return
        if (owner.vmId == vmId) {
            pass(request)
        } else {
            peers.call(owner.vmId, CHANNEL, encodeCbor(ReplicaRequest.serializer(), request), CALL_TIMEOUT_MS)
        }
    }

    private fun take(payload: ByteArray): ByteArray? =
        decodeCbor(ReplicaRequest.serializer(), payload).mapBoth(
            success = {
                pass(it)
                ByteArray(0)
            },
            failure = { null },
        )

    private fun pass(request: ReplicaRequest) {
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
        const val REPEAT_MS = 200L
        const val CALL_TIMEOUT_MS = 1_000L
    }
}
