/*
 * A model engine that checks no memory and refuses only orders with an old fencing number, so the checker sees what the
 * owners' decisions alone prevent. A restart clears its artifacts but keeps its highest fencing number.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId

internal class FakeEngine(
    val endpointId: EndpointId,
    val capacity: EndpointCapacity,
    private val obeysOldFences: Boolean = false,
) {
    val artifacts = LinkedHashMap<Artifact, EngineArtifact>()
    private var bootCount = 0
    private var highestFence = NO_FENCE

    val usedBytes: Long get() = capacity.kvCacheBytes + artifacts.values.sumOf { it.weightsBytes }

    fun state(raiseFence: Long?): StateAnswer {
        if (!admits(raiseFence ?: highestFence)) return StateAnswer.FenceRefused(highestFence)
        val fence = if (capacity.checksFencing) highestFence else NO_FENCE
        return StateAnswer.Reported(EngineState("boot-$bootCount", fence, artifacts.values.toList()))
    }

    fun handle(order: EngineOrder): OrderAnswer {
        if (!admits(order.fencingNumber)) return OrderAnswer.Refused("fencing number below $highestFence")
        return when (order.kind) {
            OrderKind.LOAD -> applyLoad(order)
            OrderKind.UNLOAD -> applyUnload(order.artifact)
        }
    }

    fun finishLoads() = artifacts.replaceAll { _, it -> it.copy(loading = false) }

    fun restart() {
        bootCount++
        artifacts.clear()
    }

    /** Returns the violated invariant if only [decided] may be loaded, or null if none is violated. */
    fun violationOf(decided: Collection<Artifact>): String? {
        val undecided = artifacts.keys - decided.toSet()
        return when {
            usedBytes > capacity.memoryBytes -> "$endpointId uses $usedBytes of ${capacity.memoryBytes} bytes"
            undecided.isNotEmpty() -> "$endpointId holds undecided $undecided"
            else -> null
        }
    }

    private fun admits(fencingNumber: Long): Boolean {
        if (!capacity.checksFencing) return true
        if (fencingNumber < highestFence) return obeysOldFences
        highestFence = fencingNumber
        return true
    }

    private fun applyLoad(order: EngineOrder): OrderAnswer {
        val artifact = order.artifact
        val hasModel = artifacts.values.any { it.artifact.replicaKey == ReplicaKey(artifact.modelId) && !it.loading }
        if (artifact.adapterId != null && !hasModel) return OrderAnswer.Refused("model absent")
        artifacts.putIfAbsent(artifact, EngineArtifact(artifact, order.weightsBytes, loading = true, order.orderId))
        return OrderAnswer.Accepted
    }

    private fun applyUnload(artifact: Artifact): OrderAnswer {
        artifacts.keys.removeIf { it == artifact || artifact.adapterId == null && it.modelId == artifact.modelId }
        return OrderAnswer.Accepted
    }
}
