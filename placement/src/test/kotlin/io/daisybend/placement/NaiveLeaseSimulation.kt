/*
 * Simulates placement with a naive time-based lease, which the checker must find unsafe. Two VMs take turns at the
 * lease; the holder reads the engine, orders an unload or a load that fits, and records the decision to load
 * afterwards. A holder may be paused between reading and ordering.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import kotlin.random.Random

private class NaiveVm {
    val outbox = ArrayDeque<EngineOrder>()
    var paused = false
}

internal class NaiveLeaseSimulation(seed: Long, checksFencing: Boolean) {
    private val random = Random(seed)
    private val engine = FakeEngine(EndpointId("engine-1"), EndpointCapacity(100, 20, checksFencing))
    private val models = (1..5).map { Artifact(ModelId("model-$it")) }
    private val decided = HashSet<Artifact>()
    private val vms = List(2) { NaiveVm() }
    private var leaseHolder = 0
    private var leaseNumber = 0L
    private var leaseExpiresAtMs = LEASE_MS
    private var nowMs = 0L

    /** Runs up to [steps] steps and returns the first violation, or null if there is none. */
    fun firstViolation(steps: Int): String? =
        (1..steps).firstNotNullOfOrNull {
            step()
            engine.violationOf(decided)
        }

    private fun step() {
        nowMs += random.nextLong(20)
        val index = random.nextInt(vms.size)
        val vm = vms[index]
        when (random.nextInt(6)) {
            0 -> vm.paused = !vm.paused
            1 -> engine.finishLoads()
            2 -> if (!vm.paused) vm.outbox.removeFirstOrNull()?.let { send(it) }
            else -> if (!vm.paused && acquireOrRenewLease(index)) order(vm)
        }
    }

    private fun acquireOrRenewLease(index: Int): Boolean {
        if (nowMs >= leaseExpiresAtMs) {
            leaseHolder = index
            leaseNumber++
        }
        if (leaseHolder == index) leaseExpiresAtMs = nowMs + LEASE_MS
        return leaseHolder == index
    }

    private fun order(vm: NaiveVm) {
        if (vm.outbox.isNotEmpty()) return
        val artifact = models.random(random)
        val kind = if (artifact in engine.artifacts) OrderKind.UNLOAD else OrderKind.LOAD
        if (kind == OrderKind.LOAD && engine.usedBytes + WEIGHTS_BYTES > engine.capacity.memoryBytes) return
        vm.outbox += EngineOrder(RecordId("order"), kind, artifact, WEIGHTS_BYTES, leaseNumber)
    }

    private fun send(order: EngineOrder) {
        engine.handle(order)
        if (order.kind == OrderKind.LOAD) decided += order.artifact
    }

    private companion object {
        const val LEASE_MS = 100L
        const val WEIGHTS_BYTES = 30L
    }
}
