/*
 * Measures how the cost of configuration grows: bytes and processor time of a manifest, a change and a snapshot, and
 * memory of the state, by manifest size; bytes and processor time of gossip by number of nodes. Time is simulated, but
 * processor time is measured.
 */
package io.daisybend.bench.slopes

import com.github.michaelbull.result.getOrElse
import io.daisybend.configuration.AdapterSpec
import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.ConfigurationFollower
import io.daisybend.configuration.ConfigurationRecord
import io.daisybend.configuration.ConfigurationState
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.FollowerAction
import io.daisybend.configuration.FollowerEvent
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ManifestTables
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.TeamSpec
import io.daisybend.configuration.diffManifests
import io.daisybend.configuration.encodeChange
import io.daisybend.configuration.encodeGossip
import io.daisybend.configuration.encodeRecord
import io.daisybend.configuration.readManifest
import io.daisybend.configuration.replay
import io.daisybend.configuration.snapshotChunks
import io.daisybend.configuration.toTables
import io.daisybend.configuration.writeManifest
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import kotlin.random.Random

private const val SEED = 1L
private const val TEAM_COUNT = 20
private const val CHANGE_COUNT = 2_000
private const val TICK_INTERVAL_MS = 100L
private const val WARM_UP_MS = 10_000L
private const val SIMULATED_MS = 40_000L
private const val NANOS_PER_MS = 1e6
private const val MS_PER_SECOND = 1_000.0

/** Prints the costs of the configuration module at several sizes. */
public fun main() {
    repeat(2) { measureManifest(models = 400) }
    println(
        "models adapters | json_bytes read_ms | records record_bytes replay_ms | snapshot_bytes write_ms | state_bytes",
    )
    listOf(400, 800, 1_600, 3_200).forEach { println(measureManifest(it)) }
    println("adapters | bytes/change replay_ns/change")
    listOf(2_450, 4_900, 9_800, 19_600).forEach { println(measureChanges(it)) }
    println("nodes log | sent_bytes/s/node messages/s/node log_reads/s cpu_us/s/node, seed $SEED")
    for (nodes in listOf(9, 36, 120, 360)) {
        println(GossipSimulation(nodes, isLogAvailable = true).run())
        println(GossipSimulation(nodes, isLogAvailable = false).run())
    }
}

private fun manifestOf(models: Int, adapters: Int, endpoints: Int = models * 3 / 2): Manifest {
    val modelIds = List(models) { ModelId("model-$it") }
    val adapterIds = List(adapters) { AdapterId("branch-$it/orders") }
    return Manifest(
        models = modelIds.map { ModelSpec(it, "2026.1", weightsBytes = 14_000_000_000L) },
        adapters = adapterIds.mapIndexed { index, id ->
            AdapterSpec(id, modelIds[index % models], "r$index", 200_000_000L + index)
        },
        teams = List(TEAM_COUNT) { teamIndex ->
            TeamSpec(
                teamId = TeamId("team-$teamIndex"),
                rateTokensPerSecond = 1_000,
                burstTokens = 10_000,
                modelIds = modelIds.filterIndexed { index, _ -> index % TEAM_COUNT == teamIndex },
                adapterIds = adapterIds.filterIndexed { index, _ -> index % TEAM_COUNT == teamIndex },
            )
        },
        endpoints = List(endpoints) { index ->
            EndpointSpec(
                endpointId = EndpointId("engine-$index"),
                kind = EndpointKind.ENGINE,
                address = "10.0.${index / 250}.${index % 250}:8000",
                failureDomainId = FailureDomainId("domain-${index % 22}"),
                memoryBytes = 80_000_000_000L,
            )
        },
    )
}

private fun recordsOf(manifest: Manifest): List<ByteArray> {
    val change = ConfigurationChange.ApplyManifest(0, diffManifests(ManifestTables(), manifest.toTables()))
    return encodeChange(ChangeId("apply"), change)
}

private fun replayAll(records: List<ByteArray>, from: ConfigurationState = ConfigurationState.INITIAL) =
    records.fold(from) { state, payload ->
        state.replay(state.nextOffset, payload).getOrElse { error(it.message) }
    }

private fun <T> elapsedMs(work: () -> T): Double {
    val startNanos = System.nanoTime()
    work()
    return (System.nanoTime() - startNanos) / NANOS_PER_MS
}

private fun <T> medianMs(work: () -> T): Double = List(9) { elapsedMs(work) }.sorted()[4]

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private fun measureManifest(models: Int): String {
    val adapters = models * 49 / 8
    val manifest = manifestOf(models, adapters)
    val text = writeManifest(manifest)
    val records = recordsOf(manifest)
    val readMs = medianMs { readManifest(text) }
    val replayMs = medianMs { replayAll(records) }
    val usedBytesBefore = usedBytes()
    val state = replayAll(records)
    val stateBytes = usedBytes() - usedBytesBefore
    val writeMs = medianMs { snapshotChunks(state) }
    val snapshotBytes = snapshotChunks(state).sumOf { it.content.size }
    val recordBytes = records.sumOf { it.size }
    return "%d %d | %d %.1f | %d %d %.1f | %d %.1f | %d".format(
        models, adapters, text.length, readMs, records.size, recordBytes, replayMs, snapshotBytes, writeMs, stateBytes,
    )
}

private fun measureChanges(adapters: Int): String {
    val initialState = replayAll(recordsOf(manifestOf(models = adapters * 8 / 49, adapters = adapters)))
    val changes = List(CHANGE_COUNT) { index ->
        val expectedRevision = if (index < TEAM_COUNT) 1L else index - TEAM_COUNT + 2L
        val teamId = TeamId("team-${index % TEAM_COUNT}")
        val change = ConfigurationChange.SetRates(expectedRevision, teamId, 1_000L + index, burstTokens = 10_000)
        encodeRecord(ConfigurationRecord.Change(ChangeId("0f8fad5b-d9cb-469f-a165-70867728$index"), change))
    }
    val finalState = replayAll(changes, initialState)
    check(finalState.revision == CHANGE_COUNT + 1L) {
        "expected revision ${CHANGE_COUNT + 1}, got ${finalState.revision}"
    }
    val replayMs = medianMs { replayAll(changes, initialState) }
    val bytes = changes.sumOf { it.size } / CHANGE_COUNT
    return "%d | %d %.0f".format(adapters, bytes, replayMs * NANOS_PER_MS / CHANGE_COUNT)
}

/** Simulates gossip between [nodes] followers. Messages and log reads are delivered without loss or delay. */
private class GossipSimulation(private val nodes: Int, private val isLogAvailable: Boolean) {
    private val vmIds = List(nodes) { VmId("vm-$it") }
    private val followers = vmIds.associateWith { ConfigurationFollower(random = Random(SEED + it.hashCode())) }
    private var nowMs = 0L
    private var isLogReachable = true
    private var sentBytes = 0L
    private var sentMessages = 0L
    private var logReads = 0L
    private var cpuNanos = 0L

    fun run(): String {
        vmIds.forEach { deliver(it, FollowerEvent.PeersListed(vmIds - it)) }
        runUntil(WARM_UP_MS)
        isLogReachable = isLogAvailable
        runUntil(2 * WARM_UP_MS)
        sentBytes = 0
        sentMessages = 0
        logReads = 0
        cpuNanos = 0
        runUntil(2 * WARM_UP_MS + SIMULATED_MS)
        val nodeSeconds = nodes * SIMULATED_MS / MS_PER_SECOND
        return "%d %s | %.0f %.1f %.1f %.0f".format(
            nodes,
            if (isLogAvailable) "up" else "down",
            sentBytes / nodeSeconds,
            sentMessages / nodeSeconds,
            logReads * MS_PER_SECOND / SIMULATED_MS,
            cpuNanos / MS_PER_SECOND / nodeSeconds,
        )
    }

    private fun runUntil(endMs: Long) {
        while (nowMs < endMs) {
            nowMs += TICK_INTERVAL_MS
            vmIds.forEach { deliver(it, FollowerEvent.Tick) }
        }
    }

    private fun deliver(vmId: VmId, event: FollowerEvent) {
        val startNanos = System.nanoTime()
        val actions = followers.getValue(vmId).handle(event, nowMs)
        cpuNanos += System.nanoTime() - startNanos
        actions.forEach { perform(vmId, it) }
    }

    private fun perform(vmId: VmId, action: FollowerAction) {
        when (action) {
            is FollowerAction.Send -> {
                val startNanos = System.nanoTime()
                sentBytes += encodeGossip(action.message).size
                cpuNanos += System.nanoTime() - startNanos
                sentMessages += 1
                deliver(action.peer, FollowerEvent.PeerMessage(vmId, action.message))
            }
            is FollowerAction.ReadLog -> {
                logReads += 1
                deliver(vmId, logReadResult(action))
            }
            FollowerAction.ReadSnapshot -> deliver(vmId, FollowerEvent.SnapshotRead(null))
            else -> Unit
        }
    }

    private fun logReadResult(action: FollowerAction.ReadLog): FollowerEvent =
        if (isLogReachable) {
            FollowerEvent.LogRead(action.requestedAtMs, action.fromOffset, LogBatch(emptyList(), 0, 0))
        } else {
            FollowerEvent.LogReadFailed(action.requestedAtMs, LogFailure.Unavailable("simulated log outage"))
        }
}
