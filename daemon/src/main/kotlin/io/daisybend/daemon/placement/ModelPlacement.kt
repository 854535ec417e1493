/*
 * Wires the daemon's placement component: the runtime, the replica requester, model access and the status source.
 */
package io.daisybend.daemon.placement

import io.daisybend.daemon.DaemonPorts
import io.daisybend.daemon.admin.StatusSource
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.daisybend.placement.OwnerId
import io.daisybend.transport.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.UUID

internal class ModelPlacement(
    vmId: VmId,
    ports: DaemonPorts,
    peers: PeerNetwork,
    configuration: ConfigurationView,
    liveVms: LiveVms,
    clock: MillisClock,
    timeline: Timeline,
    private val scope: CoroutineScope,
    minIdleMs: Long,
) {
    private val self = OwnerId(vmId, incarnation = UUID.randomUUID().toString())
    private val usage = ReplicaUsage(clock)
    private val idleUnloadPolicy = IdleUnloadPolicy(minIdleMs, clock)
    private val runtime = PlacementRuntime(
        self = self,
        log = ports.log,
        engineClient = ports.engines,
        configuration = configuration,
        liveVms = liveVms,
        usage = usage,
        idleUnloadPolicy = idleUnloadPolicy,
        clock = clock,
        timeline = timeline,
        scope = scope,
    )
    private val replicaRequester = ReplicaRequester(vmId, runtime, peers, usage, clock)

    val access: ModelAccess = PlacedModelAccess(configuration, runtime, replicaRequester, usage, clock)
    val status: StatusSource = PlacementStatus(runtime)

    fun start() {
        scope.launch { runtime.followLedger() }
        scope.launch { runtime.runOwnershipPlanning() }
        scope.launch { runtime.runTicks() }
        scope.launch { runtime.runIdleUnloading() }
    }
}
