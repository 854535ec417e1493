/*
 * Measures how the cost of placement grows over three site sizes: bytes and replay time of a record, memory of the
 * ledger, size of its snapshot, and the time of one placement decision and of planning ownership. The log is generated
 * from a fixed seed.
 */
package io.daisybend.bench.slopes

import com.github.michaelbull.result.getOrElse
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.VmId
import io.daisybend.placement.Artifact
import io.daisybend.placement.EndpointCandidate
import io.daisybend.placement.EndpointCapacity
import io.daisybend.placement.EngineArtifact
import io.daisybend.placement.OwnerId
import io.daisybend.placement.OwnershipPlanner
import io.daisybend.placement.PlacementLedger
import io.daisybend.placement.PlacementRecord
import io.daisybend.placement.RecordId
import io.daisybend.placement.chooseEndpoint
import io.daisybend.placement.decodePlacementRecord
import io.daisybend.placement.snapshot
import io.daisybend.placement.toPayload
import io.daisybend.placement.toPayloads
import kotlin.random.Random

private const val SEED = 1L
private const val GIB = 1L shl 30
private const val MODEL_BYTES = 20 * GIB
private const val ADAPTER_BYTES = GIB / 8
private const val MIN_MEASURE_NANOS = 300_000_000L
private val capacity = EndpointCapacity(memoryBytes = 80 * GIB, kvCacheBytes = 10 * GIB, checksFencing = true)

private class PlacementSize(val vms: Int, val engines: Int, val models: Int, val adapters: Int)

/** Prints the costs of the placement module at three site sizes. */
public fun main() {
    println("placement, seed $SEED, each engine holds up to 3 models and their adapters")
    println(
        "engines artifacts records | bytes/record replay_ns/record ledger_bytes snapshot_bytes | " +
            "choose_us plan_new_list_us plan_same_list_us",
    )
    listOf(
        PlacementSize(vms = 9, engines = 11, models = 30, adapters = 60),
        PlacementSize(vms = 36, engines = 240, models = 160, adapters = 980),
        PlacementSize(vms = 360, engines = 2_400, models = 1_600, adapters = 9_800),
    ).forEach { println(PlacementMeasurement(it).measure()) }
}

private class PlacementMeasurement(private val size: PlacementSize) {
    private val random = Random(SEED)
    private val vms = (1..size.vms).map { VmId("vm-$it") }
    private val endpointIds = (1..size.engines).map { EndpointId("engine-$it") }
    private val models = (1..size.models).map { Artifact(ModelId("model-$it"), version = "2026-12-04") }
    private val adapters = (1..size.adapters).map {
        Artifact(models[it % size.models].modelId, AdapterId("adapter-$it"), version = "2026-12-04")
    }
    private val ledger = PlacementLedger()
    private val log = ArrayList<ByteArray>()

    fun measure(): String {
        endpointIds.forEach { append(createClaim(it)) }
        models.forEach { recordLoad(it, MODEL_BYTES, endpointIds) }
        adapters.forEach { recordLoad(it, ADAPTER_BYTES, ledger.loadedAt(models[indexOfModel(it)])) }
        val usedBytesBefore = usedBytes()
        val replayed = replay()
        val ledgerBytes = usedBytes() - usedBytesBefore
        check(replayed.snapshot() == ledger.snapshot()) { "expected the replayed ledger to equal the original ledger" }
        return "%7d %9d %7d | %12d %16d %12d %14d | %9.1f %16.1f %17.1f".format(
            size.engines,
            size.models + size.adapters,
            log.size,
            log.sumOf { it.size } / log.size,
            nanosPerRun { replay() } / log.size,
            ledgerBytes,
            ledger.snapshot().toPayloads(RecordId("snapshot")).sumOf { it.size },
            measureChoiceMicros(),
            measurePlanMicros(reusesVmList = false),
            measurePlanMicros(reusesVmList = true),
        )
    }

    private fun indexOfModel(adapter: Artifact) = adapter.modelId.value.removePrefix("model-").toInt() - 1

    private fun append(record: PlacementRecord): Boolean {
        log += record.toPayload()
        return ledger.apply(ledger.nextOffset, record).refusal == null
    }

    private fun nextRecordId() = RecordId("vm-${random.nextInt(size.vms)}/8d3f2a1c/${ledger.nextOffset}")

    private fun createClaim(endpointId: EndpointId): PlacementRecord {
        val owner = OwnerId(vms.random(random), "0b54a3f2-6d0e-4c8b-9d3e-5f1f6a2b7c8d")
        return PlacementRecord.Claim(nextRecordId(), endpointId, owner, expectedFence = -1, capacity)
    }

    private fun recordLoad(artifact: Artifact, weightsBytes: Long, candidates: List<EndpointId>) {
        val endpointId = candidates.randomOrNull(random) ?: return
        val fence = checkNotNull(ledger.endpoint(endpointId)).fence
        val decision = PlacementRecord.DecideLoad(nextRecordId(), endpointId, fence, artifact, weightsBytes, -1)
        if (!append(decision)) return
        val entry = checkNotNull(ledger.endpoint(endpointId))
        val loadedArtifact = EngineArtifact(artifact, weightsBytes, orderId = decision.recordId)
        append(
            PlacementRecord.Observed(
                nextRecordId(),
                endpointId,
                fence,
                entry.lastOffset,
                entry.lastOffset,
                loaded = listOf(loadedArtifact.artifact),
            ),
        )
    }

    private fun replay(): PlacementLedger {
        val replayedLedger = PlacementLedger()
        log.forEachIndexed { offset, payload ->
            replayedLedger.apply(offset.toLong(), decodePlacementRecord(payload).getOrElse { error(it.message) })
        }
        return replayedLedger
    }

    private fun measureChoiceMicros(): Double {
        val candidates = endpointIds.map { EndpointCandidate(it, FailureDomainId("fd-${it.hashCode() % 22}")) }
        val coldModel = Artifact(ModelId("cold-model"), version = "1")
        return nanosPerRun { ledger.chooseEndpoint(coldModel, MODEL_BYTES, candidates) } / NANOS_PER_MICRO
    }

    private fun measurePlanMicros(reusesVmList: Boolean): Double {
        val planner = OwnershipPlanner(OwnerId(vms.first(), "run-1"))
        return nanosPerRun {
            val list = if (reusesVmList) vms else vms.toList()
            endpointIds.forEach { planner.plan(it, ledger.endpoint(it), list, nowMs = 0) }
        } / NANOS_PER_MICRO
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000.0
    }
}

/** Returns the average time of one run of [work] in nanoseconds, measured after a warm-up. */
private fun nanosPerRun(work: () -> Unit): Long {
    averageNanos(work)
    return averageNanos(work)
}

private fun averageNanos(work: () -> Unit): Long {
    val startNanos = System.nanoTime()
    var runs = 0L
    while (System.nanoTime() - startNanos < MIN_MEASURE_NANOS) {
        work()
        runs++
    }
    return (System.nanoTime() - startNanos) / runs
}

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
