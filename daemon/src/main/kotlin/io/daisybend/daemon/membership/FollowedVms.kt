/*
 * Follows the platform's list of VMs, registers this one, and answers which VMs callers should use.
 */
package io.daisybend.daemon.membership

import com.github.michaelbull.result.onSuccess
import io.daisybend.daemon.request.AddressResolver
import io.daisybend.daemon.request.ResolvedAddresses
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmDirectory
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.settings.HostAndPort
import io.daisybend.membership.VmEvent
import io.daisybend.membership.VmView
import io.daisybend.membership.chooseVms
import io.daisybend.transport.PeerAddressResolver
import kotlinx.coroutines.delay

internal class FollowedVms(
    private val directory: VmDirectory,
    private val lifetimeMs: Long,
    private val clock: MillisClock,
    private val ownEntry: () -> VmEntry,
    private val seatHolders: (TeamId) -> List<VmId>,
) : AddressResolver,
    PeerAddressResolver {
    private val view = VmView(ownEntry().vmId)

    /** The known VMs, empty before the first list was read. */
    val entries: List<VmEntry> get() = view.known()

    @Volatile
    private var lastLiveVms: List<VmId> = emptyList()

    /** Returns the VMs that are not about to stop; the same list as long as none has come or gone. */
    fun liveVms(): List<VmId> {
        val live = view.live(clock.nowMs()).map { it.vmId }
        if (live != lastLiveVms) lastLiveVms = live
        return lastLiveVms
    }

    override fun addressesFor(teamId: TeamId?, modelId: ModelId?): ResolvedAddresses {
        val holders = teamId?.let(seatHolders).orEmpty()
        val chosen = chooseVms(view, teamId, modelId, holders, clock.nowMs())
        return ResolvedAddresses(chosen.map { it.callerAddress }, lifetimeMs, chosen.map { it.vmId })
    }

    override fun addressOf(vmId: VmId): HostAndPort? = view.entry(vmId)?.peerAddress?.let { address ->
        HostAndPort(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
    }

    /** Registers this VM and reads the list, again and again. */
    suspend fun follow() {
        while (true) {
            register()
            directory.list().onSuccess { view.handle(VmEvent.ListRead(it), clock.nowMs()) }
            delay(POLL_INTERVAL_MS)
        }
    }

    /** Registers this VM with its current state and returns whether the platform took it. */
    suspend fun register(): Boolean = directory.register(ownEntry()).isOk

    private companion object {
        const val POLL_INTERVAL_MS = 500L
    }
}
