/*
 * Which endpoint gets the next replica. Endpoints that hold memory for the artifact already come first, since loading
 * there costs none. Then come failure domains without a replica, then the nearest checkpoint, then the rendezvous
 * rank, so that two planners with the same inputs choose the same endpoint; when their inputs differ, the revision in
 * the decision lets only one of them win.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.firstByRendezvous

/** Where the nearest copy of a checkpoint is, seen from an endpoint; nearest first. */
public enum class CheckpointLocality { MEMORY, DISK, REMOTE }

/** An endpoint that may take a replica. */
public data class EndpointCandidate(
    val endpointId: EndpointId,
    val failureDomainId: FailureDomainId,
    val locality: CheckpointLocality = CheckpointLocality.REMOTE,
)

/** What a planner should do for one artifact. */
public sealed interface PlacementChoice {
    /** Ask the owner of [endpointId] for a load, expecting [expectedRevision]. */
    public data class Load(val endpointId: EndpointId, val expectedRevision: Long) : PlacementChoice

    /** Ask the owner of [endpointId] to unload [victim] first, expecting [expectedRevision] of it. */
    public data class Evict(val endpointId: EndpointId, val victim: Artifact, val expectedRevision: Long) :
        PlacementChoice

    /** Enough replicas are decided. */
    public data object EnoughReplicas : PlacementChoice

    /** No endpoint has room, even after evictions. */
    public data object NoCapacity : PlacementChoice
}

/** Returns the cost of unloading an artifact, or null when it must stay. */
public fun interface EvictionCost {
    /** Returns the cost of unloading [artifact] at [endpointId], or null when it must stay. */
    public fun costOf(endpointId: EndpointId, artifact: Artifact): Double?
}

/** Chooses what to do so that [wantedReplicas] replicas of [artifact] get decided; never fails. */
public fun PlacementLedger.chooseEndpoint(
    artifact: Artifact,
    weightsBytes: Long,
    candidates: List<EndpointCandidate>,
    wantedReplicas: Int = 1,
    evictionCost: EvictionCost = EvictionCost { _, _ -> null },
): PlacementChoice {
    val replicas = replicaSet(artifact.replicaKey)
    if (replicas.endpointIds.count { !holds(it, artifact) } >= wantedReplicas) return PlacementChoice.EnoughReplicas
    val allowed = candidates.filter { modelAllows(it.endpointId, artifact) }
    val roomy = allowed.filter { mayLoad(it.endpointId, artifact, weightsBytes) }
    val best = firstRanked(artifact, roomy, takenDomains(replicas, candidates))
    if (best != null) return PlacementChoice.Load(best, replicas.revision)
    return chooseVictim(weightsBytes, allowed, evictionCost)
}

private fun takenDomains(replicas: ReplicaSet, candidates: List<EndpointCandidate>): Set<FailureDomainId> {
    val taken = replicas.endpointIds.toSet()
    return candidates.filter { it.endpointId in taken }.mapTo(HashSet()) { it.failureDomainId }
}

/** Returns the endpoint that heads the ranking without ordering the rest. */
private fun PlacementLedger.firstRanked(
    artifact: Artifact,
    candidates: List<EndpointCandidate>,
    takenDomains: Set<FailureDomainId>,
): EndpointId? {
    val preferred = candidates.groupBy { preferenceOf(it, artifact, takenDomains) }.minByOrNull { it.key }?.value
    return firstByRendezvous(artifact.replicaKey.toString(), preferred.orEmpty().map { it.endpointId })
}

/** Smaller is better: memory held for the artifact, then a fresh failure domain, then the nearest checkpoint. */
private fun PlacementLedger.preferenceOf(
    candidate: EndpointCandidate,
    artifact: Artifact,
    takenDomains: Set<FailureDomainId>,
): Int {
    val held = if (holds(candidate.endpointId, artifact)) 0 else 1
    val domain = if (candidate.failureDomainId in takenDomains) 1 else 0
    return (held * 2 + domain) * CheckpointLocality.entries.size + candidate.locality.ordinal
}

private fun PlacementLedger.holds(endpointId: EndpointId, artifact: Artifact): Boolean =
    endpoint(endpointId)?.reservationOf(artifact)?.phase == ReservationPhase.HELD

private fun PlacementLedger.modelAllows(endpointId: EndpointId, artifact: Artifact): Boolean =
    artifact.adapterId == null || endpoint(endpointId)?.hasLoadedModel(artifact) == true

private fun PlacementLedger.mayLoad(endpointId: EndpointId, artifact: Artifact, weightsBytes: Long): Boolean {
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
    val victims = candidates.mapNotNull { endpoint(it.endpointId) }.flatMap { entry ->
        entry.reservations
            .filter { it.phase == ReservationPhase.LOADED && entry.canFree(it) }
            .mapNotNull { r -> evictionCost.costOf(entry.endpointId, r.artifact)?.let { Victim(entry, r, it) } }
    }
    val possible = victims.groupBy { it.entry.endpointId }.values.filter { all ->
        all.first().entry.freeBytes + all.sumOf { it.reservation.weightsBytes } >= weightsBytes
    }
    val cheapest = possible.flatten()
        .minWithOrNull(compareBy({ it.cost }, { it.entry.endpointId.value }, { it.reservation.artifact.toString() }))
        ?: return PlacementChoice.NoCapacity
    val victim = cheapest.reservation.artifact
    return PlacementChoice.Evict(cheapest.entry.endpointId, victim, replicaSet(victim.replicaKey).revision)
}

private fun EndpointEntry.canFree(reservation: Reservation): Boolean =
    capacity.checksFencing || reservation.unsettledOrders.isEmpty()

private class Victim(val entry: EndpointEntry, val reservation: Reservation, val cost: Double)
