/*
 * Chooses the endpoint for the next replica of an artifact. An endpoint that still reserves memory for the artifact
 * comes first, because loading it there takes no further memory. Next come failure domains without a replica, then the
 * nearest checkpoint, then the rendezvous rank. Two planners with the same inputs therefore choose the same endpoint;
 * if their inputs differ, the revision in the decision lets only one decision be accepted.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.firstByRendezvous

/** Where the copy of a checkpoint nearest to an endpoint is; nearest first. */
public enum class CheckpointLocality { MEMORY, DISK, REMOTE }

/** An endpoint that may host a replica. */
public data class EndpointCandidate(
    val endpointId: EndpointId,
    val failureDomainId: FailureDomainId,
    val locality: CheckpointLocality = CheckpointLocality.REMOTE,
)

/** The action that a planner takes for one artifact. */
public sealed interface PlacementChoice {
    /** Request a load from the owner of [endpointId], expecting [expectedRevision] of the artifact. */
    public data class Load(val endpointId: EndpointId, val expectedRevision: Long) : PlacementChoice

    /** Request that the owner of [endpointId] unload [victim] first, expecting [expectedRevision] of it. */
    public data class Evict(val endpointId: EndpointId, val victim: Artifact, val expectedRevision: Long) :
        PlacementChoice

    /** Enough replicas are already decided. */
    public data object EnoughReplicas : PlacementChoice

    /** No endpoint has enough memory, even after evictions. */
    public data object NoCapacity : PlacementChoice
}

/** Rates artifacts for eviction. */
public fun interface EvictionCost {
    /** Returns the cost of unloading [artifact] at [endpointId], or null if it must not be unloaded. */
    public fun costOf(endpointId: EndpointId, artifact: Artifact): Double?
}

/** Returns the next action towards [wantedReplicas] decided replicas of [artifact]. */
public fun PlacementLedger.chooseEndpoint(
    artifact: Artifact,
    weightsBytes: Long,
    candidates: List<EndpointCandidate>,
    wantedReplicas: Int = 1,
    evictionCost: EvictionCost = EvictionCost { _, _ -> null },
): PlacementChoice {
    val replicas = replicaSet(artifact.replicaKey)
    if (replicas.endpointIds.count { !isHeld(it, artifact) } >= wantedReplicas) return PlacementChoice.EnoughReplicas
    val eligible = candidates.filter { hasRequiredModel(it.endpointId, artifact) }
    val withCapacity = eligible.filter { canLoad(it.endpointId, artifact, weightsBytes) }
    val chosen = topRanked(artifact, withCapacity, usedDomains(replicas, candidates))
    if (chosen != null) return PlacementChoice.Load(chosen, replicas.revision)
    return chooseVictim(weightsBytes, eligible, evictionCost)
}

private fun usedDomains(replicas: ReplicaSet, candidates: List<EndpointCandidate>): Set<FailureDomainId> {
    val usedEndpointIds = replicas.endpointIds.toSet()
    return candidates.filter { it.endpointId in usedEndpointIds }.mapTo(HashSet()) { it.failureDomainId }
}

/** Returns the first endpoint of the ranking without sorting the others. */
private fun PlacementLedger.topRanked(
    artifact: Artifact,
    candidates: List<EndpointCandidate>,
    usedDomains: Set<FailureDomainId>,
): EndpointId? {
    val preferred = candidates.groupBy { preferenceRank(it, artifact, usedDomains) }.minByOrNull { it.key }?.value
    return firstByRendezvous(artifact.replicaKey.toString(), preferred.orEmpty().map { it.endpointId })
}

/** Returns a rank, lower is better: reserved memory first, then unused failure domains, then near checkpoints. */
private fun PlacementLedger.preferenceRank(
    candidate: EndpointCandidate,
    artifact: Artifact,
    usedDomains: Set<FailureDomainId>,
): Int {
    val memoryPenalty = if (isHeld(candidate.endpointId, artifact)) 0 else 1
    val domainPenalty = if (candidate.failureDomainId in usedDomains) 1 else 0
    return (memoryPenalty * 2 + domainPenalty) * CheckpointLocality.entries.size + candidate.locality.ordinal
}

private fun PlacementLedger.isHeld(endpointId: EndpointId, artifact: Artifact): Boolean =
    endpoint(endpointId)?.reservationOf(artifact)?.phase == ReservationPhase.HELD

private fun PlacementLedger.hasRequiredModel(endpointId: EndpointId, artifact: Artifact): Boolean =
    artifact.adapterId == null || endpoint(endpointId)?.hasLoadedModel(artifact) == true

private fun PlacementLedger.canLoad(endpointId: EndpointId, artifact: Artifact, weightsBytes: Long): Boolean {
    val entry = endpoint(endpointId) ?: return false
    if (entry.owner == null) return false
    val reservation = entry.reservationOf(artifact) ?: return entry.freeBytes >= weightsBytes
    return reservation.phase == ReservationPhase.HELD
}

private fun PlacementLedger.chooseVictim(
    weightsBytes: Long,
    candidates: List<EndpointCandidate>,
    evictionCost: EvictionCost,
): PlacementChoice {
    val evictable = candidates.mapNotNull { endpoint(it.endpointId) }.flatMap { entry ->
        entry.reservations
            .filter { it.phase == ReservationPhase.LOADED && entry.canEvict(it) }
            .mapNotNull { reservation ->
                evictionCost.costOf(entry.endpointId, reservation.artifact)
                    ?.let { EvictionCandidate(entry, reservation, it) }
            }
    }
    val sufficient = evictable.groupBy { it.entry.endpointId }.values.filter { endpointVictims ->
        endpointVictims.first().entry.freeBytes + endpointVictims.sumOf { it.reservation.weightsBytes } >= weightsBytes
    }
    val cheapest = sufficient.flatten()
        .minWithOrNull(compareBy({ it.cost }, { it.entry.endpointId.value }, { it.reservation.artifact.toString() }))
        ?: return PlacementChoice.NoCapacity
    val victim = cheapest.reservation.artifact
    return PlacementChoice.Evict(cheapest.entry.endpointId, victim, replicaSet(victim.replicaKey).revision)
}

private fun EndpointEntry.canEvict(reservation: Reservation): Boolean =
    capacity.checksFencing || reservation.unsettledOrders.isEmpty()

private class EvictionCandidate(val entry: EndpointEntry, val reservation: Reservation, val cost: Double)
