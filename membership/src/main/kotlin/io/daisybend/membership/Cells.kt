/*
 * Cells: groups of about a dozen VMs of one region that work together like a small site. Rendezvous hashing assigns the
 * VMs of each failure domain to the cells of the region separately, so that every cell gets VMs of all domains. The
 * number of cells comes from the agreed configuration, not from the lagging VM list: two VMs that disagreed about it
 * would keep two buckets for one team.
 */
package io.daisybend.membership

import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.firstByRendezvous
import io.daisybend.kernel.rankByRendezvous

/** The name of a cell, unique within the site. */
@JvmInline
public value class CellName(public val value: String) {
    override fun toString(): String = value
}

/** Returns the names of the [cellCount] cells of [region]. */
public fun cellNames(region: String, cellCount: Int): List<CellName> = List(cellCount) { CellName("$region-$it") }

/** Returns the cell of [cells] that serves [teamId], or null if [cells] is empty. */
public fun homeCell(teamId: TeamId, cells: List<CellName>): CellName? = firstByRendezvous(teamId.value, cells)

/** Assigns the VMs of one region to [cells]; cells without VMs are missing from the result. */
public fun assignCells(entries: List<VmEntry>, cells: List<CellName>): Map<CellName, List<VmId>> = entries
    .groupBy { it.failureDomainId }
    .flatMap { (_, domain) -> assignEvenly(domain.map { it.vmId }, cells) }
    .groupBy({ it.cellName }, { it.vmId })

private class CellAssignment(val vmId: VmId, val cellName: CellName)

/** Assigns each VM to its best-ranked cell that is not full yet. */
private fun assignEvenly(vmIds: List<VmId>, cells: List<CellName>): List<CellAssignment> {
    val maxCellSize = (vmIds.size + cells.size - 1) / cells.size
    val sizes = HashMap<CellName, Int>()
    return vmIds.sortedBy { it.value }.map { vmId ->
        val cell = rankByRendezvous(vmId.value, cells).first { (sizes[it] ?: 0) < maxCellSize }
        sizes.merge(cell, 1, Int::plus)
        CellAssignment(vmId, cell)
    }
}
