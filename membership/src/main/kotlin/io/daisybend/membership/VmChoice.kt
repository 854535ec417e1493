/*
 * Chooses the VMs that the callers of a team should use. The holders of the team's bucket shards come first, since they
 * can admit its requests without asking another VM; the others follow in an order that depends only on the team and the
 * model, so that answers stay stable while the VMs do. The choice spans several failure domains if the reachable VMs
 * do, and suspected VMs come last.
 */
package io.daisybend.membership

import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

/** Returns up to [count] VMs of [view] for callers of [teamId] and [modelId], best first; empty if none is live. */
public fun chooseVms(
    view: VmView,
    teamId: TeamId?,
    modelId: ModelId?,
    shardHolders: List<VmId>,
    nowMs: Long,
    count: Int = DEFAULT_VM_COUNT,
): List<VmEntry> {
    val live = view.live(nowMs).associateBy { it.vmId }
    val ranked = rankByRendezvous("${teamId?.value.orEmpty()}/${modelId?.value.orEmpty()}", live.keys)
    val (reachable, suspected) = ranked.partition { !view.isSuspected(it) }
    val (holders, others) = reachable.partition { it in shardHolders }
    val preferred =
        interleaveDomains(holders.map { live.getValue(it) }) + interleaveDomains(others.map { live.getValue(it) })
    return takeAcrossDomains(preferred, count) +
        suspected.map { live.getValue(it) }.take((count - reachable.size).coerceAtLeast(0))
}

/** Reorders [entries] so that each failure domain appears once before any appears again. */
private fun interleaveDomains(entries: List<VmEntry>): List<VmEntry> {
    val seen = HashMap<FailureDomainId, Int>()
    return entries
        .map { it to seen.merge(it.failureDomainId, 1, Int::plus) }
        .sortedBy { (_, rankInDomain) -> rankInDomain }
        .map { (entry, _) -> entry }
}

/** Returns the first [count] entries; if all are in one failure domain, replaces the last by a VM of another one. */
private fun takeAcrossDomains(entries: List<VmEntry>, count: Int): List<VmEntry> {
    val first = entries.take(count)
    val domains = first.mapTo(HashSet()) { it.failureDomainId }
    if (domains.size > 1 || first.size < count) return first
    val otherDomainVm = entries.firstOrNull { it.failureDomainId !in domains } ?: return first
    return first.dropLast(1) + otherDomainVm
}

/** The largest number of VMs that [chooseVms] returns by default. */
public const val DEFAULT_VM_COUNT: Int = 3
