/*
 * Tracks the prompt prefixes that one endpoint probably has cached, in a bounded LRU map. A gap in the sequence numbers
 * of the endpoint's cache events means that evictions may have been missed, so all earlier entries are dropped.
 */
package io.daisybend.scheduling.routing

internal class PrefixIndex(private val maxEntries: Int, private val entryLifetimeMs: Long) {
    private val recordedAtMs = object : LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Long>): Boolean = size > maxEntries
    }
    private var lastSequence: Long? = null

    fun apply(event: RouterEvent.CacheChanged, nowMs: Long) {
        val last = lastSequence
        if (last != null && event.sequence <= last) return
        if (last != null && event.sequence > last + 1) recordedAtMs.clear()
        lastSequence = event.sequence
        if (event.isCached) recordedAtMs[event.prefixHash] = nowMs else recordedAtMs.remove(event.prefixHash)
    }

    /** Records the prefixes of a request that was sent to the endpoint, which is expected to cache them. */
    fun expect(prefixHashes: LongArray, nowMs: Long) {
        prefixHashes.forEach { recordedAtMs[it] = nowMs }
    }

    /** Returns how many leading blocks of [prefixHashes] are probably cached. */
    fun cachedBlocks(prefixHashes: LongArray, nowMs: Long): Int {
        for (index in prefixHashes.indices.reversed()) {
            val atMs = recordedAtMs[prefixHashes[index]] ?: continue
            if (nowMs - atMs <= entryLifetimeMs) return index + 1
        }
        return 0
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
