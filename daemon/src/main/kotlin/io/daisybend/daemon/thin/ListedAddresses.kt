/*
 * Keeps the latest list of VMs and ranks the live ones for each team.
 */
package io.daisybend.daemon.thin

import com.github.michaelbull.result.onSuccess
import io.daisybend.daemon.request.AddressAnswer
import io.daisybend.daemon.request.AddressBook
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmDirectory
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.VmState
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.kernel.settings.SocketEndpoint
import io.daisybend.transport.PeerAddresses
import kotlinx.coroutines.delay

internal class ListedAddresses(
    private val directory: VmDirectory,
    private val lifetimeMs: Long,
    private val ownEntry: () -> VmEntry,
) : AddressBook,
    PeerAddresses {
    @Volatile
    var entries: List<VmEntry> = emptyList()
        private set

    /** The live VMs; the same list as long as no VM has come or gone. */
    @Volatile
    var liveVmIds: List<VmId> = emptyList()
        private set

    override fun addressesFor(teamId: TeamId?, modelId: ModelId?): AddressAnswer {
        val live = entries.filter { it.state == VmState.LIVE }.associateBy { it.vmId }
        val ranked = rankByRendezvous(teamId?.value.orEmpty(), live.keys).take(MAX_ADDRESSES)
        return AddressAnswer(ranked.map { live.getValue(it).callerAddress }, lifetimeMs, ranked)
    }

    /** Returns the VMs that are listed as live. */
    fun liveVms(): List<VmId> = entries.filter { it.state == VmState.LIVE }.map { it.vmId }

    override fun addressOf(vmId: VmId): SocketEndpoint? =
        entries.firstOrNull { it.vmId == vmId }?.peerAddress?.let { address ->
            SocketEndpoint(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
        }

    suspend fun follow() {
        while (true) {
            directory.register(ownEntry())
            directory.list().onSuccess { take(it) }
            delay(POLL_INTERVAL_MS)
        }
    }

    private fun take(listed: List<VmEntry>) {
        entries = listed
        val live = listed.filter { it.state == VmState.LIVE && !isOwnAndLeaving(it) }.map { it.vmId }
        if (live != liveVmIds) liveVmIds = live
    }

    private fun isOwnAndLeaving(entry: VmEntry) = ownEntry().let { it.vmId == entry.vmId && it.state != VmState.LIVE }

    private companion object {
        const val POLL_INTERVAL_MS = 500L
        const val MAX_ADDRESSES = 3
    }
}
