/*
 * Which VMs the callers of a team should use. The holders of the team's seats come first, since they admit its requests
 * without asking another VM; then the others in an order that depends only on the team and the model, so that answers
 * stay the same while the VMs do. Neighbouring choices stand in different failure domains. Suspected VMs come last.
 */
package io.daisybend.membership

import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous

/** Returns up to [count] VMs of [view] for callers of [teamId] and [modelId], best first; empty when none is live. */
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
    val preferred = interleaveDomains(holders.map { live.getValue(it) }) + interleaveDomains(others.map { live.getValue(it) })
    return takeAcrossDomains(preferred, count) +
        suspected.map { live.getValue(it) }.take((count - reachable.size).coerceAtLeast(0))
}

/** Keeps the order but takes a VM of each failure domain before a second one of any. */
private fun interleaveDomains(entries: List<VmEntry>): List<VmEntry> {
    val seen = HashMap<FailureDomainId, Int>()
    return entries
        .map { it to seen.merge(it.failureDomainId, 1, Int::plus) }
        .sortedBy { (_, rankInDomain) -> rankInDomain }
        .map { (entry, _) -> entry }
}

/** Takes the first [count], but lets the last choice be in another failure domain than all the ones before. */
private fun takeAcrossDomains(entries: List<VmEntry>, count: Int): List<VmEntry> {
    val first = entries.take(count)
    val domains = first.mapTo(HashSet()) { it.failureDomainId }
    if (domains.size > 1 || first.size < count) return first
    val otherDomainVm = entries.firstOrNull { it.failureDomainId !in domains } ?: return first
    return first.dropLast(1) + otherDomainVm
}

/** How many addresses an answer holds unless told otherwise. */
public const val DEFAULT_VM_COUNT: Int = 3
