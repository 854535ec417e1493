/*
 * Runs the snapshot writer of this VM.
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

    /** Writes snapshots whenever it is this VM's turn; never returns. */
    suspend fun run() {
        while (true) {
            val state = configuration.state.takeIf { configuration.freshness == Freshness.ConfirmedByLog }
            val liveVms = ports.otherVms().orEmpty() + vmId
            var next = writer.handle(SnapshotWriterEvent.Tick(state, liveVms), ports.clock.nowMs())
            while (next != null) next = writer.handle(append(next), ports.clock.nowMs())
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
