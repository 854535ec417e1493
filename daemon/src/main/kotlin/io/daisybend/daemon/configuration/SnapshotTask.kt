/*
 * Runs the [SnapshotWriter] of this VM against the platform log.
 */
package io.daisybend.daemon.configuration

import com.github.michaelbull.result.mapBoth
import io.daisybend.configuration.Freshness
import io.daisybend.configuration.SnapshotAppend
import io.daisybend.configuration.SnapshotWriter
import io.daisybend.configuration.SnapshotWriterEvent
import io.daisybend.kernel.VmId
import kotlinx.coroutines.delay

internal class SnapshotTask(
    private val vmId: VmId,
    private val ports: ConfigurationPorts,
    private val configuration: FollowedConfiguration,
) {
    private val writer = SnapshotWriter(vmId)

    /** Ticks the snapshot writer and appends the parts of the snapshots that it produces; never returns. */
    suspend fun run() {
        while (true) {
            val state = configuration.state.takeIf { configuration.freshness == Freshness.ConfirmedByLog }
            val liveVms = ports.otherVms().orEmpty() + vmId
            var pendingAppend = writer.handle(SnapshotWriterEvent.Tick(state, liveVms), ports.clock.nowMs())
            while (pendingAppend != null) pendingAppend = writer.handle(append(pendingAppend), ports.clock.nowMs())
            delay(TICK_INTERVAL_MS)
        }
    }

    private suspend fun append(append: SnapshotAppend): SnapshotWriterEvent =
        ports.log.append(append.stream, append.payload)
            .mapBoth({ SnapshotWriterEvent.Appended }, { SnapshotWriterEvent.AppendFailed(it) })

    private companion object {
        const val TICK_INTERVAL_MS = 1_000L
    }
}
