/*
 * Placement as one part of the daemon: the runtime, the requests for replicas, and what callers and operators see.
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
) {
    private val self = OwnerId(vmId, incarnation = UUID.randomUUID().toString())
    private val usage = ReplicaUsage(clock)
    private val runtime =
        PlacementRuntime(self, ports.log, ports.engines, configuration, liveVms, usage, clock, timeline, scope)
    private val requests = ReplicaRequests(vmId, runtime, peers, usage, clock)

    val access: ModelAccess = PlacedModelAccess(configuration, runtime, requests, usage, clock)
    val status: StatusSource = PlacementStatus(runtime)

    fun start() {
        scope.launch { runtime.follow() }
        scope.launch { runtime.plan() }
        scope.launch { runtime.tick() }
    }
}
