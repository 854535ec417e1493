/*
 * State of one engine: replicas with their active requests, cached weights, adapters and prompt prefixes. It also
 * accumulates the time during which a replica is loaded and the part of it without active requests.
 */
package io.daisybend.bench.run

import io.daisybend.bench.site.EngineSpec
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.WeightSource
import io.daisybend.scheduling.replicas.EndpointView
import io.daisybend.scheduling.replicas.ModelWeights
import io.daisybend.scheduling.replicas.ReplicaState
import io.daisybend.scheduling.replicas.ReplicaView

internal class EngineState(val spec: EngineSpec) {
    private class Replica(
        val weights: ModelWeights,
        var state: ReplicaState,
        var activeRequests: Int,
        var idleSinceMs: Long,
    )

    private val replicas = LinkedHashMap<ModelId, Replica>()
    private val adapters = LruSet<AdapterId>(MAX_ADAPTERS)
    private val prefixes = LruSet<Long>(MAX_PREFIXES)
    private val inMemory = LruSet<ModelId>(MAX_MEMORY_CHECKPOINTS)
    private val onDisk = LruSet<ModelId>(MAX_DISK_CHECKPOINTS)
    private var accumulatedAtMs = 0L
    private var cacheSequence = 0L

    var idleMs = 0L
        private set
    var loadedMs = 0L
        private set

    init {
        spec.cachedWeights.forEach { (modelId, source) ->
            if (source == WeightSource.MEMORY) inMemory.add(modelId) else onDisk.add(modelId)
        }
    }

    fun stateOf(modelId: ModelId): ReplicaState? = replicas[modelId]?.state

    fun sourceOf(modelId: ModelId): WeightSource =
        when (modelId) {
            in inMemory -> WeightSource.MEMORY
            in onDisk -> WeightSource.DISK
            else -> WeightSource.REMOTE
        }

    fun reserve(weights: ModelWeights, nowMs: Long) {
        accumulateTimes(nowMs)
        val usedBytes = replicas.values.sumOf { it.weights.weightsBytes } + weights.weightsBytes
        check(usedBytes <= spec.memoryBytes) { "expected at most ${spec.memoryBytes} bytes, got $usedBytes" }
        replicas[weights.modelId] = Replica(weights, ReplicaState.LOADING, 0, nowMs)
    }

    fun onLoaded(modelId: ModelId, nowMs: Long) {
        accumulateTimes(nowMs)
        val replica = replicas.getValue(modelId)
        replica.state = ReplicaState.READY
        replica.idleSinceMs = nowMs
        inMemory.add(modelId)
        onDisk.add(modelId)
    }

    fun unload(modelId: ModelId, nowMs: Long) {
        accumulateTimes(nowMs)
        replicas -= modelId
    }

    fun acquire(modelId: ModelId, nowMs: Long) {
        accumulateTimes(nowMs)
        replicas.getValue(modelId).activeRequests++
    }

    fun release(modelId: ModelId, nowMs: Long) {
        accumulateTimes(nowMs)
        val replica = replicas[modelId] ?: return
        replica.activeRequests--
        replica.idleSinceMs = nowMs
    }

    fun hasAdapter(adapterId: AdapterId): Boolean = adapterId in adapters

    fun addAdapter(adapterId: AdapterId) {
        adapters.add(adapterId)
    }

    fun cachedBlocks(prefixHashes: LongArray): Int = prefixHashes.takeWhile { it in prefixes }.size

    /** Caches prefixes and returns the additions and evictions, each with its sequence number. */
    fun cachePrefixes(prefixHashes: LongArray): List<CacheChange> =
        prefixHashes.flatMap { hash ->
            if (hash in prefixes) return@flatMap emptyList<CacheChange>().also { prefixes.add(hash) }
            val evicted = prefixes.add(hash)
            listOfNotNull(
                CacheChange(cacheSequence++, hash, isCached = true),
                evicted?.let { CacheChange(cacheSequence++, it, isCached = false) },
            )
        }

    fun view(expectedWaitMs: Long, acceptsOrders: Boolean): EndpointView =
        EndpointView(
            endpointId = spec.endpointId,
            memoryBytes = spec.memoryBytes,
            usedBytes = replicas.values.sumOf { it.weights.weightsBytes },
            replicas = replicas.values.map { it.toView() },
            cachedWeights = onDisk.associateWith { WeightSource.DISK } + inMemory.associateWith { WeightSource.MEMORY },
            expectedWaitMs = expectedWaitMs,
            acceptsOrders = acceptsOrders,
        )

    /** Adds the time since the last call to the totals. */
    fun accumulateTimes(nowMs: Long) {
        val isLoaded = replicas.values.any { it.state == ReplicaState.READY }
        val isUsed = replicas.values.any { it.activeRequests > 0 }
        if (isLoaded) loadedMs += nowMs - accumulatedAtMs
        if (isLoaded && !isUsed) idleMs += nowMs - accumulatedAtMs
        accumulatedAtMs = nowMs
    }

    private fun Replica.toView() =
        ReplicaView(weights.modelId, weights.version, weights.weightsBytes, state, activeRequests, idleSinceMs)

    private companion object {
        const val MAX_ADAPTERS = 16
        const val MAX_PREFIXES = 96
        const val MAX_MEMORY_CHECKPOINTS = 2
        const val MAX_DISK_CHECKPOINTS = 12
    }
}

internal class CacheChange(val sequence: Long, val prefixHash: Long, val isCached: Boolean)

/** A set of limited capacity that evicts the least recently added element. */
internal class LruSet<T>(private val capacity: Int) : Iterable<T> {
    private val elements = LinkedHashSet<T>()

    operator fun contains(element: T): Boolean = element in elements

    /** Adds [element] and returns the evicted element, if any. */
    fun add(element: T): T? {
        elements -= element
        elements += element
        if (elements.size <= capacity) return null
        return elements.first().also { elements -= it }
    }

    override fun iterator(): Iterator<T> = elements.iterator()
}
