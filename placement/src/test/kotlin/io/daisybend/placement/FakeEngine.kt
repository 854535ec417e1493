/*
 * A model engine that obeys every order it does not have to refuse: it checks no memory, so the checker sees what the
 * owners' decisions alone prevent. It keeps its highest fencing number over restarts, and nothing else.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId

internal class FakeEngine(
    val endpointId: EndpointId,
    val capacity: EndpointCapacity,
    private val obeysOldNumbers: Boolean = false,
) {
    val artifacts = LinkedHashMap<Artifact, EngineArtifact>()
    private var boot = 0
    private var highestFence = NO_FENCE

    val usedBytes: Long get() = capacity.kvCacheBytes + artifacts.values.sumOf { it.weightsBytes }

    fun state(raiseFence: Long?): StateAnswer {
        if (!admits(raiseFence ?: highestFence)) return StateAnswer.FenceRefused(highestFence)
        val fence = if (capacity.checksFencing) highestFence else NO_FENCE
        return StateAnswer.Reported(EngineState("boot-$boot", fence, artifacts.values.toList()))
    }

    fun take(order: EngineOrder): OrderAnswer {
        if (!admits(order.fencingNumber)) return OrderAnswer.Refused("fencing number below $highestFence")
        return when (order.kind) {
            OrderKind.LOAD -> load(order)
            OrderKind.UNLOAD -> unload(order.artifact)
        }
    }

    fun finishLoads() = artifacts.replaceAll { _, it -> it.copy(loading = false) }

    fun restart() {
        boot++
        artifacts.clear()
    }

    /** Returns what breaks the promises, given that [decided] may be loaded; null when nothing does. */
    fun violationOf(decided: Collection<Artifact>): String? {
        val undecided = artifacts.keys - decided.toSet()
        return when {
            usedBytes > capacity.memoryBytes -> "$endpointId uses $usedBytes of ${capacity.memoryBytes} bytes"
            undecided.isNotEmpty() -> "$endpointId holds $undecided, which is not decided"
            else -> null
        }
    }

    private fun admits(fencingNumber: Long): Boolean {
        if (!capacity.checksFencing) return true
        if (fencingNumber < highestFence) return obeysOldNumbers
        highestFence = fencingNumber
        return true
    }

    private fun load(order: EngineOrder): OrderAnswer {
        val artifact = order.artifact
        val hasModel = artifacts.values.any { it.artifact.replicaKey == ReplicaKey(artifact.modelId) && !it.loading }
        if (artifact.adapterId != null && !hasModel) return OrderAnswer.Refused("model absent")
        artifacts.putIfAbsent(artifact, EngineArtifact(artifact, order.weightsBytes, loading = true, order.orderId))
        return OrderAnswer.Accepted
    }

    private fun unload(artifact: Artifact): OrderAnswer {
        artifacts.keys.removeIf { it == artifact || artifact.adapterId == null && it.modelId == artifact.modelId }
        return OrderAnswer.Accepted
    }
}
