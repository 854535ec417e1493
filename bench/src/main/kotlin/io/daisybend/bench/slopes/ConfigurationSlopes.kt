/*
 * Measures what the configuration costs: bytes and time of a manifest, of a single change, of snapshots and of the
 * state against the manifest's size, and the gossip's bytes and processor time against the number of nodes. Time is
 * simulated; only the decisions' own processor time is real.
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
private const val TEAMS = 20
private const val CHANGES = 2_000
private const val TICK_MS = 100L
private const val WARM_UP_MS = 10_000L
private const val SIMULATED_MS = 40_000L
private const val NANOS_PER_MS = 1e6
private const val MS_PER_SECOND = 1_000.0

/** Prints the slopes of the configuration module. */
public fun main() {
    repeat(2) { manifestSlope(models = 400) }
    println(
        "models adapters | json_bytes read_ms | records record_bytes replay_ms | snapshot_bytes write_ms | state_bytes",
    )
    listOf(400, 800, 1_600, 3_200).forEach { println(manifestSlope(it)) }
    println("adapters | bytes/change replay_ns/change")
    listOf(2_450, 4_900, 9_800, 19_600).forEach { println(changeSlope(it)) }
    println("nodes log | sent_bytes/s/node messages/s/node log_reads/s cpu_us/s/node, seed $SEED")
    for (nodes in listOf(9, 36, 120, 360)) {
        println(GossipRun(nodes, logUp = true).run())
        println(GossipRun(nodes, logUp = false).run())
    }
}

private fun manifestOf(models: Int, adapters: Int, endpoints: Int = models * 3 / 2): Manifest {
    val modelIds = List(models) { ModelId("model-$it") }
    val adapterIds = List(adapters) { AdapterId("branch-$it/orders") }
    return Manifest(
        models = modelIds.map { ModelSpec(it, "2026.1", weightsBytes = 14_000_000_000L) },
        adapters = adapterIds.mapIndexed { at, id ->
            AdapterSpec(id, modelIds[at % models], "r$at", 200_000_000L + at)
        },
        teams = List(TEAMS) { at ->
            TeamSpec(
                teamId = TeamId("team-$at"),
                rateTokensPerSecond = 1_000,
                burstTokens = 10_000,
                modelIds = modelIds.filterIndexed { index, _ -> index % TEAMS == at },
                adapterIds = adapterIds.filterIndexed { index, _ -> index % TEAMS == at },
            )
        },
        endpoints = List(endpoints) { at ->
            EndpointSpec(
                endpointId = EndpointId("engine-$at"),
                kind = EndpointKind.ENGINE,
                address = "10.0.${at / 250}.${at % 250}:8000",
                failureDomainId = FailureDomainId("domain-${at % 22}"),
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

private fun <T> timedMs(work: () -> T): Double {
    val start = System.nanoTime()
    work()
    return (System.nanoTime() - start) / NANOS_PER_MS
}

private fun <T> medianMs(work: () -> T): Double = List(9) { timedMs(work) }.sorted()[4]

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private fun manifestSlope(models: Int): String {
    val adapters = models * 49 / 8
    val manifest = manifestOf(models, adapters)
    val text = writeManifest(manifest)
    val records = recordsOf(manifest)
    val readMs = medianMs { readManifest(text) }
    val replayMs = medianMs { replayAll(records) }
    val before = usedBytes()
    val state = replayAll(records)
    val stateBytes = usedBytes() - before
    val writeMs = medianMs { snapshotChunks(state) }
    val snapshotBytes = snapshotChunks(state).sumOf { it.content.size }
    val recordBytes = records.sumOf { it.size }
    return "%d %d | %d %.1f | %d %d %.1f | %d %.1f | %d".format(
        models, adapters, text.length, readMs, records.size, recordBytes, replayMs, snapshotBytes, writeMs, stateBytes,
    )
}

private fun changeSlope(adapters: Int): String {
    val start = replayAll(recordsOf(manifestOf(models = adapters * 8 / 49, adapters = adapters)))
    val changes = List(CHANGES) { at ->
        val expectedRevision = if (at < TEAMS) 1L else at - TEAMS + 2L
        val teamId = TeamId("team-${at % TEAMS}")
        val change = ConfigurationChange.SetRates(expectedRevision, teamId, 1_000L + at, burstTokens = 10_000)
        encodeRecord(ConfigurationRecord.Change(ChangeId("0f8fad5b-d9cb-469f-a165-70867728$at"), change))
    }
    val end = replayAll(changes, start)
    check(end.revision == CHANGES + 1L) { "expected ${CHANGES + 1} accepted changes, got ${end.revision}" }
    val replayMs = medianMs { replayAll(changes, start) }
    val bytes = changes.sumOf { it.size } / CHANGES
    return "%d | %d %.0f".format(adapters, bytes, replayMs * NANOS_PER_MS / CHANGES)
}

/** Lets [nodes] followers gossip without loss; messages and answers of the log arrive at once. */
private class GossipRun(private val nodes: Int, private val logUp: Boolean) {
    private val vmIds = List(nodes) { VmId("vm-$it") }
    private val followers = vmIds.associateWith { ConfigurationFollower(random = Random(SEED + it.hashCode())) }
    private var nowMs = 0L
    private var logReachable = true
    private var sentBytes = 0L
    private var messages = 0L
    private var reads = 0L
    private var cpuNanos = 0L

    fun run(): String {
        vmIds.forEach { feed(it, FollowerEvent.PeersListed(vmIds - it)) }
        runUntil(WARM_UP_MS)
        logReachable = logUp
        runUntil(2 * WARM_UP_MS)
        sentBytes = 0
        messages = 0
        reads = 0
        cpuNanos = 0
        runUntil(2 * WARM_UP_MS + SIMULATED_MS)
        val nodeSeconds = nodes * SIMULATED_MS / MS_PER_SECOND
        return "%d %s | %.0f %.1f %.1f %.0f".format(
            nodes,
            if (logUp) "up" else "down",
            sentBytes / nodeSeconds,
            messages / nodeSeconds,
            reads * MS_PER_SECOND / SIMULATED_MS,
            cpuNanos / MS_PER_SECOND / nodeSeconds,
        )
    }

    private fun runUntil(endMs: Long) {
        while (nowMs < endMs) {
            nowMs += TICK_MS
            vmIds.forEach { feed(it, FollowerEvent.Tick) }
        }
    }

    private fun feed(vmId: VmId, event: FollowerEvent) {
        val start = System.nanoTime()
        val actions = followers.getValue(vmId).handle(event, nowMs)
        cpuNanos += System.nanoTime() - start
        actions.forEach { perform(vmId, it) }
    }

    private fun perform(vmId: VmId, action: FollowerAction) {
        when (action) {
            is FollowerAction.Send -> {
                val start = System.nanoTime()
                sentBytes += encodeGossip(action.message).size
                cpuNanos += System.nanoTime() - start
                messages += 1
                feed(action.peer, FollowerEvent.PeerMessage(vmId, action.message))
            }
            is FollowerAction.ReadLog -> {
                reads += 1
                feed(vmId, logAnswer(action))
            }
            FollowerAction.ReadSnapshot -> feed(vmId, FollowerEvent.SnapshotRead(null))
            else -> Unit
        }
    }

    private fun logAnswer(action: FollowerAction.ReadLog): FollowerEvent =
        if (logReachable) {
            FollowerEvent.LogRead(action.requestedAtMs, action.fromOffset, LogBatch(emptyList(), 0, 0))
        } else {
            FollowerEvent.LogReadFailed(action.requestedAtMs, LogFailure.Unavailable("expected the log, it is down"))
        }
}
