/*
 * Cells: groups of about a dozen VMs of one region that work together as a small site does. A VM belongs to the cell
 * that rendezvous hashing gives it among its region's cells, separately for each failure domain, so every cell gets VMs
 * of all domains. The number of cells is part of the agreed configuration, never derived from the lagging list: two VMs
 * that disagreed about it would keep two buckets for one team.
 */
package io.daisybend.membership

import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.firstByRendezvous
import io.daisybend.kernel.rankByRendezvous

/** Names a cell within the whole site. */
@JvmInline
public value class CellName(public val value: String) {
    override fun toString(): String = value
}

/** Returns the names of [cellCount] cells of [region]. */
public fun cellNames(region: String, cellCount: Int): List<CellName> = List(cellCount) { CellName("$region-$it") }

/** Returns the cell out of [cells] to which [teamId] belongs, null when there is none. */
public fun homeCell(teamId: TeamId, cells: List<CellName>): CellName? = firstByRendezvous(teamId.value, cells)

/** Returns the VMs of each of [cells] for the VMs of one region. */
public fun assignCells(entries: List<VmEntry>, cells: List<CellName>): Map<CellName, List<VmId>> = entries
    .groupBy { it.failureDomainId }
    .flatMap { (_, domain) -> assignEvenly(domain.map { it.vmId }, cells) }
    .groupBy({ it.cellName }, { it.vmId })

private class CellAssignment(val vmId: VmId, val cellName: CellName)

/** Gives each VM its best cell that is not full yet. */
private fun assignEvenly(vmIds: List<VmId>, cells: List<CellName>): List<CellAssignment> {
    val maxCellSize = (vmIds.size + cells.size - 1) / cells.size
    val sizes = HashMap<CellName, Int>()
    return vmIds.sortedBy { it.value }.map { vmId ->
        val cell = rankByRendezvous(vmId.value, cells).first { (sizes[it] ?: 0) < maxCellSize }
        sizes.merge(cell, 1, Int::plus)
        CellAssignment(vmId, cell)
    }
}
